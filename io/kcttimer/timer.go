package kcttimer

import (
	"context"
	"sync"
	"time"

	kctport "kingcupturn"
)

// Service implements the Timer interface; it has no state and is safe for concurrent use.
type Service struct{}

var _ kctport.Timer = (*Service)(nil)

// New returns a timer service that uses the real clock.
func New() *Service {
	return &Service{}
}

// Now returns the current time.
func (*Service) Now() time.Time {
	return time.Now()
}

// Subscribe delivers a tick at each interval until the context ends; an interval of zero or less delivers none.
// The channel is never closed, so that a late reader can't mistake a closed channel for a tick.
func (*Service) Subscribe(ctx context.Context, every time.Duration) <-chan time.Time {
	s := &subscription{ticks: make(chan time.Time, 1), every: every}
	if every > 0 {
		s.start(ctx, every)
	}
	return s.ticks
}

// After delivers one tick after the delay, unless the context ends first.
func (*Service) After(ctx context.Context, delay time.Duration) <-chan time.Time {
	s := &subscription{ticks: make(chan time.Time, 1)}
	s.start(ctx, delay)
	return s.ticks
}

// subscription delivers ticks from a runtime timer, so it needs no goroutine of its own.
type subscription struct {
	ticks chan time.Time
	// every is the interval, zero for a single tick.
	every time.Duration

	mu            sync.Mutex
	ended         bool
	timer         *time.Timer
	stopAfterFunc func() bool
}

func (s *subscription) start(ctx context.Context, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(delay, s.fire)
	s.stopAfterFunc = context.AfterFunc(ctx, s.end)
}

// fire delivers a tick, dropping it if the previous one was not received.
func (s *subscription) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	select {
	case s.ticks <- time.Now():
	default:
	}
	if s.every > 0 {
		s.timer.Reset(s.every)
		return
	}
	s.stopAfterFunc()
}

func (s *subscription) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
}
