package kctfleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kcttimer"
)

// TestShouldFollow guards against a watcher that goes on in place of a working reader, or beside one that has taken its zone while its own calls get no
// answer, and against one that gives up its watch although nobody else is in contact with the store, or for a short disruption.
func TestShouldFollow(t *testing.T) {
	lost := start.Add(time.Second)
	for name, c := range map[string]struct {
		// watched is how long this entry has watched the store; answers is set while it gets answers, lost when nobody is in contact, isReader when it has
		// claimed its zone, and taken when another entry has.
		watched                        time.Duration
		answers, lost, isReader, taken bool
		want                           bool
	}{
		"reader":                                          {watched: time.Hour, answers: true, isReader: true},
		"in place of a reader, just begun":                {watched: aloneTime - time.Millisecond, answers: true},
		"in place of a reader, long enough":               {watched: aloneTime, answers: true, want: true},
		"no answers, nobody in contact":                   {watched: time.Hour, lost: true},
		"no answers, nobody in contact, another reader":   {watched: time.Hour, lost: true, taken: true},
		"reader without answers, others in contact":       {watched: time.Hour, isReader: true},
		"reader without answers whose zone is taken":      {watched: time.Hour, isReader: true, taken: true, want: true},
		"reader without answers for a moment, zone taken": {watched: peerPreference - time.Millisecond, isReader: true, taken: true},
		"no answers, others in contact":                   {watched: peerPreference, want: true},
		"no answers for a moment, others in contact":      {watched: peerPreference - time.Millisecond},
	} {
		l := &sourceLoop{Controller: New(entryRecord("a", "z", 1), &registry{}, &linkedFeeds{}, kcttimer.New(), discardLogger{})}
		v := contactView{ownAnswers: c.answers}
		if c.lost {
			v.lostSince = lost
		}
		l.contact.Store(&v)
		if c.taken {
			l.readers.Store(&[]kctport.EntryRecord{entryRecord("b", "z", 2)})
		}
		var held *claim
		if c.isReader {
			held = &claim{}
		}
		if got := l.shouldFollow(start.Add(c.watched), start, held); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

// TestIsSource guards against following an entry whose contact ends at this one, has passed too many feeds, or is too old to show that changes are in force.
func TestIsSource(t *testing.T) {
	l := &sourceLoop{Controller: New(entryRecord("a", "z", 1), &registry{}, &linkedFeeds{}, kcttimer.New(), discardLogger{})}
	for name, c := range map[string]struct {
		contact kctport.StoreContact
		want    bool
	}{
		"watches the store":            {kctport.StoreContact{Watcher: "b"}, true},
		"follows a watcher":            {kctport.StoreContact{Watcher: "c", Hops: maxHops - 1}, true},
		"too many feeds away":          {kctport.StoreContact{Watcher: "c", Hops: maxHops}, false},
		"follows this entry":           {kctport.StoreContact{Watcher: "a", Hops: 1}, false},
		"no contact":                   {kctport.StoreContact{}, false},
		"state as old as the bound":    {kctport.StoreContact{Watcher: "b", Age: l.maxAge}, false},
		"state younger than the bound": {kctport.StoreContact{Watcher: "b", Age: l.maxAge - time.Millisecond}, true},
	} {
		if got := l.isSource(c.contact); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

// TestTurn guards against entries of a zone that all call the store at once, and against one that waits longer for its turn than changes may take although few
// come before it.
func TestTurn(t *testing.T) {
	for rank, want := range map[int]time.Duration{0: 0, 1: 100 * time.Millisecond, 3: 300 * time.Millisecond, 4: 800 * time.Millisecond, 5: 1300 * time.Millisecond} {
		if got := turn(rank); got != want {
			t.Errorf("rank %d: %v, want %v", rank, got, want)
		}
	}
}

// compactedStore answers each watch that its history has a gap.
type compactedStore struct{ *registry }

func (compactedStore) Watch(_ context.Context, after kctport.StoreRevision, _ time.Duration) ([]kctport.RegistryChange, kctport.StoreRevision, error) {
	return nil, after, kctport.ErrCompacted
}

// TestWatchThatIsNeverRead guards against an entry that reads the whole store again and again without a pause, since each watch after it fails at once.
func TestWatchThatIsNeverRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		ctx, cancel := context.WithCancel(t.Context())
		done := New(entryRecord("a", "z", 1), compactedStore{store}, &linkedFeeds{}, kcttimer.New(), discardLogger{}).Run(ctx)
		const seconds = 10
		time.Sleep(seconds * time.Second)
		cancel()
		<-done
		if bound := int(seconds*time.Second/retryPause) + 2; store.loads > bound || store.loads < seconds {
			t.Errorf("%d complete readings in %d s, want at most %d", store.loads, seconds, bound)
		}
	})
}
