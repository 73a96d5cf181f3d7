package kctfleet

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kcttimer"
)

// registry is a store whose calls can be made to fail.
type registry struct {
	mu          sync.Mutex
	readers     map[kctport.Zone]kctport.EntryRecord
	claims      uint64
	rules       kctport.RulesVersion
	unavailable bool
	// quiet makes a watch last until a record is removed or its wait ends, instead of 100 ms.
	quiet bool
	loads int
	// extra holds further records, removed the deletions that a watch delivers, saved the progress of a move.
	extra    []kctport.RegistryChange
	removed  []kctport.RegistryChange
	saved    kctport.RegistryChange
	revision uint64
}

func (r *registry) check() error {
	if r.unavailable {
		return kctport.ErrUnavailable
	}
	return nil
}

func (r *registry) Load(context.Context) (kctport.RegistryState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads++
	l := kctport.RegistryState{Changes: []kctport.RegistryChange{rules(r.rules, uint64(r.rules))}}
	for zone, e := range r.readers {
		l.Changes = append(l.Changes, kctport.RegistryChange{Kind: kctport.RecordReader, Key: "readers/" + string(zone), Revision: revision(r.claims), Reader: &e})
	}
	l.Changes = append(l.Changes, r.extra...)
	if r.saved.Progress != nil {
		l.Changes = append(l.Changes, r.saved)
	}
	for _, c := range slices.Concat(l.Changes, r.removed) {
		l.Revision = kctport.LatestRevision(l.Revision, c.Revision)
	}
	return l, r.check()
}

func (r *registry) Watch(ctx context.Context, after kctport.StoreRevision, wait time.Duration) ([]kctport.RegistryChange, kctport.StoreRevision, error) {
	const step = 100 * time.Millisecond
	known := r.removals()
	for waited := step; ; waited += step {
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-time.After(min(wait, step)):
		}
		if !r.quiet || waited >= wait || r.removals() > known {
			break
		}
	}
	l, err := r.Load(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(l.Changes, r.removed...), kctport.LatestRevision(after, l.Revision), err
}

func (r *registry) removals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.removed)
}

// remove deletes a record of extra.
func (r *registry) remove(key string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, c := range r.extra {
		if c.Key == key {
			r.removed = append(r.removed, deletion(c, number))
			r.extra = slices.Delete(r.extra, i, i+1)
			return
		}
	}
}

func (r *registry) Grant(context.Context, time.Duration) (kctport.Lease, error) {
	return "1", r.answer()
}
func (r *registry) Renew(context.Context, kctport.Lease) error  { return r.answer() }
func (r *registry) Revoke(context.Context, kctport.Lease) error { return r.answer() }

// answer takes the lock for a call that uses nothing else of the store.
func (r *registry) answer() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.check()
}

func (r *registry) Readers(context.Context) ([]kctport.EntryRecord, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []kctport.EntryRecord
	for _, e := range r.readers {
		list = append(list, e)
	}
	return list, r.check()
}

func (r *registry) Claim(_ context.Context, e kctport.EntryRecord, _ kctport.Lease) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.readers[e.Zone]; ok && old.ID != e.ID {
		return kctport.ErrConflict
	}
	if err := r.check(); err != nil {
		return err
	}
	r.readers[e.Zone] = e
	r.claims++
	return nil
}

func (r *registry) SaveMove(_ context.Context, p kctport.MoveProgress, expected kctport.StoreRevision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.check(); err != nil {
		return err
	}
	if r.saved.Revision != expected {
		return kctport.ErrConflict
	}
	r.revision++
	r.saved = kctport.RegistryChange{Kind: kctport.RecordProgress, Key: "progress", Revision: revision(r.revision), Progress: &p}
	return nil
}

// linkedFeeds connects controllers by the port of their peer address.
type linkedFeeds struct {
	sources map[uint16]*Controller
}

func (f *linkedFeeds) Follow(ctx context.Context, reader kctport.EntryRecord, subscriber kctport.FeedSubscriber, apply func(kctport.FeedUpdate)) error {
	source := f.sources[reader.Peer.Port()]
	if source == nil {
		return kctport.ErrUnavailable
	}
	first := subscriber.Heartbeat()
	u := source.Subscribe(ctx, first.Entry)
	u.Heartbeat(ctx, first)
	defer u.End(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-source.stopped:
			return errors.New("reader ended")
		case <-subscriber.Pending():
			u.Heartbeat(ctx, subscriber.Heartbeat())
		case update, ok := <-u.Updates():
			if !ok {
				return errors.New("too slow")
			}
			apply(update)
		}
	}
}

