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

// TestExpiredInQueue guards against ErrUnknown for a request that expired in the endpoint's queue, which happens when the
// endpoint's refusal arrives after the caller's deadline. The return reserve is long, so that the refusal
// arrives in time even on a busy machine.
func TestExpiredInQueue(t *testing.T) {
	fx := newFixture(t, 4, kctfake.WithSlots(1, 1), kctfake.WithServiceTime(time.Hour, 0))
	fx.client = kctbackend.New(kcttimer.New(), kctbackend.WithReturnReserve(replyTimeout-shortTimeout))
	defer fx.client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	blocked := make(chan error)
	go func() {
		_, err := fx.client.Call(ctx, fx.endpoint, fx.newCall(replyTimeout))
		blocked <- err
	}()
	for fx.fake.Counts().Ran == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := fx.callAndCheck(t, fx.newCall(replyTimeout)); !errors.Is(err, kctport.ErrNotRun) || !errors.Is(err, kctport.ErrTimeout) {
		t.Errorf("expired in the queue: %v", err)
	}
	cancel()
	if err := <-blocked; !errors.Is(err, context.Canceled) || !errors.Is(err, kctport.ErrUnknown) {
		t.Errorf("cancelled: %v", err)
	}
	for fx.fake.Counts().Cancelled == 0 {
		time.Sleep(time.Millisecond)
	}
	if c := fx.fake.Counts(); c.Ran != 1 || c.Expired != 1 {
		t.Errorf("counts %+v", c)
	}
}
