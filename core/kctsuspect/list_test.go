package kctsuspect

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	kctport "kingcupturn"
)

// clock is a settable time.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) Subscribe(context.Context, time.Duration) <-chan time.Time { return nil }

func (c *clock) After(context.Context, time.Duration) <-chan time.Time { return nil }

const (
	guilty    kctport.Fingerprint = 1000
	innocents                     = 6
)

// flying is an attempt of the simulated fleet.
type flying struct {
	endpoint    int
	fingerprint kctport.Fingerprint
}

// fleet is several lists, each owning some endpoints, that push suspicions to each other.
type fleet struct {
	t       *rapid.T
	clock   *clock
	lists   []*List
	dead    map[int]bool
	flights []flying
	pushes  [][]kctport.Suspicion
}

const endpoints = 12

func (f *fleet) list(endpoint int) *List { return f.lists[endpoint%len(f.lists)] }

func (f *fleet) enter(endpoint int, body kctport.Fingerprint) error {
	err := f.list(endpoint).Admit(kctport.InstanceID(fmt.Sprint(endpoint)), body)
	if err == nil {
		f.flights = append(f.flights, flying{endpoint, body})
	}
	return err
}

func (f *fleet) leave(i int, err error) {
	a := f.flights[i]
	f.flights = slices.Delete(f.flights, i, i+1)
	out := f.list(a.endpoint).Finish(kctport.InstanceID(fmt.Sprint(a.endpoint)), a.fingerprint, err)
	if len(out) > 0 {
		f.pushes = append(f.pushes, out)
	}
}

// crash ends all attempts at an endpoint with a reset, in random order.
func (f *fleet) crash(endpoint int) {
	f.dead[endpoint] = true
	for {
		var here []int
		for i, a := range f.flights {
			if a.endpoint == endpoint {
				here = append(here, i)
			}
		}
		if len(here) == 0 {
			return
		}
		f.leave(rapid.SampledFrom(here).Draw(f.t, "reset"), kctport.ErrReset)
		f.clock.now = f.clock.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(f.t, "ms")) * time.Millisecond)
	}
}

func (f *fleet) deliver() {
	for _, p := range f.pushes {
		for _, l := range f.lists {
			l.Merge(p)
		}
	}
	f.pushes = nil
}

func (f *fleet) live() []int {
	var out []int
	for e := range endpoints {
		if !f.dead[e] {
			out = append(out, e)
		}
	}
	return out
}

// innocent starts or ends attempts of bodies that crash nothing.
func (f *fleet) innocent() {
	for range rapid.IntRange(0, 12).Draw(f.t, "steps") {
		if len(f.flights) > 0 && rapid.Bool().Draw(f.t, "end") {
			i := rapid.IntRange(0, len(f.flights)-1).Draw(f.t, "flight")
			if f.flights[i].fingerprint != guilty {
				f.leave(i, nil)
			}
			continue
		}
		body := kctport.Fingerprint(rapid.IntRange(0, innocents-1).Draw(f.t, "body"))
		if err := f.enter(rapid.SampledFrom(f.live()).Draw(f.t, "endpoint"), body); errors.Is(err, kctport.ErrQuarantined) {
			f.t.Fatalf("innocent body %d: %v", body, err)
		}
	}
}

// TestCrashingBody guards against a body that costs more than 3 endpoints when it is resent through any entry, and against the quarantine of bodies that ran beside it.
func TestCrashingBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, clock: &clock{now: time.Unix(1000, 0)}, dead: map[int]bool{}}
		for range rapid.IntRange(1, 4).Draw(t, "lists") {
			f.lists = append(f.lists, NewList(f.clock))
		}
		refused := false
		for range 30 {
			f.innocent()
			f.deliver()
			at := rapid.SampledFrom(f.live()).Draw(t, "at")
			err := f.enter(at, guilty)
			switch {
			case errors.Is(err, kctport.ErrQuarantined) && errors.Is(err, kctport.ErrNotRun):
				refused = true
			case err == nil:
				f.innocent()
				f.crash(at)
				f.innocent()
			case !errors.Is(err, kctport.ErrShed):
				t.Fatalf("got %v", err)
			}
		}
		if len(f.dead) > 3 {
			t.Fatalf("%d endpoints crashed", len(f.dead))
		}
		if len(f.dead) == 3 && !refused && f.list(0).Check(guilty) == nil {
			t.Fatal("body is not refused after 3 crashes")
		}
	})
}