func (f *linkedFeeds) Contact(ctx context.Context, entry, _ kctport.EntryRecord) (kctport.StoreContact, error) {
	source := f.sources[entry.Peer.Port()]
	if source == nil || isClosed(source.stopped) {
		return kctport.StoreContact{}, kctport.ErrUnavailable
	}
	return source.Contact(ctx), nil
}

// countingLogger counts messages.
type countingLogger struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *countingLogger) LogChange(message, _, _ string, _ kctport.RulesVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[message]++
}

func (l *countingLogger) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[message]
}

type discardLogger struct{}

func (discardLogger) LogChange(string, string, string, kctport.RulesVersion) {}

func entryRecord(id string, zone kctport.Zone, port uint16) kctport.EntryRecord {
	at := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	return kctport.EntryRecord{ID: kctport.InstanceID(id), Zone: zone, Caller: at, Peer: at}
}

func version(c *Controller) kctport.RulesVersion {
	if r := c.Fleet().Rules; r != nil {
		return r.Version
	}
	return 0
}

// TestOneReader guards against entries that all read the store, since each then adds to its billed calls, and against entries that get no more
// changes after the reader has failed.
func TestOneReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		feeds := &linkedFeeds{sources: map[uint16]*Controller{}}
		ctx, cancel := context.WithCancel(t.Context())
		var all []*Controller
		var cancels []context.CancelFunc
		var done []<-chan struct{}
		for i := range 5 {
			port := uint16(i + 1)
			c := New(entryRecord(string(rune('a'+i)), "z", port), store, feeds, kcttimer.New(), discardLogger{}, WithSeed(uint64(i)))
			feeds.sources[port] = c
			all = append(all, c)
		}
		for _, c := range all {
			entryCtx, cancelEntry := context.WithCancel(ctx)
			cancels, done = append(cancels, cancelEntry), append(done, c.Run(entryCtx))
		}
		time.Sleep(3 * time.Second)
		reader := -1
		for i, c := range all {
			if version(c) != 1 || len(c.Fleet().Entries) != 5 {
				t.Errorf("entry %d: version %d, %d entries, want version 1 and 5 entries", i, version(c), len(c.Fleet().Entries))
			}
			if store.readers["z"].ID == c.self.ID {
				reader = i
			}
		}
		cancels[reader]()
		<-done[reader]
		store.mu.Lock()
		delete(store.readers, "z")
		store.rules = 2
		store.mu.Unlock()
		time.Sleep(6 * time.Second)
		for i, c := range all {
			if i != reader && (version(c) != 2 || len(c.Fleet().Entries) != 4) {
				t.Errorf("entry %d after the reader failed: version %d, %d entries, want version 2 and 4 entries", i, version(c), len(c.Fleet().Entries))
			}
		}
		cancel()
		for _, d := range done {
			<-d
		}
	})
}

// TestStartWithDeadReaders guards against an entry that, at its start, waits for readers that were killed along with it: their records remain
// until their leases expire.
func TestStartWithDeadReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{rules: 3, readers: map[kctport.Zone]kctport.EntryRecord{"z": entryRecord("dead", "z", 9), "y": entryRecord("b", "y", 2)}}
		feeds := &linkedFeeds{sources: map[uint16]*Controller{}}
		ctx, cancel := context.WithCancel(t.Context())
		a := New(entryRecord("a", "z", 1), store, feeds, kcttimer.New(), discardLogger{}, WithSeed(1))
		b := New(entryRecord("b", "y", 2), store, feeds, kcttimer.New(), discardLogger{}, WithSeed(2))
		feeds.sources[1], feeds.sources[2] = a, b
		done := []<-chan struct{}{a.Run(ctx), b.Run(ctx)}
		time.Sleep(50 * time.Millisecond)
		if version(a) != 3 || version(b) != 3 {
			t.Errorf("versions %d and %d just after the start, want 3", version(a), version(b))
		}
		time.Sleep(time.Second)
		cancel()
		for _, e := range done {
			<-e
		}
	})
}

