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

// semaphore is a gate of fixed size, the baseline.
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

// TestColdStart guards against more work at a cold endpoint than it sustains, when the cold start is known from the view
// and the service's latency from before, and against a sudden cold start that goes unnoticed for 1 s.
func TestColdStart(t *testing.T) {
	known, sudden, baseline, late := 0, 0, 0, time.Duration(0)
	const seeds = 20
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := &endpoint{rand: rand.New(rand.NewPCG(seed, 3)), slots: 6}
			g := kctlimit.NewGate(kcttimer.New(), 6)
			drive(g, s, 2*time.Millisecond, 2*time.Second)
			if st := g.Snapshot(); st.Cold || st.Limit < 5 {
				t.Errorf("seed %d: warm endpoint at %+v", seed, st)
			}
			s.makeCold()
			g.Update(6, true, time.Time{})
			drive(g, s, 2*time.Millisecond, 5*time.Second)
			known += s.excess
			if st := g.Snapshot(); st.Cold || st.Limit < 5 {
				t.Errorf("seed %d: endpoint that has warmed up at %+v", seed, st)
			}
			g.Update(6, false, time.Time{})
			s.makeCold()
			for !g.Snapshot().Cold {
				drive(g, s, 2*time.Millisecond, 10*time.Millisecond)
				if !s.firstSymptom.IsZero() && time.Since(s.firstSymptom) > time.Second {
					t.Errorf("seed %d: cold for %s, not noticed", seed, time.Since(s.firstSymptom))
					break
				}
			}
			late = max(late, time.Since(s.firstSymptom))
			drive(g, s, 2*time.Millisecond, 5*time.Second)
			sudden += s.excess
			s.makeCold()
			drive(make(semaphore, 6), s, 2*time.Millisecond, 5*time.Second)
			baseline += s.excess
		})
	}
	if known > 0 {
		t.Errorf("%d requests beyond what a cold endpoint sustains, want 0", known)
	}
	t.Logf("excess requests per cold start of %d requests, %d seeds: known %.2f, sudden %.2f, semaphore %.2f; noticed within %s",
		coldWork, seeds, float64(known)/seeds, float64(sudden)/seeds, float64(baseline)/seeds, late)
}

// TestSlowHardware guards against an endpoint that stays at one slot since it is on slower hardware than its service.
func TestSlowHardware(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &endpoint{rand: rand.New(rand.NewPCG(1, 3)), slots: 6}
		g := kctlimit.NewGate(kcttimer.New(), 6)
		drive(g, s, 2*time.Millisecond, 2*time.Second)
		s.slow = 2.5
		drive(g, s, 3*time.Millisecond, 10*time.Second)
		if st := g.Snapshot(); st.Cold || st.Limit < 5 {
			t.Errorf("after 10 s at %+v", st)
		}
	})
}
