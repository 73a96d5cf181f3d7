package kctforward

import (
	"context"
	"sync"
	"time"
)

// inbox holds the results of attempts until the goroutine of the request takes them, several at a time.
type inbox struct {
	// arrived has an element while there are results that have not been taken.
	arrived chan struct{}

	mu      sync.Mutex
	results []result
	closed  bool
}

func newInbox() inbox {
	return inbox{arrived: make(chan struct{}, 1)}
}

// put adds a result, which is dropped once the request has been answered.
func (i *inbox) put(r result) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	i.results = append(i.results, r)
	select {
	case i.arrived <- struct{}{}:
	default:
	}
}

// take returns the results since the last call.
func (i *inbox) take() []result {
	i.mu.Lock()
	defer i.mu.Unlock()
	taken := i.results
	i.results = nil
	return taken
}

func (i *inbox) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed, i.results = true, nil
}

// alarm delivers a tick to the goroutine of a request at a time or a little earlier.
type alarm struct {
	call   *call
	ticks  <-chan time.Time
	at     time.Time
	cancel context.CancelFunc
}

// set moves the alarm to a time. One that is due earlier stays, since a needless tick costs less than a new timer.
func (a *alarm) set(now, at time.Time) {
	if a.cancel != nil && !at.Before(a.at) {
		return
	}
	a.stop()
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(a.call.attempts)
	a.at, a.ticks = at, a.call.engine.timer.After(ctx, max(0, at.Sub(now)))
}

// stop ends the alarm.
func (a *alarm) stop() {
	if a.cancel != nil {
		a.cancel()
	}
	a.cancel, a.ticks = nil, nil
}
