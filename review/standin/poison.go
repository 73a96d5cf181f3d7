package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// stableWindow is `stable-window-ms`.
const stableWindow = 4 * time.Second

// poisonCase: a request that crashes each server that begins to run it comes again and again at all machines.
func poisonCase(d *deployment, trouble bool) (bool, error) {
	zones := []string{"z1", "z2", "z3"}
	var mu sync.Mutex
	var crashes []time.Time
	// late holds the times at which the request reached a server later than stableWindow after its third crash.
	var late []time.Time
	lateRetries := map[string]bool{}
	onRun := func(s *server, r *http.Request, _ []byte) bool {
		if !strings.HasSuffix(r.URL.Path, "/poison") {
			return true
		}
		id := r.Header.Get("Kingcupturn-Attempt-Id")
		d.record.add("request %s that crashes servers reaches server %s", id, s.id)
		if !trouble {
			return true
		}
		mu.Lock()
		if len(crashes) >= 3 && time.Since(crashes[2]) > stableWindow {
			late = append(late, time.Now())
			lateRetries[id] = true
		}
		crashes = append(crashes, time.Now())
		mu.Unlock()
		go s.crash()
		// The server is back after some seconds.
		time.AfterFunc(3*time.Second, func() {
			if err := s.start(); err != nil {
				d.record.say("server does not start: %v", err)
			}
		})
		<-r.Context().Done()
		return false
	}
	for _, z := range zones {
		d.addEntry(z)
		for range 4 {
			s, err := d.addServer("lookup", z, 150*time.Millisecond)
			if err != nil {
				return false, err
			}
			s.onRun = onRun
		}
	}
	d.configure(1, []route{
		{Name: "read", Host: "desk.example", Prefix: "/read/", Kind: "idempotent", Timeout: 4000, Target: 600, Priority: 2, Attempts: 2, Service: "lookup"},
		{Name: "order", Host: "desk.example", Prefix: "/order/", Kind: "non_idempotent", Timeout: 4000, Target: 600, Priority: 2, Attempts: 1, Service: "lookup"},
	}, []string{"lookup"})
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(50 * time.Second)
	var requests sync.WaitGroup
	var orders, served, lost atomic.Int64
	for i, e := range d.entries {
		c := d.newClient()
		requests.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				requests.Go(func() {
					a := c.send(e, "POST", "desk.example", fmt.Sprintf("/order/%d-%d", i, n), []byte("order"), 4*time.Second, nil, 0)
					orders.Add(1)
					if a.status == 200 && a.wrong == "" {
						served.Add(1)
					} else if d.stamps.ran(a.id) > 0 {
						lost.Add(1)
					}
				})
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	c := d.newClient()
	resent := 0
	for n := 0; time.Now().Before(end); n++ {
		resent++
		c.send(d.entries[n%len(d.entries)], "POST", "desk.example", "/read/poison", []byte("the same body"), 4*time.Second, nil, 0)
		time.Sleep(1200 * time.Millisecond)
	}
	requests.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.say("the request was sent %d times and crashed %d servers", resent, len(crashes))
	d.record.say("BUDGET: %d retries reached servers (%d arrivals) later than %v after the third crash; more than three break the rule", len(lateRetries), len(late), stableWindow)
	d.record.say("%d orders of other clients, %d served, %d of the others had begun to run", orders.Load(), served.Load(), lost.Load())
	return len(lateRetries) > 3, nil
}
