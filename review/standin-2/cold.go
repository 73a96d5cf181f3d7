package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// The bound of FAILBACK: a cold server bears coldRate requests a second, and may get coldRate times coldOvershoot plus coldSlack.
const (
	coldRate      = 5.0
	coldOvershoot = 1.5
	coldSlack     = 5.0
	coldBound     = coldRate*coldOvershoot + coldSlack
	// coldCrash is the number of requests in a second, well above the rate that it bears, at which a cold server crashes.
	coldCrash = 16
	coldTime  = 3 * time.Second
	// downTime is how long the servers are down; the site names up to 4.5 s for srv_crash.
	downTime = 1500 * time.Millisecond
	// awayTime is how long the store is away, the length that the site names for platform_down.
	awayTime = 4500 * time.Millisecond
)

// kupci adds servers of the service kupci, one a zone in turn, and writes the first configuration.
func (w *world) kupci(count int, kind string, work func(i int) time.Duration) error {
	zones := []string{"metkovic", "opuzen", "ploce"}
	for i := range count {
		if err := w.add(&server{
			id: fmt.Sprintf("i-kupci-%d", i), service: "kupci", zone: zones[i%len(zones)], version: "v1", capacity: 6,
			coldFor: coldTime, coldCrash: coldCrash, work: func() time.Duration { return work(i) },
		}); err != nil {
			return err
		}
	}
	w.store.write("op/config", config{
		Version: 7, Limits: siteLimits,
		Routes: []route{{
			Name: "r-xmibw6k", Host: "hufi27.example", Prefix: "/goka902/", Kind: kind, Timeout: 4000, Latency: 600, Priority: 2, Service: "kupci", Attempts: 2,
		}},
		Services: []service{{Name: "kupci", Health: "/healthz", Conns: 110, Protocol: "h1", ColdFor: coldTime.Seconds(), ColdRate: coldRate}},
	})
	return nil
}

// startClients starts clients of each zone, which send a number of requests a second together.
func (w *world) startClients(ctx context.Context, perZone float64) []*clients {
	var all []*clients
	for _, zone := range []string{"metkovic", "opuzen", "ploce"} {
		c := &clients{world: w, host: "hufi27.example", path: "/goka902/2f", method: http.MethodPost, body: "order", deadline: 4 * time.Second, zone: zone}
		c.start(ctx, perZone)
		all = append(all, c)
	}
	return all
}

// playCold lets all servers of a service crash and start again, cold and under their identifiers, while the store is away.
func playCold(w *world, trouble bool) (bool, error) {
	if err := w.kupci(3, "non_idempotent", func(int) time.Duration { return time.Duration(40+rand.IntN(80)) * time.Millisecond }); err != nil {
		return false, err
	}
	if err := w.startEntries("metkovic", "opuzen", "ploce"); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	all := w.startClients(ctx, 25)
	time.Sleep(6 * time.Second)
	if trouble {
		w.say("the store is away")
		w.store.setDown(true)
	}
	away := time.Now()
	time.Sleep(500 * time.Millisecond)
	w.say("all servers crash")
	for _, s := range w.servers {
		s.end()
	}
	time.Sleep(downTime)
	for _, s := range w.servers {
		if err := s.start(true); err != nil {
			return false, err
		}
	}
	back := time.Now()
	w.say("all servers are back, cold for %v", coldTime)
	time.Sleep(time.Until(away.Add(awayTime)))
	if trouble {
		w.store.setDown(false)
		w.say("the store is back")
	}
	time.Sleep(4 * time.Second)
	stop()
	for _, c := range all {
		c.wait()
	}
	broken := w.judgeCold()
	w.reportLost(back)
	return broken, nil
}

// judgeCold reports whether in some second more requests were sent and reached a cold server than the bound allows.
func (w *world) judgeCold() bool {
	broken, t := false, w.story()
	for _, s := range w.servers {
		most, at := 0, time.Time{}
		for _, first := range t.runs {
			from := t.sentAt(first)
			n := 0
			for _, a := range t.runs {
				if a.server == s && a.cold && !t.sentAt(a).Before(from) && a.at.Sub(from) < time.Second {
					n++
				}
			}
			if n > most {
				most, at = n, from
			}
		}
		if most > 0 {
			w.say("%s got at most %d requests in one second while it was cold, from %.3f s on; %.1f are allowed", s.id, most, at.Sub(w.begun).Seconds(), coldBound)
		}
		broken = broken || float64(most) > coldBound
	}
	return broken
}

// reportLost counts the requests that may not be repeated, were sent after a time and ran at a server that crashed or ended before it had answered.
func (w *world) reportLost(after time.Time) {
	lost, t := 0, w.story()
	for _, a := range t.runs {
		if q, ok := t.requests[a.id]; ok && q.sent.After(after) && a.executed && a.status == 0 && (q.status < 200 || q.status > 299) {
			lost++
		}
	}
	w.say("%d requests ran at a server that did not live to answer them; their clients got a failure", lost)
}
