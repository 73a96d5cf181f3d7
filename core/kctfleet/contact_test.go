package kctfleet

import (
	"testing"
	"time"

	kctport "kingcupturn"
)

const testMaxAge = 3 * time.Second

func newTestContact(self string) storeContact {
	return newStoreContact(kctport.InstanceID(self), testMaxAge, defaultHeartbeat, start)
}

// TestInContact guards against an entry that counts as in contact with the store although nobody whom it can name watches it, or its state may lack changes.
func TestInContact(t *testing.T) {
	says := func(c kctport.StoreContact) func(*storeContact, time.Time) {
		return func(s *storeContact, now time.Time) { s.feedUpdate(testLink("r"), observed(now, c)) }
	}
	for name, c := range map[string]struct {
		happens func(c *storeContact, now time.Time)
		want    bool
	}{
		"nothing":                              {func(*storeContact, time.Time) {}, false},
		"a feed of a watcher":                  {says(kctport.StoreContact{Watcher: "r", Age: time.Second}), true},
		"a feed of one that follows a watcher": {says(kctport.StoreContact{Watcher: "w", Hops: 1}), true},
		"a feed two feeds away":                {says(kctport.StoreContact{Watcher: "w", Hops: 2}), false},
		"a feed without a watcher":             {says(kctport.StoreContact{Age: time.Millisecond, Silence: time.Millisecond}), false},
		"a feed of what this entry saw":        {says(kctport.StoreContact{Watcher: "e", Hops: 1}), false},
		"a feed of an old state":               {says(kctport.StoreContact{Watcher: "r", Age: testMaxAge + time.Millisecond, Silence: time.Millisecond}), false},
		"an answer to a single call":           {func(c *storeContact, now time.Time) { c.ownReply(now) }, false},
		"one complete reading":                 {func(c *storeContact, now time.Time) { c.ownChanges(now, revision(9)) }, false},
		"a watch from a complete reading on":   {func(c *storeContact, now time.Time) { c.setWatching(true); c.ownChanges(now, revision(9)) }, true},
		"a watch whose last call failed": {func(c *storeContact, now time.Time) {
			c.setWatching(true)
			c.ownChanges(now, revision(9))
			c.ownFailure("")
		}, false},
		"a watch whose next call is answered": {func(c *storeContact, now time.Time) {
			c.setWatching(true)
			c.ownChanges(now, revision(9))
			c.ownFailure("")
			c.ownReply(now)
		}, true},
		"a watch without changes for too long": {func(c *storeContact, now time.Time) {
			c.setWatching(true)
			c.ownChanges(now.Add(-testMaxAge-time.Millisecond), revision(9))
			c.ownReply(now)
		}, false},
		"a watch that has ended": {func(c *storeContact, now time.Time) {
			c.setWatching(true)
			c.ownChanges(now, revision(9))
			c.setWatching(false)
		}, false},
		"a feed that has ended": {func(c *storeContact, now time.Time) {
			r := testLink("r")
			c.feedUpdate(r, observed(now, kctport.StoreContact{Watcher: "r"}))
			c.feedEnded(r)
		}, false},
		"a feed of the era that the store left": {func(c *storeContact, now time.Time) {
			c.ownChanges(now, laterEra(1))
			says(kctport.StoreContact{Watcher: "r", Revision: revision(9)})(c, now)
		}, false},
		"a failed call and the feed of a watcher": {func(c *storeContact, now time.Time) {
			c.ownFailure("")
			says(kctport.StoreContact{Watcher: "r"})(c, now)
		}, true},
	} {
		s := newTestContact("e")
		now := start.Add(time.Minute)
		c.happens(&s, now)
		s.assess(now)
		if s.inContact() != c.want {
			t.Errorf("%s: in contact %t, want %t", name, s.inContact(), c.want)
		}
		if report := s.report(now); (report.Watcher != "") != c.want {
			t.Errorf("%s: watched by %q", name, report.Watcher)
		}
	}
}

// TestContactGrowsOlder guards against entries that keep each other in contact by what they pass on: what a watcher saw only grows older on the way.
func TestContactGrowsOlder(t *testing.T) {
	entries := []storeContact{newTestContact("a"), newTestContact("b"), newTestContact("c")}
	var links []*link
	for _, id := range []string{"c", "a", "b"} {
		links = append(links, testLink(id))
	}
	now := start
	entries[0].setWatching(true)
	entries[0].ownChanges(now, revision(1))
	entries[0].assess(now)
	pass := func() {
		for i := range entries {
			from := (i + 2) % 3
			entries[i].feedUpdate(links[i], observed(now, entries[from].report(now)))
			entries[i].assess(now)
		}
	}
	pass()
	for i := range entries {
		if !entries[i].inContact() {
			t.Fatalf("entry %d is not in contact with an entry that watches the store", i)
		}
	}
	// The watcher ends its watch and follows one of those that follow it.
	entries[0].setWatching(false)
	for step := range 40 {
		now = now.Add(100 * time.Millisecond)
		pass()
		for i := range entries {
			if entries[i].complete.After(start) {
				t.Fatalf("step %d: the state of entry %d is taken for complete up to %v after the last watch", step, i, entries[i].complete.Sub(start))
			}
			if step > 2 && entries[i].inContact() {
				t.Fatalf("step %d: entry %d still counts as in contact", step, i)
			}
		}
	}
}
