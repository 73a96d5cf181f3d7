package kctbalance

import (
	"slices"
	"sync"
	"time"
)

const (
	// hedgeSamples is the number of recent latencies of a route that the quantile is taken of.
	hedgeSamples = 200
	// hedgeRefresh is how many new latencies pass between two computations.
	hedgeRefresh = 20
	// hedgeQuantile leaves 5 in 100 attempts to be hedged, a quarter of the budget of 0.2; pauses take 4 in 100 of an endpoint's time.
	hedgeQuantile = 0.95
)

// HedgeDelays follows the latencies of each route and says when a second attempt is worth its cost.
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

// NewHedgeDelays returns an empty record.
func NewHedgeDelays() *HedgeDelays {
	return &HedgeDelays{routes: map[string]*latencies{}}
}

// Observe adds the latency of one part of a route's request.
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

// Delay returns how long to wait for a part of the route's request before a second attempt, at most the limit.
func (d *HedgeDelays) Delay(route string, limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.routes[route]; l != nil && l.delay > 0 {
		return min(l.delay, limit)
	}
	return limit
}

// Prune keeps only the routes for which keep is true.
func (d *HedgeDelays) Prune(keep func(route string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.routes {
		if !keep(name) {
			delete(d.routes, name)
		}
	}
}
