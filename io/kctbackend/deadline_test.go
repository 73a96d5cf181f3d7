package kctbackend_test

import (
	"context"
	"errors"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kcttimer"
)

// TestExpiredInQueue guards against "unknown" for a request that expired in the endpoint's queue: the endpoint's
// refusal must come back before the caller's deadline. The way back is set wide, so that a busy machine meets it.
func TestExpiredInQueue(t *testing.T) {
	b := newBench(t, 4, kctfake.WithSlots(1, 1), kctfake.WithServiceTime(time.Hour, 0))
	b.client = kctbackend.New(kcttimer.New(), kctbackend.WithReturnReserve(patience-impatience))
	defer b.client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	blocked := make(chan error)
	go func() {
		_, err := b.client.Call(ctx, b.endpoint, b.part(patience))
		blocked <- err
	}()
	for b.fake.Counts().Ran == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := b.try(t, b.part(patience)); !errors.Is(err, kctport.ErrNotRun) || !errors.Is(err, kctport.ErrTimeout) {
		t.Errorf("expired in the queue: %v", err)
	}
	cancel()
	if err := <-blocked; !errors.Is(err, context.Canceled) || !errors.Is(err, kctport.ErrUnknown) {
		t.Errorf("cancelled: %v", err)
	}
	for b.fake.Counts().Cancelled == 0 {
		time.Sleep(time.Millisecond)
	}
	if c := b.fake.Counts(); c.Ran != 1 || c.Expired != 1 {
		t.Errorf("counts %+v", c)
	}
}
