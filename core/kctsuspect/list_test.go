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

// clock is a timer whose time the test sets.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) Subscribe(context.Context, time.Duration) <-chan time.Time { return nil }

func (c *clock) After(context.Context, time.Duration) <-chan time.Time { return nil }

const (
	crashingBody   kctport.Fingerprint = 1000
	harmlessBodies                     = 6
)

// simAttempt is an attempt in flight in the simulation.
type simAttempt struct {
	endpoint    int
	fingerprint kctport.Fingerprint
}

// simulation has the lists of several entries, each of which owns some endpoints and sends its suspicions to the others.
type simulation struct {
	t        *rapid.T
	clock    *clock
	lists    []*List
	crashed  map[int]bool
	inFlight []simAttempt
	pushes   [][]kctport.Suspicion
}

const endpoints = 12

func (s *simulation) list(endpoint int) *List { return s.lists[endpoint%len(s.lists)] }

func (s *simulation) admit(endpoint int, body kctport.Fingerprint) error {
	err := s.list(endpoint).Admit(kctport.InstanceID(fmt.Sprint(endpoint)), body)
	if err == nil {
		s.inFlight = append(s.inFlight, simAttempt{endpoint, body})
	}
	return err
}

func (s *simulation) finish(i int, err error) {
	a := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	out := s.list(a.endpoint).Finish(kctport.InstanceID(fmt.Sprint(a.endpoint)), a.fingerprint, err)
	if len(out) > 0 {
		s.pushes = append(s.pushes, out)
	}
}

// crash ends all attempts at an endpoint with resets, in random order.
func (s *simulation) crash(endpoint int) {
	s.crashed[endpoint] = true
	for {
		var here []int
		for i, a := range s.inFlight {
			if a.endpoint == endpoint {
				here = append(here, i)
			}
		}
		if len(here) == 0 {
			return
		}
		s.finish(rapid.SampledFrom(here).Draw(s.t, "reset"), kctport.ErrReset)
		s.clock.now = s.clock.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(s.t, "ms")) * time.Millisecond)
	}
}

// deliver merges the pushed suspicions into all lists.
func (s *simulation) deliver() {
	for _, p := range s.pushes {
		for _, l := range s.lists {
			l.Merge(p)
		}
	}
	s.pushes = nil
}

// healthy returns the endpoints that have not crashed.
func (s *simulation) healthy() []int {
	var out []int
	for e := range endpoints {
		if !s.crashed[e] {
			out = append(out, e)
		}
	}
	return out
}

// runHarmless starts or ends attempts of bodies that do not crash endpoints.
func (s *simulation) runHarmless() {
	for range rapid.IntRange(0, 12).Draw(s.t, "steps") {
		if len(s.inFlight) > 0 && rapid.Bool().Draw(s.t, "end") {
			i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "attempt")
			if s.inFlight[i].fingerprint != crashingBody {
				s.finish(i, nil)
			}
			continue
		}
		body := kctport.Fingerprint(rapid.IntRange(0, harmlessBodies-1).Draw(s.t, "body"))
		if err := s.admit(rapid.SampledFrom(s.healthy()).Draw(s.t, "endpoint"), body); errors.Is(err, kctport.ErrQuarantined) {
			s.t.Fatalf("harmless body %d: %v", body, err)
		}
	}
}

// TestCrashingBody guards against a body that crashes more than 3 endpoints when it is resent through any entry, and against a quarantine of bodies that were in flight at the same endpoints.
func TestCrashingBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, clock: &clock{now: time.Unix(1000, 0)}, crashed: map[int]bool{}}
		for range rapid.IntRange(1, 4).Draw(t, "lists") {
			s.lists = append(s.lists, NewList(s.clock))
		}
		refused := false
		for range 30 {
			s.runHarmless()
			s.deliver()
			at := rapid.SampledFrom(s.healthy()).Draw(t, "at")
			err := s.admit(at, crashingBody)
			switch {
			case errors.Is(err, kctport.ErrQuarantined) && errors.Is(err, kctport.ErrNotRun):
				refused = true
			case err == nil:
				s.runHarmless()
				s.crash(at)
				s.runHarmless()
			case !errors.Is(err, kctport.ErrShed):
				t.Fatalf("got %v", err)
			}
		}
		if len(s.crashed) > 3 {
			t.Fatalf("%d endpoints crashed", len(s.crashed))
		}
		if len(s.crashed) == 3 && !refused && s.list(0).Check(crashingBody) == nil {
			t.Fatal("body is not refused after 3 crashes")
		}
	})
}

// TestQuarantineEnds guards against a body that is refused forever, and against one that crashes 3 more endpoints after its quarantine.
func TestQuarantineEnds(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	l := NewList(c)
	crash := func(endpoint kctport.InstanceID) error {
		if err := l.Admit(endpoint, crashingBody); err != nil {
			return err
		}
		l.Finish(endpoint, crashingBody, kctport.ErrReset)
		return nil
	}
	for i, want := range []error{nil, nil, nil, kctport.ErrQuarantined} {
		if err := crash(kctport.InstanceID(fmt.Sprint(i))); !errors.Is(err, want) {
			t.Errorf("send %d: got %v", i, err)
		}
	}
	fresh := NewList(c)
	fresh.Merge(l.Suspicions())
	if err := fresh.Check(crashingBody); !errors.Is(err, kctport.ErrQuarantined) {
		t.Errorf("new entry after merging the suspicions: got %v", err)
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

// TestConcurrent guards against data races, and against attempts that stay in flight after they ended, when several goroutines use the list.
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
		for id, e := range l.stripes[i].endpoints {
			if len(e.attempts) > 0 {
				t.Errorf("%d attempts in flight at %s", len(e.attempts), id)
			}
		}
	}
}

// TestOneCrash guards against a crash that is attributed several times because its resets arrive late, and against attributing a crash when several suspects were in flight.
func TestOneCrash(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	l := NewList(c)
	admit := func(bodies ...kctport.Fingerprint) {
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
				if s.Crashes > 1 {
					t.Errorf("body %d was in %d crashes, one after the other, want 1", s.Fingerprint, s.Crashes)
				}
			}
			c.now = c.now.Add(pause)
		}
	}
	admit(1, 1, 2)
	reset(2*crashWindow, 1, 2, 1)
	c.now = c.now.Add(SuspicionLifetime)
	admit(3)
	reset(crashWindow/4, 3)
	admit(3)
	reset(crashWindow/4, 3)
	c.now = c.now.Add(SuspicionLifetime)
	admit(4, 5)
	l.Merge([]kctport.Suspicion{{Fingerprint: 4, Crashes: 1}, {Fingerprint: 5, Crashes: 1}})
	reset(0, 4, 5)
	c.now = c.now.Add(SuspicionLifetime)
	admit(6)
	if got := l.Finish("e", 6, errors.Join(kctport.ErrReset, kctport.ErrNotRun)); len(got) > 0 {
		t.Errorf("got %v for a connection that was reset before the request was sent", got)
	}
}
