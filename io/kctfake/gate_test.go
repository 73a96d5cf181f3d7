package kctfake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestGate guards against more running requests than slots, slots that are not freed, and violations counted on a warm endpoint.
func TestGate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots, queue, cold := rapid.IntRange(1, 4).Draw(r, "slots"), rapid.IntRange(0, 3).Draw(r, "queue"), rapid.IntRange(0, 5).Draw(r, "cold")
		requests := rapid.IntRange(1, 40).Draw(r, "requests")
		starts := rapid.SliceOfN(rapid.IntRange(0, 100), requests, requests).Draw(r, "starts")
		synctest.Test(t, func(t *testing.T) {
			g := &gate{slots: slots, queue: queue, cold: cold}
			results := make(chan admission, requests)
			for n, s := range starts {
				go func() {
					time.Sleep(time.Duration(s) * time.Millisecond)
					result := g.acquire(context.Background(), time.Now().Add(time.Duration(n)*time.Millisecond))
					if running, _ := g.load(); running > slots || result == admitted && running < 1 {
						t.Errorf("%d running with %d slots", running, slots)
					}
					if result == admitted {
						time.Sleep(5 * time.Millisecond)
						g.release(true)
					}
					results <- result
				}()
			}
			for range requests {
				<-results
			}
			if running, _ := g.load(); running != 0 || len(g.waiting) != 0 || g.peak > slots || cold == 0 && g.violations != 0 {
				t.Errorf("%d running, %d waiting, peak %d of %d, %d violations", running, len(g.waiting), g.peak, slots, g.violations)
			}
		})
	})
}

// TestColdGate guards against requests above the single slot of a cold endpoint that are not counted as violations, and against
// violations counted after the warm-up.
func TestColdGate(t *testing.T) {
	g := &gate{slots: 4, queue: 4, cold: 2}
	for n, want := range []uint64{0, 1, 2} {
		if _, result := g.enqueue(); result != admitted || g.violations != want {
			t.Fatalf("request %d: result %d, %d violations, want %d", n, result, g.violations, want)
		}
	}
	for range 3 {
		g.release(true)
	}
	if _, cold := g.load(); cold {
		t.Fatal("cold after the warm-up requests")
	}
	for range 4 {
		g.enqueue()
	}
	if g.violations != 2 || g.running != 4 {
		t.Fatalf("%d violations, %d running when warm", g.violations, g.running)
	}
}
