package kctslope

import (
	"context"
	"sync"
	"time"

	kctport "kingcupturn"
)

// clock is a kctport.Timer whose time changes only by advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
	// ticks and polls trigger control's ticks and its status calls.
	ticks chan time.Time
	polls chan time.Time
}

var _ kctport.Timer = (*clock)(nil)

// pollPeriod is the period of status calls; subscriptions with a shorter period are for control's ticks.
const pollPeriod = time.Second

func newClock() *clock {
	return &clock{now: time.Unix(1_800_000_000, 0), ticks: make(chan time.Time), polls: make(chan time.Time)}
}

// Now implements kctport.Timer.
func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Subscribe implements kctport.Timer.
func (c *clock) Subscribe(_ context.Context, period time.Duration) <-chan time.Time {
	if period >= pollPeriod {
		return c.polls
	}
	return c.ticks
}

// After implements kctport.Timer; it fires at once, since the fake ports block the calls that control would repeat.
func (c *clock) After(context.Context, time.Duration) <-chan time.Time {
	done := make(chan time.Time, 1)
	done <- c.Now()
	return done
}

func (c *clock) advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}
