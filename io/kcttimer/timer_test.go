package kcttimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"kingcupturn/io/kcttimer"
)

// TestSubscribe guards against ticks after the context ends and against drift over many intervals.
func TestSubscribe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		ticks := kcttimer.New().Subscribe(ctx, time.Second)
		for n := 1; n <= 100; n++ {
			if at := <-ticks; at.Sub(start) != time.Duration(n)*time.Second {
				t.Fatalf("tick %d after %s", n, at.Sub(start))
			}
		}
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
		select {
		case at := <-ticks:
			t.Fatalf("tick at %s, after the context ended", at)
		default:
		}
	})
}

// TestAfter guards against a missing, early or second tick, and against a tick after the context ends.
func TestAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		first, second := kcttimer.New().After(ctx, time.Second), kcttimer.New().After(ctx, time.Hour)
		if at := <-first; at.Sub(start) != time.Second {
			t.Fatalf("tick after %s", at.Sub(start))
		}
		cancel()
		synctest.Wait()
		time.Sleep(2 * time.Hour)
		if len(first)+len(second) != 0 {
			t.Fatal("tick after the context ended")
		}
	})
}
