package kctlimit_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctlimit"
	"kingcupturn/io/kcttimer"
)

// semaphore is a gate of fixed size without a queue, the baseline of the comparison.
type semaphore chan struct{}

func (s semaphore) Acquire(context.Context, kctport.PartCall) (kctport.Permit, error) {
	select {
	case s <- struct{}{}:
		return s, nil
	default:
		return nil, kctport.ErrShed
	}
}

func (s semaphore) Done(time.Duration, error) { <-s }

// TestColdStart guards against more requests in flight at a cold endpoint than its capacity, when the view marks it as cold
// and the service's mean latency is known, and against a cold start that the view does not show and the gate detects only
// 1 s after the first slow or shed reply.
func TestColdStart(t *testing.T) {
	known, sudden, baseline, detection := 0, 0, 0, time.Duration(0)
	const seeds = 20
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			e := &endpoint{rand: rand.New(rand.NewPCG(seed, 3)), slots: 6}
			g := kctlimit.NewGate(kcttimer.New(), 6)
			drive(g, e, 2*time.Millisecond, 2*time.Second)
			if st := g.Snapshot(); st.Cold || st.Limit < 5 {
				t.Errorf("seed %d: warm endpoint at %+v", seed, st)
			}
			e.makeCold()
			g.Update(6, true, time.Time{})
			drive(g, e, 2*time.Millisecond, 5*time.Second)
			known += e.excess
			if st := g.Snapshot(); st.Cold || st.Limit < 5 {
				t.Errorf("seed %d: endpoint after its cold start at %+v", seed, st)
			}
			g.Update(6, false, time.Time{})
			e.makeCold()
			for !g.Snapshot().Cold {
				drive(g, e, 2*time.Millisecond, 10*time.Millisecond)
				if !e.degradedSince.IsZero() && time.Since(e.degradedSince) > time.Second {
					t.Errorf("seed %d: cold start not detected after %s", seed, time.Since(e.degradedSince))
					break
				}
			}
			detection = max(detection, time.Since(e.degradedSince))
			drive(g, e, 2*time.Millisecond, 5*time.Second)
			sudden += e.excess
			e.makeCold()
			drive(make(semaphore, 6), e, 2*time.Millisecond, 5*time.Second)
			baseline += e.excess
		})
	}
	if known > 0 {
		t.Errorf("%d requests above the capacity of a cold endpoint, want 0", known)
	}
	t.Logf("excess requests per cold start of %d requests, %d seeds: known %.2f, sudden %.2f, semaphore %.2f; detected within %s",
		coldWork, seeds, float64(known)/seeds, float64(sudden)/seeds, float64(baseline)/seeds, detection)
}

// TestSlowHardware guards against an endpoint that stays at one slot because, on slower hardware than the rest of its
// service, its latency looks like that of a cold endpoint.
func TestSlowHardware(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &endpoint{rand: rand.New(rand.NewPCG(1, 3)), slots: 6}
		g := kctlimit.NewGate(kcttimer.New(), 6)
		drive(g, e, 2*time.Millisecond, 2*time.Second)
		e.slow = 2.5
		drive(g, e, 3*time.Millisecond, 10*time.Second)
		if st := g.Snapshot(); st.Cold || st.Limit < 5 {
			t.Errorf("slow endpoint after 10 s at %+v", st)
		}
	})
}