// TestQuarantineEnds guards against a body that is refused for ever, and against one that costs 3 more endpoints after its quarantine.
func TestQuarantineEnds(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	l := NewList(c)
	crash := func(endpoint kctport.InstanceID) error {
		if err := l.Admit(endpoint, guilty); err != nil {
			return err
		}
		l.Finish(endpoint, guilty, kctport.ErrReset)
		return nil
	}
	for i, want := range []error{nil, nil, nil, kctport.ErrQuarantined} {
		if err := crash(kctport.InstanceID(fmt.Sprint(i))); !errors.Is(err, want) {
			t.Errorf("send %d: got %v", i, err)
		}
	}
	fresh := NewList(c)
	fresh.Merge(l.Suspicions())
	if err := fresh.Check(guilty); !errors.Is(err, kctport.ErrQuarantined) {
		t.Errorf("a new entry that was told: got %v", err)
	}
	c.now = c.now.Add(Quarantine)
	for i, want := range []error{nil, kctport.ErrQuarantined} {
		if err := crash("later"); !errors.Is(err, want) {
			t.Errorf("send %d after the quarantine: got %v", i, err)
		}
	}
	if err := l.Admit("other", 1); err != nil {
		t.Errorf("other body: %v", err)
	}
}

// TestConcurrent guards against attempts of many goroutines that leave something in flight or corrupt the list.
func TestConcurrent(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	l := NewList(c)
	var wait sync.WaitGroup
	for worker := range 8 {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for range 500 {
				endpoint := kctport.InstanceID(fmt.Sprint(random.IntN(4)))
				body := kctport.Fingerprint(random.IntN(20))
				if l.Admit(endpoint, body) != nil {
					continue
				}
				var err error
				if random.IntN(10) == 0 {
					err = kctport.ErrReset
				}
				l.Merge(l.Finish(endpoint, body, err))
			}
		})
	}
	wait.Wait()
	for i := range l.stripes {
		for id, f := range l.stripes[i].flights {
			if len(f.attempts) > 0 {
				t.Errorf("%d attempts in flight at %s", len(f.attempts), id)
			}
		}
	}
}

// TestOneCrash guards against one crash that is charged several times, when its resets are seen late, and against a charge when several suspects were in flight.
func TestOneCrash(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	l := NewList(c)
	enter := func(bodies ...kctport.Fingerprint) {
		for _, b := range bodies {
			if err := l.Admit("e", b); err != nil {
				t.Fatal(err)
			}
		}
	}
	reset := func(pause time.Duration, bodies ...kctport.Fingerprint) {
		t.Helper()
		for _, b := range bodies {
			for _, s := range l.Finish("e", b, kctport.ErrReset) {
				if s.AttributedCrashes > 0 {
					t.Errorf("body %d has %d charges", s.Fingerprint, s.AttributedCrashes)
				}
			}
			c.now = c.now.Add(pause)
		}
	}
	enter(1, 1, 2)
	reset(2*settle, 1, 2, 1)
	c.now = c.now.Add(SuspicionLifetime)
	enter(3)
	reset(settle/4, 3)
	enter(3)
	reset(settle/4, 3)
	c.now = c.now.Add(SuspicionLifetime)
	enter(4, 5)
	l.Merge([]kctport.Suspicion{{Fingerprint: 4}, {Fingerprint: 5}})
	reset(0, 4, 5)
	c.now = c.now.Add(SuspicionLifetime)
	enter(6)
	if got := l.Finish("e", 6, errors.Join(kctport.ErrReset, kctport.ErrNotRun)); len(got) > 0 {
		t.Errorf("got %v for a connection that was reset before the request was sent", got)
	}
}
