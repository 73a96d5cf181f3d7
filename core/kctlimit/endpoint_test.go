package kctlimit_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	kctport "kingcupturn"
)

const (
	workMean = 6 * time.Millisecond
	// coldWork requests make a cold endpoint warm; until then it runs one at a time, four times slower, and queues coldQueue.
	coldWork  = 100
	coldQueue = 4
)

// endpoint simulates an endpoint that sheds requests above its capacity.
type endpoint struct {
	rand  *rand.Rand
	slots int
	fixed time.Duration // service time, 0 for random ones
	slow  float64       // factor of the service time, 0 for 1

	mu            sync.Mutex
	coldLeft      int // requests until it is warm
	running       int
	busyUntil     time.Time // when a cold endpoint ends the requests that it accepted
	excess        int       // requests received while a cold endpoint was busy
	sheds         int
	degradedSince time.Time // first slow or shed reply since the last cold start
}

func (e *endpoint) makeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldLeft, e.excess, e.degradedSince, e.busyUntil = coldWork, 0, time.Time{}, time.Time{}
}

// call serves one request; a cancelled one keeps its slot at the endpoint until it would have ended.
func (e *endpoint) call(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	done, ok := e.begin(start)
	if !ok {
		return 0, errors.Join(kctport.ErrShed, kctport.ErrNotRun)
	}
	select {
	case <-done:
		return time.Since(start), nil
	case <-ctx.Done():
		return time.Since(start), ctx.Err()
	}
}

func (e *endpoint) begin(now time.Time) (<-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	capacity, d := e.slots, e.fixed
	if d == 0 {
		d = workMean/3 + time.Duration(e.rand.ExpFloat64()*float64(workMean*2/3))
	}
	d = time.Duration(float64(d) * max(e.slow, 1))
	if e.coldLeft > 0 {
		if e.running >= 1 {
			e.excess++
		}
		capacity = 1 + coldQueue
	}
	if e.running >= capacity {
		e.sheds++
		e.markDegraded()
		return nil, false
	}
	if e.coldLeft > 0 {
		if e.busyUntil.Before(now) {
			e.busyUntil = now
		}
		e.busyUntil = e.busyUntil.Add(4 * d)
		d = e.busyUntil.Sub(now)
	}
	e.running++
	done := make(chan struct{})
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		if e.coldLeft > 0 {
			e.coldLeft--
			e.markDegraded()
		}
		close(done)
	})
	return done, true
}

func (e *endpoint) markDegraded() {
	if e.degradedSince.IsZero() {
		e.degradedSince = time.Now()
	}
}

// drive sends requests through the gate for a total time, at exponentially distributed intervals with the mean every.
func drive(g kctport.Gate, e *endpoint, every, total time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(total); time.Now().Before(end); {
		e.mu.Lock()
		pause := time.Duration(e.rand.ExpFloat64() * float64(every))
		e.mu.Unlock()
		time.Sleep(pause)
		wg.Go(func() {
			p, err := g.Acquire(context.Background(), kctport.PartCall{Deadline: time.Now().Add(100 * time.Millisecond)})
			if err == nil {
				p.Done(e.call(context.Background()))
			}
		})
	}
	wg.Wait()
}