// TestStartWithoutStore guards against an entry without rules while the store is unreachable, although other entries have the rules in force.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 4}
		feeds := &linkedFeeds{sources: map[uint16]*Controller{}}
		ctx, cancel := context.WithCancel(t.Context())
		a := New(entryRecord("a", "z", 1), store, feeds, kcttimer.New(), discardLogger{}, WithSeed(1))
		b := New(entryRecord("b", "z", 2), store, feeds, kcttimer.New(), discardLogger{}, WithSeed(2))
		feeds.sources[1], feeds.sources[2] = a, b
		done := []<-chan struct{}{a.Run(ctx)}
		time.Sleep(2 * time.Second)
		done = append(done, b.Run(ctx))
		time.Sleep(500 * time.Millisecond)
		store.mu.Lock()
		store.unavailable = true
		store.mu.Unlock()
		time.Sleep(time.Minute)
		if version(b) != 4 {
			t.Errorf("version %d during an outage of the store, want 4", version(b))
		}
		cancel()
		for _, e := range done {
			<-e
		}
	})
}

// TestSubscriberOfEndedController guards against a process that doesn't end: a feed's writer waited for its updates to be closed, which didn't
// happen once the controller had stopped, and the platform killed readers at the end of their grace period.
func TestSubscriberOfEndedController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		ctx, cancel := context.WithCancel(t.Context())
		c := New(entryRecord("a", "z", 1), store, &linkedFeeds{}, kcttimer.New(), discardLogger{})
		done := c.Run(ctx)
		u := c.Subscribe(ctx, entryRecord("b", "z", 2))
		cancel()
		<-done
		u.End(context.Background())
		timeout := time.After(time.Minute)
		for open := true; open; {
			select {
			case _, open = <-u.Updates():
			case <-timeout:
				t.Fatal("the subscriber's updates were not closed")
			}
		}
		u.End(context.Background())
	})
}

// storeLink is one entry's connection to the store, which can be made unavailable or silent separately.
type storeLink struct {
	*registry
	unavailable atomic.Bool
	silent      atomic.Bool
}

// clientTimeout is the time after which the client of the store ends a call without an answer.
const clientTimeout = time.Second

// call returns the error of a call that may take as long as its wait; on a silent link it runs into its timeout.
func (s *storeLink) call(ctx context.Context, wait time.Duration) error {
	if !s.silent.Load() {
		return s.err()
	}
	select {
	case <-ctx.Done():
	case <-time.After(clientTimeout + wait):
	}
	return kctport.ErrUnavailable
}

func (s *storeLink) err() error {
	if s.unavailable.Load() {
		return kctport.ErrUnavailable
	}
	return nil
}

func (s *storeLink) Load(ctx context.Context) (kctport.RegistryState, error) {
	l, err := s.registry.Load(ctx)
	return l, errors.Join(err, s.call(ctx, 0))
}

func (s *storeLink) Watch(ctx context.Context, after kctport.StoreRevision, wait time.Duration) ([]kctport.RegistryChange, kctport.StoreRevision, error) {
	changes, revision, err := s.registry.Watch(ctx, after, wait)
	return changes, revision, errors.Join(err, s.call(ctx, wait))
}

func (s *storeLink) Readers(ctx context.Context) ([]kctport.EntryRecord, error) {
	readers, err := s.registry.Readers(ctx)
	return readers, errors.Join(err, s.call(ctx, 0))
}

func (s *storeLink) Grant(ctx context.Context, _ time.Duration) (kctport.Lease, error) {
	return "1", s.call(ctx, 0)
}

func (s *storeLink) Renew(ctx context.Context, _ kctport.Lease) error { return s.call(ctx, 0) }

func (s *storeLink) Claim(ctx context.Context, e kctport.EntryRecord, lease kctport.Lease) error {
	if err := s.call(ctx, 0); err != nil {
		return err
	}
	return s.registry.Claim(ctx, e, lease)
}

