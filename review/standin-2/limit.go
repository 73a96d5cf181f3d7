package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// serverLimit is what the server in need names as its Server-Limit.
	serverLimit = 1.0
	// limitWindow, limitFactor and limitSlack are the bound of LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
	// stableWindow is stable-window-ms.
	stableWindow = 4 * time.Second
	// knownAfter is the time after a machine has passed on a limit from which its requests count.
	knownAfter = 500 * time.Millisecond
	// statusLate is the status of a server that has not finished a request by its deadline.
	statusLate = 504
	// outTime is how long the zone is evacuated.
	outTime = 5 * time.Second
)

// playLimit evacuates a zone with a server that names a limit, and takes the evacuation back.
func playLimit(w *world, trouble bool) (bool, error) {
	var inNeed atomic.Bool
	if err := w.kupci(3, "non_idempotent", func(i int) time.Duration {
		if i == 0 && inNeed.Load() {
			return time.Duration(1500+rand.IntN(1000)) * time.Millisecond
		}
		return time.Duration(80+rand.IntN(160)) * time.Millisecond
	}); err != nil {
		return false, err
	}
	if err := w.startEntries("metkovic", "opuzen", "ploce", "metkovic", "opuzen", "ploce", "metkovic", "opuzen", "ploce"); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	all := w.startClients(ctx, 25)
	time.Sleep(5 * time.Second)
	s := w.servers[0]
	inNeed.Store(true)
	s.nameLimit(serverLimit)
	from := time.Now()
	w.say("server %s names a limit of %.1f requests a second", s.id, serverLimit)
	time.Sleep(8 * time.Second)
	if trouble {
		w.store.write("op/evacuate/metkovic", struct{}{})
		w.say("metkovic is evacuated")
	}
	time.Sleep(outTime)
	if trouble {
		w.store.drop("op/evacuate/metkovic")
		w.say("the evacuation is taken back")
	}
	time.Sleep(8 * time.Second)
	stop()
	for _, c := range all {
		c.wait()
	}
	return w.judgeLimit(s, from), nil
}

// judgeLimit reports whether a server got more in some 4 s than its limit allows, from the machines that had passed the limit on.
func (w *world) judgeLimit(s *server, from time.Time) bool {
	passed, story := map[string]time.Time{}, w.story()
	for _, q := range story.order {
		if q.header.Get("Server-Limit") == "" {
			continue
		}
		if t, ok := passed[q.via]; !ok || q.answered.Before(t) {
			passed[q.via] = q.answered
		}
	}
	var counted []time.Time
	for _, a := range story.runs {
		q, ok := story.requests[a.id]
		if !ok || a.server != s || a.at.Sub(from) < stableWindow {
			continue
		}
		if t, ok := passed[q.via]; ok && a.at.Sub(t) >= knownAfter {
			counted = append(counted, a.at)
		}
	}
	most, at := 0, from
	for i, first := range counted {
		n := 0
		for _, t := range counted[i:] {
			if t.Sub(first) < limitWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first
		}
	}
	bound := limitFactor*serverLimit*limitWindow.Seconds() + limitSlack
	w.say("%d machines passed the limit on; %s got at most %d requests of them in 4 s, from %.3f s on; %.0f are allowed", len(passed), s.id, most, at.Sub(w.begun).Seconds(), bound)
	unfinished := 0
	for _, a := range story.runs {
		if a.server == s && a.at.Sub(from) > stableWindow && a.executed && (a.status == 0 || a.status == statusLate) {
			unfinished++
		}
	}
	w.say("%d requests that may not be repeated began to run at it and were not finished by their deadline", unfinished)
	return float64(most) > bound
}
