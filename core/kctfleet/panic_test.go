package kctfleet

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctmove"
	"kingcupturn/io/kcttimer"
)

// countingChecker counts violations.
type countingChecker struct{ violations atomic.Int32 }

func (c *countingChecker) Check(ok bool, _, _ string) {
	if !ok {
		c.violations.Add(1)
	}
}

// TestOddRecords guards against a record without what its kind should have, which ends the process or the reading of the other records.
func TestOddRecords(t *testing.T) {
	for kind := kctport.RecordOther; kind <= kctport.RecordProgress; kind++ {
		s := newTestState(kctport.EntryRecord{ID: "e", Zone: "a"})
		odd := kctport.RegistryChange{Kind: kind, Key: "odd", Revision: revision(1)}
		s.applyFull(start, []kctport.RegistryChange{odd, endpointChange("good", 2)}, revision(3))
		s.applyFull(start, []kctport.RegistryChange{odd, endpointChange("good", 2)}, revision(4))
		if n := usableEndpoints(s, start); n != 1 {
			t.Errorf("kind %d: %d endpoints beside an odd record, want 1", kind, n)
		}
		s.readers()
		s.apply(start, kctport.RegistryChange{Kind: kind, Key: "odd", Revision: revision(5), Deleted: true})
	}
}

// TestUpdateThatPanics guards against a process that ends because of an error in one update, and against later updates that are not applied after it.
func TestUpdateThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checker := &countingChecker{}
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		c := New(kctport.EntryRecord{ID: "e", Zone: "a"}, store, nil, kcttimer.New(), discardLogger{}, WithChecker(checker))
		ctx, cancel := context.WithCancel(t.Context())
		done := c.Run(ctx)
		if !c.update(ctx, func(*state, time.Time) []event { panic("odd update") }) {
			t.Error("the update was not taken")
		}
		time.Sleep(5 * time.Second)
		if checker.violations.Load() != 1 || c.Fleet().Rules == nil {
			t.Errorf("%d violations, rules %v; want 1 and the rules of the store", checker.violations.Load(), c.Fleet().Rules)
		}
		cancel()
		<-done
	})
}

// TestContactThatPanics guards against a feed that waits for ever, and keeps the process from ending, for a report that panicked.
func TestContactThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(kctport.EntryRecord{ID: "e", Zone: "a"}, &registry{}, nil, kcttimer.New(), discardLogger{})
		// The control goroutine takes an update that panics and goes on.
		go func() { <-c.inbox }()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if contact := c.Contact(ctx); contact.Watcher != "" {
			t.Errorf("contact %+v, want none", contact)
		}
	})
}

// TestMoveThatPanics guards against a process that ends because a step of a move panics, and against a move that stays where it was after that.
func TestMoveThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checker := &countingChecker{}
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		c := New(kctport.EntryRecord{ID: "e", Zone: "a"}, store, nil, kcttimer.New(), discardLogger{}, WithChecker(checker))
		ctx, cancel := context.WithCancel(t.Context())
		done := c.Run(ctx)
		var tracker *kctmove.Tracker
		c.update(ctx, func(s *state, now time.Time) []event {
			for _, change := range runningMove {
				s.apply(now, change)
			}
			tracker, s.mover.tracker = s.mover.tracker, nil
			return nil
		})
		time.Sleep(time.Second)
		violations := checker.violations.Load()
		if violations == 0 {
			t.Error("no step panicked")
		}
		c.update(ctx, func(s *state, _ time.Time) []event {
			s.mover.tracker = tracker
			return nil
		})
		time.Sleep(5 * time.Second)
		if share, ok := c.Fleet().Moves["s"]; !ok || share.Share != 0.5 || c.Fleet().Rules == nil {
			t.Errorf("after %d steps that panicked: move %+v, rules %v; want the move and the rules of the store", violations, share, c.Fleet().Rules)
		}
		cancel()
		<-done
	})
}

// runningMove is a move of service s, read by entry e, which sends half of the traffic to v2.
var runningMove = []kctport.RegistryChange{
	{Kind: kctport.RecordReader, Key: "readers/a", Revision: revision(4), Reader: &kctport.EntryRecord{ID: "e", Zone: "a"}},
	{Kind: kctport.RecordMove, Key: "moves/s", Revision: revision(5), Move: &kctport.MoveRequest{Service: "s", To: "v2", Duration: time.Minute}},
	{Kind: kctport.RecordProgress, Key: "progress/s", Revision: revision(6), Progress: &kctport.MoveProgress{
		Move: kctport.Move{ID: "v2@5", Service: "s", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Minute), State: kctport.MoveRunning, Share: 0.5},
	}},
}

// TestOddReports guards against reports of another entry, with counts that no entry can have, which end the process or stop a version.
func TestOddReports(t *testing.T) {
	numbers := []int{math.MinInt, -1, 0, 1, math.MaxInt}
	latencies := [][]int{nil, {-1}, {math.MaxInt, math.MaxInt}, make([]int, 1<<12)}
	for _, requests := range numbers {
		for _, failures := range numbers {
			for _, l := range latencies {
				s := newTestState(kctport.EntryRecord{ID: "e", Zone: "a"})
				for _, change := range runningMove {
					s.apply(start, change)
				}
				s.decideMoves(start)
				for i := range 20 {
					at := start.Add(time.Duration(i) * time.Second)
					for _, version := range []kctport.VersionName{"v1", "v2", "v3"} {
						r := kctport.MoveReport{From: "other", Move: "v2@5", Version: version, Route: "/", Requests: requests, Failures: failures, Timed: requests, Slow: failures, Latencies: l}
						s.mover.tracker.Merge(at, r.From, []kctport.MoveReport{r})
						s.mover.tracker.Forward([]kctport.MoveReport{r})
					}
					s.mover.tracker.Reports(at)
					s.decideMoves(at)
				}
				if stop, stopped := s.isStopped(start.Add(time.Minute), s.requestedMoves()["s"].progress.Move); stopped && (requests <= 0 || failures <= 0 || failures > requests) {
					t.Errorf("stopped by reports of %d requests and %d failures: %s", requests, failures, stop.Evidence)
				}
			}
		}
	}
}
