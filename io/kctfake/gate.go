package kctfake

import (
	"context"
	"slices"
	"sync"
	"time"
)

// admission is the result of acquiring a slot.
type admission int

const (
	admitted admission = iota
	queueFull
	expired
	cancelled
)

// gate is the concurrency limit of an endpoint, with a bounded FIFO queue.
type gate struct {
	mu      sync.Mutex
	slots   int
	queue   int
	running int
	waiting []chan struct{}
	// cold is the number of requests left to serve until the endpoint is warm.
	cold int
	// peak is the highest number of running requests.
	peak int
	// violations counts the requests that a cold endpoint received above its capacity.
	violations uint64
}

// capacity returns the number of requests that may run at a time, at most 1 while the endpoint is cold; g.mu must be held.
func (g *gate) capacity() int {
	if g.cold > 0 {
		return min(1, g.slots)
	}
	return g.slots
}

// acquire takes a slot; it waits in the queue until the deadline or the end of the context.
func (g *gate) acquire(ctx context.Context, deadline time.Time) admission {
	if !time.Now().Before(deadline) {
		return expired
	}
	granted, result := g.enqueue()
	if granted == nil {
		return result
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-granted:
		return admitted
	case <-ctx.Done():
		result = cancelled
	case <-t.C:
		result = expired
	}
	if !g.dequeue(granted) {
		g.release(false)
	}
	return result
}

// enqueue takes a slot and returns nil, or takes a place in the queue and returns the channel that is closed when a slot is granted.
func (g *gate) enqueue() (chan struct{}, admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cold > 0 && g.running+len(g.waiting) >= g.capacity() {
		g.violations++
	}
	if g.running < g.capacity() {
		g.takeSlot()
		return nil, admitted
	}
	if len(g.waiting) >= g.queue {
		return nil, queueFull
	}
	granted := make(chan struct{})
	g.waiting = append(g.waiting, granted)
	return granted, admitted
}

// takeSlot counts a running request; g.mu must be held.
func (g *gate) takeSlot() {
	g.running++
	g.peak = max(g.peak, g.running)
}

// dequeue removes a request from the queue and reports false if it has been granted a slot.
func (g *gate) dequeue(granted chan struct{}) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := slices.Index(g.waiting, granted)
	if n >= 0 {
		g.waiting = slices.Delete(g.waiting, n, n+1)
	}
	return n >= 0
}

// release frees a slot and grants free slots to the queue; each served request warms a cold endpoint.
func (g *gate) release(served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if served && g.cold > 0 {
		g.cold--
	}
	for g.running < g.capacity() && len(g.waiting) > 0 {
		close(g.waiting[0])
		g.waiting = g.waiting[1:]
		g.takeSlot()
	}
}

// setCold makes the endpoint cold for the given number of requests.
func (g *gate) setCold(cold int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold = cold
}

// load returns the number of running requests and whether the endpoint is cold.
func (g *gate) load() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.cold > 0
}
