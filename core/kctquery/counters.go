package kctquery

import (
	"context"
	"sync"
	"sync/atomic"
)

// Counters holds totals since the start of the engine.
type Counters struct {
	// First counts first attempts at parts, Retries and Hedges the extra attempts.
	First    uint64
	Retries  uint64
	Hedges   uint64
	Canaries uint64
	// FreeRetries counts attempts after refusals that cost the endpoint no work; they take no budget.
	FreeRetries uint64
	// Restarts counts the times that a query was restarted on a newer snapshot.
	Restarts uint64
	// Queries counts answers, Partial the answers with incomplete coverage, Failed the queries without an answer.
	Queries uint64
	Partial uint64
	Failed  uint64
}

type counters struct {
	first, retries, hedges, canaries, free, restarts, queries, partial, failed atomic.Uint64
}

// Counters returns the totals so far.
func (e *Engine) Counters() Counters {
	c := &e.counts
	return Counters{
		First: c.first.Load(), Retries: c.retries.Load(), Hedges: c.hedges.Load(), Canaries: c.canaries.Load(),
		FreeRetries: c.free.Load(), Restarts: c.restarts.Load(), Queries: c.queries.Load(), Partial: c.partial.Load(), Failed: c.failed.Load(),
	}
}

// attempts counts running attempt goroutines; the zero value is ready.
type attempts struct {
	mu      sync.Mutex
	running int
	waiters []chan struct{}
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
		for _, c := range a.waiters {
			close(c)
		}
		a.waiters = nil
	}
}

// drained returns a channel that is closed once no attempt is running.
func (a *attempts) drained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := make(chan struct{})
	if a.running == 0 {
		close(c)
	} else {
		a.waiters = append(a.waiters, c)
	}
	return c
}

// Drain waits until no attempt is running or the context ends; cancelled attempts may end shortly after their query.
func (e *Engine) Drain(ctx context.Context) error {
	select {
	case <-e.attempts.drained():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
