package kctentry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
)

const (
	// batchSize and batchPeriod limit how long an observation waits before it is sent to control.
	batchSize   = 128
	batchPeriod = 100 * time.Millisecond
	// batchBuffer is the number of observations that can wait for the next batch; further ones are dropped and counted.
	batchBuffer = 8192
)

// batcher collects the observations of traffic and delivers them to control in batches.
type batcher struct {
	timer     kctport.Timer
	queue     chan kctport.Observation
	deliver   func([]kctport.Observation) bool
	countShed func(kctport.ServiceName)
	dropped   atomic.Uint64
}

func newBatcher(timer kctport.Timer, deliver func([]kctport.Observation) bool, countShed func(kctport.ServiceName)) *batcher {
	return &batcher{timer: timer, queue: make(chan kctport.Observation, batchBuffer), deliver: deliver, countShed: countShed}
}

// Observe queues an observation without blocking; when the buffer is full it is dropped and counted.
func (b *batcher) Observe(o kctport.Observation) {
	if o.Path != kctport.PathRelayed && errors.Is(o.Err, kctport.ErrShed) {
		b.countShed(o.Service)
	}
	select {
	case b.queue <- o:
	default:
		b.dropped.Add(1)
	}
}

// droppedCount returns the number of observations that were not delivered to control.
func (b *batcher) droppedCount() uint64 {
	return b.dropped.Load()
}

func (b *batcher) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		b.loop(ctx)
		done <- ctx.Err()
		close(done)
	}()
	return done
}

func (b *batcher) loop(ctx context.Context) {
	tick := b.timer.Subscribe(ctx, batchPeriod)
	batch := make([]kctport.Observation, 0, batchSize)
	flush := func() {
		if len(batch) > 0 && !b.deliver(batch) {
			b.dropped.Add(uint64(len(batch)))
		}
		batch = make([]kctport.Observation, 0, batchSize)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			flush()
		case o := <-b.queue:
			if batch = append(batch, o); len(batch) == batchSize {
				flush()
			}
		}
	}
}
