package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// crashWork is how long a server works on the request that crashes it, crashDown how long it is then down.
	crashWork = 900 * time.Millisecond
	crashDown = 3 * time.Second
	// crashEvery is the time after which the client of that request sends it again, crashTimes how often it sends it.
	crashEvery = 4 * time.Second
	crashTimes = 14
	// crashBody is the body of that request.
	crashBody = "the order that crashes"
	// lateRetries is the number of retries that BUDGET allows later than stable-window-ms after the third crash.
	lateRetries = 3
)

// playCrash sends a request again and again that crashes each server that runs it.
func playCrash(w *world, trouble bool) (bool, error) {
	if err := w.kupci(3, "non_idempotent", func(int) time.Duration { return time.Duration(40+rand.IntN(160)) * time.Millisecond }); err != nil {
		return false, err
	}
	if err := w.startEntries("metkovic", "opuzen", "ploce"); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	all := w.startClients(ctx, 15)
	time.Sleep(15 * time.Second)
	var sent []*request
	odd := &clients{world: w, host: "hufi27.example", path: "/goka902/2f", method: http.MethodPost, body: crashBody, deadline: 4 * time.Second}
	odd.lookUp()
	for range crashTimes {
		next := time.Now().Add(crashEvery)
		if trouble {
			if q := odd.send(); q != nil {
				w.say("the request that crashes servers was answered with %d, Retry-After %q", q.status, q.header.Get("Retry-After"))
				sent = append(sent, q)
			}
		}
		time.Sleep(time.Until(next))
	}
	stop()
	for _, c := range all {
		c.wait()
	}
	return w.judgeCrashes(sent), nil
}

// judgeCrashes reports whether the request reached servers too often after its third crash.
func (w *world) judgeCrashes(sent []*request) bool {
	t := w.story()
	odd := map[string]bool{}
	for _, q := range sent {
		odd[q.id] = true
	}
	w.mu.Lock()
	crashes := append([]time.Time(nil), w.crashes...)
	w.mu.Unlock()
	late, lost := 0, 0
	for _, a := range t.runs {
		q, ok := t.requests[a.id]
		switch {
		case !ok:
		case odd[a.id] && len(crashes) >= 3 && q.sent.Sub(crashes[2]) > stableWindow:
			late++
		case !odd[a.id] && a.executed && a.status == 0 && (q.status < 200 || q.status > 299):
			lost++
		}
	}
	w.say("%d crashes; the request reached servers %d times later than %v after the third, %d are allowed; %d requests of others that had begun to run were lost",
		len(crashes), late, stableWindow, lateRetries, lost)
	return late > lateRetries
}