// TestReaderWithoutStore guards against entries that stay with a reader which the store refuses while it serves another reader: rules came
// into force 8 s late there.
func TestReaderWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		feeds := &linkedFeeds{sources: map[uint16]*Controller{}}
		ctx, cancel := context.WithCancel(t.Context())
		var links []*storeLink
		var all []*Controller
		var done []<-chan struct{}
		for i, zone := range []kctport.Zone{"x", "y", "x", "x"} {
			d, port := &storeLink{registry: store}, uint16(i+1)
			c := New(entryRecord(string(rune('a'+i)), zone, port), d, feeds, kcttimer.New(), discardLogger{}, WithSeed(uint64(i)))
			feeds.sources[port] = c
			links, all = append(links, d), append(all, c)
		}
		for i, c := range all {
			done = append(done, c.Run(ctx))
			if i < 2 {
				// The first two become the readers of their zones.
				time.Sleep(time.Second)
			}
		}
		time.Sleep(2 * time.Second)
		// The store refuses the reader of zone x and one of its subscribers, but not the other subscriber.
		links[0].unavailable.Store(true)
		links[2].unavailable.Store(true)
		time.Sleep(100 * time.Millisecond)
		store.mu.Lock()
		store.rules = 2
		store.mu.Unlock()
		time.Sleep(6 * time.Second)
		for i, c := range all {
			if version(c) != 2 {
				t.Errorf("entry %d: version %d, want 2", i, version(c))
			}
		}
		cancel()
		for _, d := range done {
			<-d
		}
	})
}

// TestSlowSubscriber guards against a slow subscriber that gets every version of the rules in turn: during many changes over a slow link it
// used old rules for longer than allowed.
func TestSlowSubscriber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		ctx, cancel := context.WithCancel(t.Context())
		c := New(entryRecord("a", "z", 1), store, &linkedFeeds{}, kcttimer.New(), discardLogger{}, WithSeed(1))
		done := c.Run(ctx)
		time.Sleep(time.Second)
		u := c.Subscribe(ctx, entryRecord("b", "z", 2))
		for range 100 {
			store.mu.Lock()
			store.rules++
			store.mu.Unlock()
			time.Sleep(250 * time.Millisecond)
		}
		f := <-u.Updates()
		if !f.Full || f.Changes[len(f.Changes)-1].Rules.Version != version(c) {
			t.Errorf("a slow subscriber's first update: full %t, version %d; want a full one with version %d", f.Full, f.Changes[len(f.Changes)-1].Rules.Version, version(c))
		}
		n := 0
		for _, change := range f.Changes {
			if change.Kind == kctport.RecordRules {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%d versions of the rules in one update, want 1", n)
		}
		u.End(ctx)
		cancel()
		<-done
	})
}

// drainBound is the users' bound on requests to an endpoint after its record was removed (drain-ms).
const drainBound = 3 * time.Second

// TestRecordRemovedWhileReaderIsCutOff guards against requests to an endpoint that has left: an entry whose reader alone had lost the store took
// that for an outage of the store and kept the removed record.
func TestRecordRemovedWhileReaderIsCutOff(t *testing.T) {
	for _, wait := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1, extra: []kctport.RegistryChange{endpointChange("stays", 1), endpointChange("leaves", 2)}}
				links, all, stop := startLinked(t, store, "x", "y", "x")
				links[0].unavailable.Store(true)
				time.Sleep(wait)
				store.remove("servers/leaves", 3)
				time.Sleep(drainBound)
				for _, i := range []int{1, 2} {
					if n := len(all[i].Fleet().Endpoints["s"]); n != 1 {
						t.Errorf("entry %d has %d endpoints %v after the removal of one, want 1", i, n, drainBound)
					}
				}
				stop()
			})
		})
	}
}

// TestRecordRemovedWhileReaderHearsNothing guards against requests to an endpoint that has left: a reader whose calls to the store got no answer
// noticed that 1.9 s later, and its subscribers left it 1.2 s after that. The cuts fall into different phases of the reader's renewals.
func TestRecordRemovedWhileReaderHearsNothing(t *testing.T) {
	for cut := time.Duration(0); cut < renewInterval; cut += 100 * time.Millisecond {
		t.Run(cut.String(), func(t *testing.T) { testRemovalDuringCut(t, cut, 0) })
	}
}

// TestRecordRemovedWhileAllReadersHearNothing guards against requests to an endpoint that has left: an entry that reads the store itself, since no
// reader reaches it, took that for an outage of the store and kept the removed record.
func TestRecordRemovedWhileAllReadersHearNothing(t *testing.T) {
	for cut := time.Duration(0); cut < renewInterval; cut += 100 * time.Millisecond {
		t.Run(cut.String(), func(t *testing.T) { testRemovalDuringCut(t, cut, 0, 1) })
	}
}

