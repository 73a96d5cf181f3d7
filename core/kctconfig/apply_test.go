package kctconfig

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	kctport "kingcupturn"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func running() kctport.Config {
	c := Default()
	c.Exceptions = []kctport.Exception{{Name: "n", Service: "s", Field: "hedge", Value: "false", Reason: "r"}}
	c.ZonesOut = []kctport.ZoneOut{{Zone: "z", Reason: "r"}}
	c.Moves = []kctport.Move{{ID: "m", Service: "s", From: "a", To: "b", Deadline: start.Add(time.Hour), State: kctport.MoveRunning, Holder: "h", Epoch: 3}}
	return c
}

// Guards against accepting what the rules refuse; each row breaks one rule.
func TestApplyRefuses(t *testing.T) {
	move := kctport.Move{Service: "t", From: "a", To: "b", Deadline: start.Add(time.Minute)}
	with := func(change func(*kctport.Move)) kctport.Move { m := move; change(&m); return m }
	progress := func(epoch uint64, holder kctport.InstanceID, state kctport.MoveState, share float64) kctport.Move {
		return kctport.Move{ID: "m", Epoch: epoch, Holder: holder, State: state, Share: share}
	}
	rows := []kctport.ChangeRequest{
		{Kind: "other"},
		{Kind: kctport.SetDefault, Field: "budget", Value: "0.11"},
		{Kind: kctport.SetDefault, Field: "budget", Value: "NaN"},
		{Kind: kctport.SetDefault, Field: "objective", Value: "210"},
		{Kind: kctport.SetDefault, Field: "colour", Value: "1"},
		{Kind: kctport.AddException, Exception: kctport.Exception{Name: "x", Service: "s", Field: "queue", Value: "3"}},
		{Kind: kctport.AddException, Exception: kctport.Exception{Name: "n", Service: "s", Field: "queue", Value: "3", Reason: "r"}},
		{Kind: kctport.AddException, Exception: kctport.Exception{Name: "x", Service: "s", Field: "hedge", Value: "true", Reason: "r"}},
		{Kind: kctport.AddException, Exception: kctport.Exception{Name: "x", Service: "s", Field: "queue", Value: "-1", Reason: "r"}},
		{Kind: kctport.RemoveException, Exception: kctport.Exception{Name: "x"}},
		{Kind: kctport.TakeZoneOut, Zone: kctport.ZoneOut{Zone: "y"}},
		{Kind: kctport.TakeZoneOut, Zone: kctport.ZoneOut{Zone: "z", Reason: "r"}},
		{Kind: kctport.ReturnZone, Zone: kctport.ZoneOut{Zone: "y"}},
		{Kind: kctport.StartMove, Move: with(func(m *kctport.Move) { m.Service = "s" })},
		{Kind: kctport.StartMove, Move: with(func(m *kctport.Move) { m.ID = "m" })},
		{Kind: kctport.StartMove, Move: with(func(m *kctport.Move) { m.To = "a" })},
		{Kind: kctport.StartMove, Move: with(func(m *kctport.Move) { m.Deadline = start })},
		{Kind: kctport.UpdateMove, Move: progress(2, "h", kctport.MoveRunning, 0.1)},
		{Kind: kctport.UpdateMove, Move: progress(3, "i", kctport.MoveRunning, 0.1)},
		{Kind: kctport.UpdateMove, Move: progress(3, "h", kctport.MoveDone, 0.5)},
		{Kind: kctport.UpdateMove, Move: progress(3, "h", kctport.MoveRunning, 1.1)},
		{Kind: kctport.UpdateMove, Move: kctport.Move{ID: "x"}},
	}
	for i, r := range rows {
		r.ID = fmt.Sprint(i)
		config := running()
		next, err := Apply(config, r, start)
		if !errors.Is(err, kctport.ErrInvalid) || !reflect.DeepEqual(next, config) {
			t.Errorf("row %d %+v: got %v, want ErrInvalid and an unchanged configuration", i, r, err)
		}
	}
}

