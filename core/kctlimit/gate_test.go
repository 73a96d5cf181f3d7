package kctlimit_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctcheck"
	"kingcupturn/core/kctlimit"
	"kingcupturn/io/kcttimer"
)

var _ kctport.Gate = (*kctlimit.Gate)(nil)

// TestBound guards against more requests in flight than the reported slots, cancelled ones that the endpoint still runs
// included, against slots that are never freed, and against a request that waits past its deadline.
func TestBound(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			slots := 1 + r.IntN(6)
			g := kctlimit.NewGate(kcttimer.New(), slots, kctlimit.WithQueue(8), kctlimit.WithChecker(kctcheck.New(nil, kctcheck.Panic())))
			e := &endpoint{slots: slots, fixed: 10 * time.Millisecond}
			var wg sync.WaitGroup
			for range 500 {
				time.Sleep(time.Duration(r.IntN(4)) * time.Millisecond)
				deadline := time.Now().Add(time.Duration(r.IntN(100)) * time.Millisecond)
				timeout := time.Duration(1+r.IntN(60)) * time.Millisecond
				urgent := r.IntN(4) == 0
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					p, err := g.Acquire(ctx, kctport.PartCall{Urgent: urgent, Deadline: deadline})
					if time.Now().After(deadline) {
						t.Errorf("seed %d: admission ended %s after the deadline", seed, time.Since(deadline))
					}
					if err != nil {
						if !errors.Is(err, kctport.ErrNotRun) {
							t.Errorf("seed %d: refusal %v is not marked as not run", seed, err)
						}
						return
					}
					p.Done(e.call(ctx))
				})
			}
			wg.Wait()
			time.Sleep(2 * time.Second)
			if st := g.Snapshot(); st.InFlight+st.Held+st.Queued != 0 {
				t.Errorf("seed %d: slots in use or requests queued at an idle gate: %+v", seed, st)
			}
			if e.sheds > 0 {
				t.Errorf("seed %d: %d requests above the %d slots", seed, e.sheds, slots)
			}
		})
	}
}

// TestShortDeadlines guards against an endpoint that never gets a request again: its mean latency from a slow period is
// above the deadlines of all later requests, so that without replies the mean stays as it is.
func TestShortDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := kctlimit.NewGate(kcttimer.New(), 4)
		e := &endpoint{slots: 4}
		admitted := 0
		for i := range 400 {
			deadline := time.Second
			e.fixed = 200 * time.Millisecond
			if i >= 100 {
				e.fixed = 5 * time.Millisecond
				deadline = 50 * time.Millisecond
			}
			p, err := g.Acquire(t.Context(), kctport.PartCall{Deadline: time.Now().Add(deadline)})
			if err == nil {
				p.Done(e.call(t.Context()))
				admitted++
			}
			time.Sleep(time.Millisecond)
		}
		if admitted < 350 {
			t.Errorf("%d of 400 requests admitted", admitted)
		}
	})
}

// TestOrder guards against a request of lower priority that is granted a slot first, against more than one request in
// flight during a handover, and against a queue that is not served when the handover ends.
func TestOrder(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 2))
			g := kctlimit.NewGate(kcttimer.New(), 2, kctlimit.WithQueue(10))
			start := time.Now()
			g.Update(2, false, start.Add(time.Second))
			first, err := g.Acquire(t.Context(), kctport.PartCall{})
			if err != nil {
				t.Fatal(err)
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			var order []kctport.PartCall
			for range 10 {
				call := kctport.PartCall{Urgent: r.IntN(2) == 0, Deadline: start.Add(time.Hour + time.Duration(r.IntN(1000))*time.Second)}
				wg.Go(func() {
					p, err := g.Acquire(t.Context(), call)
					if err != nil {
						t.Error(err)
						return
					}
					if time.Since(start) < time.Second {
						t.Errorf("seed %d: second request granted %s into a handover of 1 s", seed, time.Since(start))
					}
					mu.Lock()
					order = append(order, call)
					mu.Unlock()
					time.Sleep(time.Millisecond)
					p.Done(time.Millisecond, nil)
				})
			}
			synctest.Wait()
			if _, err := g.Acquire(t.Context(), kctport.PartCall{Deadline: start.Add(10 * time.Hour)}); !errors.Is(err, kctport.ErrShed) || !errors.Is(err, kctport.ErrNotRun) {
				t.Errorf("seed %d: error %v for the request of the lowest priority at a full queue", seed, err)
			}
			wg.Wait()
			if took := time.Since(start); took > 1010*time.Millisecond {
				t.Errorf("seed %d: the queue was served after %s, the handover ended after 1 s", seed, took)
			}
			for i := 1; i < len(order); i++ {
				a, b := order[i-1], order[i]
				if b.Urgent && !a.Urgent || a.Urgent == b.Urgent && b.Deadline.Before(a.Deadline) {
					t.Errorf("seed %d: %v %s before %v %s", seed, a.Urgent, a.Deadline, b.Urgent, b.Deadline)
				}
			}
			first.Done(time.Millisecond, nil)
		})
	}
}

// TestGates guards against a number of gates that grows without bound as endpoints change owners, and against the removal
// of a gate that is in use.
func TestGates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gates := kctlimit.NewGates(kcttimer.New())
		gate := func(i int) *kctlimit.Gate {
			id := kctport.InstanceID(fmt.Sprint(i))
			return gates.Gate(&kctport.View{At: time.Now()}, &kctport.Replica{Endpoint: kctport.Endpoint{ID: id}})
		}
		if _, err := gate(0).Acquire(t.Context(), kctport.PartCall{}); err != nil {
			t.Fatal(err)
		}
		for i := range 10000 {
			gate(i + 1)
			time.Sleep(time.Second)
		}
		if n := len(gates.Snapshot()); n > 200 || gates.InFlight("0") != 1 {
			t.Errorf("%d gates with one endpoint used each second, %d in flight at the first", n, gates.InFlight("0"))
		}
	})
}
