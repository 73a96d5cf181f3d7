package kctfleet

import (
	"fmt"
	"testing"
	"time"

	kctport "kingcupturn"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func rules(version kctport.RulesVersion, revision kctport.StoreRevision) kctport.RegistryChange {
	return kctport.RegistryChange{Kind: kctport.RecordRules, Key: "rules", Revision: revision, Rules: &kctport.Rules{Version: version}}
}

func server(id string, revision kctport.StoreRevision) kctport.RegistryChange {
	s := &kctport.EndpointRecord{ID: kctport.InstanceID(id), Service: "s", Zone: "a", Slots: 4}
	return kctport.RegistryChange{Kind: kctport.RecordEndpoint, Key: "servers/" + id, Revision: revision, Endpoint: s}
}

func gone(c kctport.RegistryChange, revision kctport.StoreRevision) kctport.RegistryChange {
	return kctport.RegistryChange{Kind: c.Kind, Key: c.Key, Zone: c.Zone, Revision: revision, Deleted: true}
}

func serving(s *state, now time.Time) int {
	return len(s.fleet(now).Endpoints["s"])
}

// TestRulesNeverGoBack guards against an older version that replaces a newer one, whatever its revision.
func TestRulesNeverGoBack(t *testing.T) {
	s := newState(kctport.EntryRecord{ID: "e"})
	s.heard(start, 0)
	for _, c := range []kctport.RegistryChange{
		rules(5, 1), rules(9, 4), rules(7, 3), rules(8, 9), gone(rules(9, 0), 10),
		{Kind: kctport.RecordRules, Key: "rules", Revision: 11, Problem: "unreadable"},
	} {
		s.apply(start, c)
	}
	s.load(start, nil)
	if f := s.fleet(start); f.Rules == nil || f.Rules.Version != 9 {
		t.Fatalf("rules %+v, want version 9", f.Rules)
	}
}

// TestLapse guards against endpoints that are lost when an outage ends their leases, and against dead ones that are kept after it.
func TestLapse(t *testing.T) {
	s := newState(kctport.EntryRecord{ID: "e"})
	s.heard(start, 0)
	s.load(start, []kctport.RegistryChange{server("lives", 1), server("dies", 2), server("leaves", 3)})
	s.apply(start, gone(server("leaves", 0), 4))
	if n := serving(s, start); n != 2 {
		t.Fatalf("%d endpoints, want 2: a record that vanishes while the store is sound is gone at once", n)
	}
	s.lost("outage")
	back := start.Add(5 * time.Second)
	s.heard(back, 0)
	s.load(back, nil)
	s.expire(back)
	if n := serving(s, back); n != 2 {
		t.Fatalf("%d endpoints just after the outage, want 2", n)
	}
	s.apply(back.Add(time.Second), server("lives", 9))
	s.expire(back.Add(lapseHold + time.Millisecond))
	if n := serving(s, back); n != 1 {
		t.Fatalf("%d endpoints after the time to return, want 1", n)
	}
}

// TestOldRevision guards against a page of a reading that undoes a later change of the watch.
func TestOldRevision(t *testing.T) {
	s := newState(kctport.EntryRecord{ID: "e"})
	s.heard(start, 0)
	draining := server("i", 8)
	draining.Endpoint.Leaving = true
	s.apply(start, draining)
	s.apply(start, server("i", 5))
	if n := serving(s, start); n != 0 {
		t.Fatal("an older revision brought a leaving endpoint back")
	}
}

// TestZoneOut guards against work for a zone that was taken out, and for an endpoint that can't be read.
func TestZoneOut(t *testing.T) {
	s := newState(kctport.EntryRecord{ID: "e"})
	s.heard(start, 0)
	out := kctport.RegistryChange{Kind: kctport.RecordZoneOut, Key: "out/a", Zone: "a", Revision: 2}
	s.apply(start, server("i", 1))
	s.apply(start, out)
	if serving(s, start) != 0 {
		t.Error("the zone still gets work")
	}
	s.apply(start, gone(out, 3))
	if serving(s, start) != 1 {
		t.Error("the zone gets no work after its return")
	}
	s.apply(start, kctport.RegistryChange{Kind: kctport.RecordEndpoint, Key: "servers/i", Revision: 4, Problem: "unreadable"})
	if serving(s, start) != 0 {
		t.Error("an unreadable record names an endpoint")
	}
}

// TestUnprovedVersion guards against traffic for a version that nobody has judged, and against a service that gets none once only it is left.
func TestUnprovedVersion(t *testing.T) {
	s := newState(kctport.EntryRecord{ID: "e"})
	s.heard(start, 0)
	old, fresh := server("old", 1), server("new", 2)
	old.Endpoint.Version, fresh.Endpoint.Version = "v1", "v2"
	s.apply(start, old)
	s.apply(start, fresh)
	s.apply(start, kctport.RegistryChange{Kind: kctport.RecordMove, Key: "moves/s", Revision: 3, Move: &kctport.MoveRequest{Service: "s", To: "v2"}})
	if list := s.fleet(start).Endpoints["s"]; len(list) != 1 || list[0].ID != "old" {
		t.Errorf("during a move: %+v", list)
	}
	s.apply(start, gone(old, 4))
	if list := s.fleet(start).Endpoints["s"]; len(list) != 1 || list[0].ID != "new" {
		t.Errorf("with the new version alone: %+v", list)
	}
}

// TestOldPicture guards against a reader that was long without the store and whose complete picture removes newer records.
func TestOldPicture(t *testing.T) {
	s := newState(kctport.EntryRecord{ID: "e"})
	s.heard(start, 0)
	s.apply(start, server("new", 9))
	s.fed(start, kctport.FeedUpdate{Full: true, Changes: []kctport.RegistryChange{server("old", 1)}, StoreUnreachable: true, StoreAge: time.Minute})
	if n := serving(s, start); n != 2 {
		t.Fatalf("%d endpoints, want 2", n)
	}
	s.fed(start.Add(time.Second), kctport.FeedUpdate{Full: true, Changes: []kctport.RegistryChange{server("old", 1)}})
	later := start.Add(time.Second + lapseHold + time.Millisecond)
	s.expire(later)
	if n := serving(s, later); n != 1 {
		t.Fatalf("%d endpoints after a current picture, want 1", n)
	}
}

// TestMembers guards against dead entries that stay in the directory, and against living ones that leave it while they change readers.
func TestMembers(t *testing.T) {
	s := newState(kctport.EntryRecord{ID: "e", Zone: "a"})
	s.heard(start, 0)
	member := func(origin, id string, gone bool) kctport.FeedMember {
		return kctport.FeedMember{Origin: kctport.InstanceID(origin), Entry: kctport.EntryRecord{ID: kctport.InstanceID(id), Zone: "a"}, Unsubscribed: gone}
	}
	s.members.set(member("r1", "x", false))
	s.members.set(member("r1", "y", false))
	s.members.lose("r1", start)
	s.members.set(member("r2", "x", false))
	s.expire(start.Add(time.Second))
	if n := len(s.fleet(start).Entries); n != 3 {
		t.Fatalf("%d entries while a reader is unheard, want 3", n)
	}
	s.expire(start.Add(originHold))
	f := s.fleet(start.Add(originHold))
	if len(f.Entries) != 2 || f.LimitShares != 3 {
		t.Fatalf("%d entries, %d sharers; want 2, and 3 until the silent one is surely gone", len(f.Entries), f.LimitShares)
	}
}

// TestActiveEntries guards against too few entries for the load, and against a choice that swings with small changes of it.
func TestActiveEntries(t *testing.T) {
	a := newActiveSet()
	zone := func(load float64) []kctport.EntryRecord {
		var list []kctport.EntryRecord
		for i := range 20 {
			list = append(list, kctport.EntryRecord{ID: kctport.InstanceID(fmt.Sprint("e", i)), Zone: "a", Cores: 0.5, Load: load})
		}
		return list
	}
	for _, c := range []struct {
		load float64
		want int
	}{{0, 3}, {0.1, 7}, {0.08, 7}, {0.01, 3}, {0.9, 20}} {
		if n := len(a.choose(zone(c.load))); n != c.want {
			t.Errorf("load %v: %d active entries, want %d", c.load, n, c.want)
		}
	}
}

// TestLoneStart guards against entries that start together and each take the whole of a fleet-wide limit until they hear of one another.
func TestLoneStart(t *testing.T) {
	s := newState(kctport.EntryRecord{ID: "e", Zone: "a"})
	s.presume(9, start)
	s.refresh(s.self)
	if f := s.fleet(start); f.LimitShares != 9 || f.ActiveShares != 9 {
		t.Errorf("%d sharers and %d senders at the start, want 9", f.LimitShares, f.ActiveShares)
	}
	if f := s.fleet(start.Add(sharerMemory)); f.LimitShares != 1 || f.ActiveShares != 1 {
		t.Errorf("%d sharers and %d senders of an entry that stays alone, want 1", f.LimitShares, f.ActiveShares)
	}
}
