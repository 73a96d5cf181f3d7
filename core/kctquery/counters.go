package kctquery

import (
	"context"
	"sync"
	"sync/atomic"
)

// Counters are running totals since the start of the engine.
type Counters struct {
	// First counts first attempts at parts; Retries and Hedges are the extra ones.
	First    uint64
	Retries  uint64
	Hedges   uint64
	Canaries uint64
	// FreeRetries counts attempts after a refusal that cost no endpoint any work.
	FreeRetries uint64
	// Restarts counts queries that started over on a newer snapshot.
	Restarts uint64
	// Queries counts answers, Partial those with less than full coverage, Failed the queries without one.
	Queries uint64
	Partial uint64
	Failed  uint64
}

type counters struct {
	first, retries, hedges, canaries, free, whole, queries, partial, failed atomic.Uint64
}

// Counters returns the running totals.
func (e *Engine) Counters() Counters {
	c := &e.counts
	return Counters{
		First: c.first.Load(), Retries: c.retries.Load(), Hedges: c.hedges.Load(), Canaries: c.canaries.Load(),
		FreeRetries: c.free.Load(), Restarts: c.whole.Load(), Queries: c.queries.Load(), Partial: c.partial.Load(), Failed: c.failed.Load(),
	}
}

// attempts counts running attempt goroutines; the zero value is ready.
type attempts struct {
	mu      sync.Mutex
	running int
	idle    []chan struct{}
}

func (a *attempts) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running++
}

func (a *attempts) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if a.running == 0 {
		for _, c := range a.idle {
			close(c)
		}
		a.idle = nil
	}
}

func (a *attempts) wait() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := make(chan struct{})
	if a.running == 0 {
		close(c)
	} else {
		a.idle = append(a.idle, c)
	}
	return c
}

// Drain waits until no attempt is running; attempts that lost against a hedge may outlive their query for a moment.
func (e *Engine) Drain(ctx context.Context) error {
	select {
	case <-e.attempts.wait():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
