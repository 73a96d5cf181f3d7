package kctretry_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	kctport "kingcupturn"
	"kingcupturn/core/kctretry"
)

var (
	_ kctport.Budget = (*kctretry.Budget)(nil)
	_ kctport.Hedger = (*kctretry.Hedger)(nil)
	_ kctport.Hedger = kctretry.NoHedge{}
	_ kctport.Hedger = kctretry.FixedHedge(0)
)

// TestBudgetBound guards against extra attempts above a tenth of the first attempts plus the start, for any order of calls.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(-1, 1).Draw(t, "share")
		start := rapid.IntRange(0, 5).Draw(t, "start")
		b := kctretry.NewBudget(func() float64 { return share }, kctretry.WithStart(start))
		first, extra := 0, 0
		for _, deposit := range rapid.SliceOf(rapid.Bool()).Draw(t, "calls") {
			if deposit {
				b.Deposit()
				first++
			} else if b.Withdraw() {
				extra++
			}
			// The design page limits the extra load to a share of 0.1.
			if most := 0.1*float64(first) + float64(start); float64(extra) > most {
				t.Fatalf("%d extra attempts for %d first ones, at most %.1f", extra, first, most)
			}
		}
	})
}

// TestBudgetConcurrent guards against tokens that concurrent deposits and withdrawals create or lose.
func TestBudgetConcurrent(t *testing.T) {
	b := kctretry.NewBudget(func() float64 { return 0.1 }, kctretry.WithStart(0), kctretry.WithBurst(1000))
	var extra atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.Deposit()
				if b.Withdraw() {
					extra.Add(1)
				}
			}
		})
	}
	wg.Wait()
	for b.Withdraw() {
		extra.Add(1)
	}
	if extra.Load() != 720 {
		t.Errorf("%d extra attempts for 8000 first ones at nine tenths of 0.1, want 720", extra.Load())
	}
}

// TestHedgerFollowsLatency guards against a delay from observations that are out of date, and against one that is the
// latency of a straggler.
func TestHedgerFollowsLatency(t *testing.T) {
	h := kctretry.NewHedger()
	if _, ok := h.Delay("s"); ok {
		t.Error("a hedge delay without observations")
	}
	for _, scale := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 2 * time.Millisecond} {
		for i := range 4000 {
			h.Observe("s", time.Duration(i%100)*scale)
		}
		want := 95 * scale
		d, ok := h.Delay("s")
		if !ok || d < want*9/10 || d > want*11/10 {
			t.Errorf("delay %s, want about %s", d, want)
		}
	}
	for i := range 4000 {
		// A third of the replies come from a straggler.
		h.Observe("s", []time.Duration{10, 10, 200}[i%3]*time.Millisecond)
	}
	if d, _ := h.Delay("s"); d > 50*time.Millisecond {
		t.Errorf("delay %s with a median of 10 ms and a straggler at 200 ms, want at most 50 ms", d)
	}
}

// BenchmarkHedger measures one delay and one observation of a service that all goroutines share.
func BenchmarkHedger(b *testing.B) {
	h := kctretry.NewHedger()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			h.Delay("s")
			h.Observe("s", time.Duration(i%100)*time.Millisecond)
		}
	})
}
