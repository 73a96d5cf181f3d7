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

// TestBound guards against more work in flight than the reported slots, cancelled work included, against a slot that is
// lost, and against a request that waits past its deadline.
func TestBound(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			slots := 1 + r.IntN(6)
			g := kctlimit.NewGate(kcttimer.New(), slots, kctlimit.WithQueue(8), kctlimit.WithChecker(kctcheck.New(nil, kctcheck.Panic())))
			s := &endpoint{slots: slots, fixed: 10 * time.Millisecond}
			var wg sync.WaitGroup
			for range 500 {
				time.Sleep(time.Duration(r.IntN(4)) * time.Millisecond)
				deadline := time.Now().Add(time.Duration(r.IntN(100)) * time.Millisecond)
				patience := time.Duration(1+r.IntN(60)) * time.Millisecond
				urgent := r.IntN(4) == 0
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), patience)
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
					p.Done(s.call(ctx))
				})
			}
			wg.Wait()
			time.Sleep(2 * time.Second)
			if st := g.Snapshot(); st.InFlight+st.Held+st.Queued != 0 {
				t.Errorf("seed %d: work left in an idle gate: %+v", seed, st)
			}
			if s.sheds > 0 {
				t.Errorf("seed %d: %d requests beyond the %d slots", seed, s.sheds, slots)
			}
		})
	}
}

// TestShortDeadlines guards against an endpoint that gets no work for good, because its mean latency from a slow period is
// above the deadlines of all later requests.
func TestShortDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := kctlimit.NewGate(kcttimer.New(), 4)
		s := &endpoint{slots: 4}
		admitted := 0
		for i := range 400 {
			deadline := time.Second
			s.fixed = 200 * time.Millisecond
			if i >= 100 {
				s.fixed = 5 * time.Millisecond
				deadline = 50 * time.Millisecond
			}
			p, err := g.Acquire(t.Context(), kctport.PartCall{Deadline: time.Now().Add(deadline)})
			if err == nil {
				p.Done(s.call(t.Context()))
				admitted++
			}
			time.Sleep(time.Millisecond)
		}
		if admitted < 350 {
			t.Errorf("%d of 400 requests admitted", admitted)
		}
	})
}

// TestOrder guards against a less pressing request that is served first, and against more than one request in flight
// during a handover or a wait that outlasts it.
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
						t.Errorf("seed %d: second request after %s of a handover of 1 s", seed, time.Since(start))
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
				t.Errorf("seed %d: error %v for the least pressing request at a full queue", seed, err)
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

// TestGates guards against gates that pile up as endpoints change owners, and against the loss of one that is in use.
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