// testRemovalDuringCut cuts off some of the readers 0 and 1 a while after a quiet start, and removes a record at the same moment.
func testRemovalDuringCut(t *testing.T, after time.Duration, readers ...int) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{
			readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1, quiet: true,
			extra: []kctport.RegistryChange{endpointChange("stays", 1), endpointChange("leaves", 2)},
		}
		links, all, stop := startLinked(t, store, "x", "y", "x")
		time.Sleep(maxWatchWait + after)
		for _, i := range readers {
			links[i].silent.Store(true)
		}
		store.remove("servers/leaves", 3)
		time.Sleep(drainBound)
		for i, c := range all {
			if n := len(c.Fleet().Endpoints["s"]); n != 1 && !slices.Contains(readers, i) {
				t.Errorf("entry %d has %d endpoints %v after the removal of one, want 1", i, n, drainBound)
			}
		}
		stop()
	})
}

// TestOutageOfStore guards against live endpoints that are dropped because their leases expired in an outage of the store.
func TestOutageOfStore(t *testing.T) {
	for outage := 2500 * time.Millisecond; outage < 6*time.Second; outage += 500 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1, quiet: true, extra: []kctport.RegistryChange{endpointChange("lapses", 1)}}
				links, all, stop := startLinked(t, store, "x", "y", "x")
				time.Sleep(maxWatchWait)
				for _, l := range links {
					l.silent.Store(true)
				}
				time.Sleep(outage)
				store.remove("servers/lapses", 3)
				for _, l := range links {
					l.silent.Store(false)
				}
				for range 19 {
					time.Sleep(100 * time.Millisecond)
					for i, c := range all {
						if n := len(c.Fleet().Endpoints["s"]); n != 1 {
							t.Fatalf("entry %d has %d endpoints after the outage, want 1", i, n)
						}
					}
				}
				stop()
			})
		})
	}
}

// TestLostRenewal guards against subscribers that leave their reader, each with a billed call and a full update, because the answer to one
// renewal was lost.
func TestLostRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1, quiet: true}
		links, all, stop := startLinked(t, store, "x", "y", "x")
		time.Sleep(maxWatchWait)
		links[0].silent.Store(true)
		time.Sleep(renewInterval)
		links[0].silent.Store(false)
		time.Sleep(5 * time.Second)
		if n := all[2].log.(*countingLogger).count("feed ended"); n != 0 {
			t.Errorf("the subscriber left its reader %d times after one lost renewal, want 0", n)
		}
		stop()
	})
}

// startLinked starts an entry in each of the zones, each with its own link to the store; the first of a zone becomes its reader.
func startLinked(t *testing.T, store *registry, zones ...kctport.Zone) ([]*storeLink, []*Controller, func()) {
	feeds := &linkedFeeds{sources: map[uint16]*Controller{}}
	ctx, cancel := context.WithCancel(t.Context())
	var links []*storeLink
	var all []*Controller
	var done []<-chan struct{}
	for i, zone := range zones {
		link, port := &storeLink{registry: store}, uint16(i+1)
		log := &countingLogger{counts: map[string]int{}}
		c := New(entryRecord(string(rune('a'+i)), zone, port), link, feeds, kcttimer.New(), log, WithSeed(uint64(i)))
		feeds.sources[port] = c
		links, all = append(links, link), append(all, c)
	}
	for _, c := range all {
		done = append(done, c.Run(ctx))
		time.Sleep(time.Second)
	}
	return links, all, func() {
		cancel()
		for _, d := range done {
			<-d
		}
	}
}

// applyBound is the users' bound on the time until a change of the rules is in force (config-apply-ms).
const applyBound = 3 * time.Second

// TestChangeDuringOutage guards against entries that follow each other after an outage of the store while none of them watches it: the readers' claims
// were refused because their own records were still there, each of them then took another entry's feed for that of a reader, and a change of the rules
// from the time of the outage was missed until the records expired. The outages end in different phases of the readers' calls.
func TestChangeDuringOutage(t *testing.T) {
	for outage := 3500 * time.Millisecond; outage < 5*time.Second; outage += 100 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1, quiet: true}
				links, all, stop := startLinked(t, store, "x", "y", "z", "x", "y", "z")
				time.Sleep(maxWatchWait)
				for _, l := range links {
					l.silent.Store(true)
				}
				time.Sleep(outage)
				store.mu.Lock()
				store.rules = 2
				store.mu.Unlock()
				for _, l := range links {
					l.silent.Store(false)
				}
				time.Sleep(applyBound)
				for i, c := range all {
					if version(c) != 2 {
						t.Errorf("entry %d: version %d %v after the outage, want 2", i, version(c), applyBound)
					}
				}
				stop()
			})
		})
	}
}
