package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The roll-out and the bounds of the rule.
const (
	rolloutTime   = 60 * time.Second
	badAfter      = 57 * time.Second
	badShare      = 0.4
	exposeShare   = 0.1
	exposeSlack   = 50
	rollbackTime  = 5 * time.Second
	badAnswers    = 50
	newVersion    = "v2"
	statusKey     = "status/rollout/desk"
	rolloutClient = 66 * time.Millisecond
)

// rolloutCase: a new version of a service fails part of its requests near the end of its roll-out.
func rolloutCase(d *deployment, trouble bool) (bool, error) {
	zones := []string{"z1", "z2", "z3"}
	var mu sync.Mutex
	var ordered time.Time
	// all and exposed count the requests that reached the service, and its new version, between the order and its deadline.
	all, exposed, bad := 0, 0, 0
	var fiftieth time.Time
	// reached holds the requests that reached the new version.
	reached := map[string]bool{}
	onRun := func(s *server, r *http.Request, _ []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		if ordered.IsZero() {
			return true
		}
		since := time.Since(ordered)
		if since < rolloutTime {
			all++
		}
		if s.version != newVersion {
			return true
		}
		reached[r.Header.Get("Kingcupturn-Attempt-Id")] = true
		if since < rolloutTime {
			exposed++
		}
		if !trouble || since < badAfter || rand.Float64() >= badShare {
			return true
		}
		if bad++; bad == badAnswers {
			fiftieth = time.Now()
			d.record.add("fiftieth bad answer of %s", newVersion)
		}
		return false
	}
	for _, z := range zones {
		d.addEntry(z)
		for range 2 {
			s, err := d.addServer("desk", z, 100*time.Millisecond)
			if err != nil {
				return false, err
			}
			s.onRun = onRun
		}
	}
	d.configure(1, []route{
		{Name: "read", Host: "desk.example", Prefix: "/read/", Kind: "idempotent", Timeout: 4000, Target: 600, Priority: 2, Attempts: 2, Service: "desk"},
		{Name: "order", Host: "desk.example", Prefix: "/order/", Kind: "non_idempotent", Timeout: 4000, Target: 600, Priority: 2, Attempts: 1, Service: "desk"},
	}, []string{"desk"})
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var requests sync.WaitGroup
	var orders, failed atomic.Int64
	// sent holds when each request was sent by its client.
	sent := map[string]time.Time{}
	for _, e := range d.entries {
		c := d.newClient()
		go func() {
			for n := range 1 << 30 {
				select {
				case <-stop:
					return
				case <-time.After(rolloutClient):
				}
				requests.Go(func() {
					var a answer
					if n%3 == 0 {
						a = c.send(e, "POST", "desk.example", fmt.Sprintf("/order/%d", n), []byte("order"), 4*time.Second, nil, 0)
						orders.Add(1)
						if a.status != http.StatusOK || a.wrong != "" {
							failed.Add(1)
						}
					} else {
						a = c.send(e, "GET", "desk.example", fmt.Sprintf("/read/%d", n), nil, 4*time.Second, nil, 0)
					}
					mu.Lock()
					sent[a.id] = a.sent
					mu.Unlock()
				})
			}
		}()
	}
	time.Sleep(3 * time.Second)
	old := append([]*server{}, d.servers...)
	mu.Lock()
	ordered = time.Now()
	mu.Unlock()
	d.store.put("op/rollout/desk", map[string]any{"service": "desk", "target-version": newVersion, "duration-s": rolloutTime.Seconds()})
	d.record.say("roll-out of %s ordered, due in %v", newVersion, rolloutTime)
	for _, z := range zones {
		for range 2 {
			s, err := d.newServer("desk", z, newVersion, 100*time.Millisecond)
			if err != nil {
				return false, err
			}
			s.onRun = onRun
		}
	}
	last := ""
	for time.Since(ordered) < rolloutTime+20*time.Second {
		time.Sleep(20 * time.Millisecond)
		var status struct {
			State string `json:"state"`
		}
		value := d.store.value(statusKey)
		if json.Unmarshal(value, &status) != nil || status.State == last {
			continue
		}
		last = status.State
		mu.Lock()
		d.record.say("%.2f s after the order: status %s, %d bad answers so far", time.Since(ordered).Seconds(), last, bad)
		mu.Unlock()
		if last == "succeeded" {
			// The old servers stop at once, as the pages say.
			for _, s := range old {
				s.crash()
			}
		}
	}
	close(stop)
	requests.Wait()
	mu.Lock()
	defer mu.Unlock()
	limit := int(exposeShare*float64(all)) + exposeSlack
	late := 0
	for id := range reached {
		if at, ok := sent[id]; ok && !fiftieth.IsZero() && at.After(fiftieth.Add(rollbackTime)) {
			late++
		}
	}
	d.record.say("%d of %d requests reached %s between the order and its deadline, allowed for a bad version: %d", exposed, all, newVersion, limit)
	d.record.say("%d requests reached %s that were sent later than %v after its fiftieth bad answer, allowed: 0", late, newVersion, rollbackTime)
	d.record.say("%d bad answers, %d of %d orders failed", bad, failed.Load(), orders.Load())
	return bad > 0 && (exposed > limit || late > 0), nil
}
