package kctbalance

import (
	"slices"
	"sync"
	"time"
)

const (
	// hedgeSamples is the number of recent latencies of a route from which the quantile is computed.
	hedgeSamples = 200
	// hedgeRefresh is the number of new latencies between two computations of the quantile.
	hedgeRefresh = 20
	// hedgeQuantile hedges 5 in 100 attempts, a quarter of the budget of 0.2; pauses take up 4 in 100 of an endpoint's time.
	hedgeQuantile = 0.95
)

// HedgeDelays records the latencies of each route and computes the delay before a second attempt; it is safe for concurrent use.
type HedgeDelays struct {
	mu     sync.Mutex
	routes map[string]*latencies
}

type latencies struct {
	samples []time.Duration
	next    int
	fresh   int
	delay   time.Duration
}

// NewHedgeDelays returns delays without samples.
func NewHedgeDelays() *HedgeDelays {
	return &HedgeDelays{routes: map[string]*latencies{}}
}

// Observe records the latency of one part of a request on the route.
func (d *HedgeDelays) Observe(route string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.routes[route]
	if l == nil {
		l = &latencies{}
		d.routes[route] = l
	}
	if len(l.samples) < hedgeSamples {
		l.samples = append(l.samples, latency)
	} else {
		l.samples[l.next] = latency
		l.next = (l.next + 1) % hedgeSamples
	}
	if l.fresh++; l.fresh >= hedgeRefresh {
		l.fresh = 0
		sorted := slices.Clone(l.samples)
		slices.Sort(sorted)
		l.delay = sorted[int(float64(len(sorted)-1)*hedgeQuantile)]
	}
}

// Delay returns how long to wait for a part of a request on the route before a second attempt, at most the limit.
func (d *HedgeDelays) Delay(route string, limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.routes[route]; l != nil && l.delay > 0 {
		return min(l.delay, limit)
	}
	return limit
}

// Prune drops the routes for which keep returns false.
func (d *HedgeDelays) Prune(keep func(route string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.routes {
		if !keep(name) {
			delete(d.routes, name)
		}
	}
}