// Guards against a resent change that takes effect twice.
func TestApplyOnce(t *testing.T) {
	r := kctport.ChangeRequest{ID: "1", Kind: kctport.TakeZoneOut, Zone: kctport.ZoneOut{Zone: "y", Reason: "r"}}
	config, err := Apply(running(), r, start)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Apply(config, r, start)
	if !errors.Is(err, ErrApplied) || !reflect.DeepEqual(again, config) {
		t.Fatalf("got %v, want ErrApplied", err)
	}
}

func drawRequest(t *rapid.T, id int) kctport.ChangeRequest {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	n := name.Draw(t, "name")
	return kctport.ChangeRequest{
		ID: fmt.Sprint(id),
		Kind: rapid.SampledFrom([]kctport.ChangeKind{
			kctport.SetDefault, kctport.AddException, kctport.RemoveException, kctport.TakeZoneOut,
			kctport.ReturnZone, kctport.StartMove, kctport.UpdateMove,
		}).Draw(t, "kind"),
		Field: "queue", Value: "7",
		Exception: kctport.Exception{Name: n, Service: kctport.ServiceName(name.Draw(t, "service")), Field: "queue", Value: "9", Reason: "r"},
		Zone:      kctport.ZoneOut{Zone: kctport.Zone(n), Reason: "r"},
		Move: kctport.Move{
			ID: rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "move"), Service: kctport.ServiceName(n),
			From: "1", To: "2", Deadline: start.Add(time.Hour), State: kctport.MoveReverted,
			Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch"),
		},
	}
}

// Guards against a change that alters its argument, skips a revision, or leaves two exceptions or two running moves for one key.
func TestApplyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Default()
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			before := clone(config)
			next, err := Apply(config, drawRequest(t, i), start)
			if !reflect.DeepEqual(config, before) {
				t.Fatalf("argument changed from %+v to %+v", before, config)
			}
			if err == nil && next.Revision != config.Revision+1 || err != nil && next.Revision != config.Revision {
				t.Fatalf("revision %d after %d with error %v", next.Revision, config.Revision, err)
			}
			config = next
			seen := map[string]bool{}
			for _, e := range config.Exceptions {
				seen["name "+e.Name] = true
				seen["service "+string(e.Service)] = true
			}
			live := map[kctport.ServiceName]bool{}
			for _, m := range config.Moves {
				if m.State == kctport.MoveRunning && live[m.Service] {
					t.Fatalf("two running moves of %s", m.Service)
				}
				live[m.Service] = true
			}
			if len(seen) != 2*len(config.Exceptions) {
				t.Fatalf("exceptions share a name or a field: %+v", config.Exceptions)
			}
		}
	})
}

// clone copies the slices too, so that a write through a shared array shows.
func clone(c kctport.Config) kctport.Config {
	c.Exceptions = slices.Clone(c.Exceptions)
	c.ZonesOut = slices.Clone(c.ZonesOut)
	c.Moves = slices.Clone(c.Moves)
	c.History = slices.Clone(c.History)
	return c
}

// Guards against a record that grows without bound, and against forgetting the newest changes.
func TestHistoryBound(t *testing.T) {
	config := Default()
	for i := range MaxHistory + 10 {
		var err error
		config, err = Apply(config, kctport.ChangeRequest{ID: fmt.Sprint(i), Kind: kctport.SetDefault, Field: "queue", Value: "7"}, start)
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(config.History) != MaxHistory || config.History[0].ID != "10" || config.Revision != MaxHistory+10 {
		t.Fatalf("%d changes from %s at revision %d", len(config.History), config.History[0].ID, config.Revision)
	}
}

// Guards against an exception that reaches another service or misses its own.
func TestEffective(t *testing.T) {
	config := running()
	if EffectivePolicy(config, "s").Hedge || !EffectivePolicy(config, "t").Hedge {
		t.Fatal("exception of s is not in force for s alone")
	}
}
