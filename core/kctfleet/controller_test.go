package kctfleet

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kcttimer"
)

// registry is a store whose calls can be refused.
type registry struct {
	mu      sync.Mutex
	readers map[kctport.Zone]kctport.EntryRecord
	claims  kctport.StoreRevision
	rules   kctport.RulesVersion
	down    bool
	loads   int
	// extra are further records, saved is the progress of a move.
	extra    []kctport.RegistryChange
	saved    kctport.RegistryChange
	revision kctport.StoreRevision
}

func (r *registry) check() error {
	if r.down {
		return kctport.ErrUnavailable
	}
	return nil
}

func (r *registry) Load(context.Context) (kctport.RegistryState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads++
	l := kctport.RegistryState{Changes: []kctport.RegistryChange{rules(r.rules, kctport.StoreRevision(r.rules))}}
	for zone, e := range r.readers {
		l.Changes = append(l.Changes, kctport.RegistryChange{Kind: kctport.RecordReader, Key: "readers/" + string(zone), Revision: r.claims, Reader: &e})
	}
	l.Changes = append(l.Changes, r.extra...)
	if r.saved.Progress != nil {
		l.Changes = append(l.Changes, r.saved)
	}
	return l, r.check()
}

func (r *registry) Watch(ctx context.Context, after kctport.StoreRevision, wait time.Duration) ([]kctport.RegistryChange, kctport.StoreRevision, error) {
	select {
	case <-ctx.Done():
		return nil, after, ctx.Err()
	case <-time.After(min(wait, 100*time.Millisecond)):
	}
	l, err := r.Load(ctx)
	return l.Changes, after, err
}

func (r *registry) Grant(context.Context, time.Duration) (kctport.Lease, error) {
	return "1", r.check()
}
func (r *registry) Renew(context.Context, kctport.Lease) error  { return r.check() }
func (r *registry) Revoke(context.Context, kctport.Lease) error { return r.check() }

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
	if _, ok := r.readers[e.Zone]; ok {
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
	r.saved = kctport.RegistryChange{Kind: kctport.RecordProgress, Key: "progress", Revision: r.revision, Progress: &p}
	return nil
}

// feeds connects controllers by the port of their peer address.
type feeds struct {
	sources map[uint16]*Controller
}

func (f *feeds) Follow(ctx context.Context, reader kctport.EntryRecord, self func() kctport.EntryRecord, take func(kctport.FeedUpdate)) error {
	source := f.sources[reader.Peer.Port()]
	if source == nil {
		return kctport.ErrUnavailable
	}
	u := source.Subscribe(ctx, self())
	defer u.End(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-source.stopped:
			return errors.New("reader ended")
		case update, ok := <-u.Updates():
			if !ok {
				return errors.New("too slow")
			}
			take(update)
		}
	}
}

type silent struct{}

func (silent) LogChange(string, string, string, kctport.RulesVersion) {}

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

// TestOneReader guards against a store that every entry reads, and against entries that lose sight of it when the reader dies.
func TestOneReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		mesh := &feeds{sources: map[uint16]*Controller{}}
		ctx, cancel := context.WithCancel(t.Context())
		var all []*Controller
		var ends []context.CancelFunc
		var done []<-chan struct{}
		for i := range 5 {
			port := uint16(i + 1)
			c := New(entryRecord(string(rune('a'+i)), "z", port), store, mesh, kcttimer.New(), silent{}, WithSeed(uint64(i)))
			mesh.sources[port] = c
			all = append(all, c)
		}
		for _, c := range all {
			life, end := context.WithCancel(ctx)
			ends, done = append(ends, end), append(done, c.Run(life))
		}
		time.Sleep(3 * time.Second)
		reader := -1
		for i, c := range all {
			if version(c) != 1 || len(c.Fleet().Entries) != 5 {
				t.Errorf("entry %d: version %d, %d entries", i, version(c), len(c.Fleet().Entries))
			}
			if store.readers["z"].ID == c.self.ID {
				reader = i
			}
		}
		ends[reader]()
		<-done[reader]
		store.mu.Lock()
		delete(store.readers, "z")
		store.rules = 2
		store.mu.Unlock()
		time.Sleep(6 * time.Second)
		for i, c := range all {
			if i != reader && (version(c) != 2 || len(c.Fleet().Entries) != 4) {
				t.Errorf("entry %d after the reader's death: version %d, %d entries", i, version(c), len(c.Fleet().Entries))
			}
		}
		cancel()
		for _, d := range done {
			<-d
		}
	})
}

// TestStartBesideStaleReaders guards against an entry that waits for readers which were killed with it: their records outlive them by a lease.
func TestStartBesideStaleReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{rules: 3, readers: map[kctport.Zone]kctport.EntryRecord{"z": entryRecord("dead", "z", 9), "y": entryRecord("b", "y", 2)}}
		mesh := &feeds{sources: map[uint16]*Controller{}}
		ctx, cancel := context.WithCancel(t.Context())
		a := New(entryRecord("a", "z", 1), store, mesh, kcttimer.New(), silent{}, WithSeed(1))
		b := New(entryRecord("b", "y", 2), store, mesh, kcttimer.New(), silent{}, WithSeed(2))
		mesh.sources[1], mesh.sources[2] = a, b
		ends := []<-chan struct{}{a.Run(ctx), b.Run(ctx)}
		time.Sleep(50 * time.Millisecond)
		if version(a) != 3 || version(b) != 3 {
			t.Errorf("versions %d and %d right after the start, want 3", version(a), version(b))
		}
		time.Sleep(time.Second)
		cancel()
		for _, e := range ends {
			<-e
		}
	})
}

// TestStartWithoutStore guards against an entry that knows nothing while the store is out, though other entries know the rules in force.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 4}
		mesh := &feeds{sources: map[uint16]*Controller{}}
		ctx, cancel := context.WithCancel(t.Context())
		a := New(entryRecord("a", "z", 1), store, mesh, kcttimer.New(), silent{}, WithSeed(1))
		b := New(entryRecord("b", "z", 2), store, mesh, kcttimer.New(), silent{}, WithSeed(2))
		mesh.sources[1], mesh.sources[2] = a, b
		ends := []<-chan struct{}{a.Run(ctx)}
		time.Sleep(2 * time.Second)
		ends = append(ends, b.Run(ctx))
		time.Sleep(500 * time.Millisecond)
		store.mu.Lock()
		store.down = true
		store.mu.Unlock()
		time.Sleep(time.Minute)
		if version(b) != 4 {
			t.Errorf("version %d through an outage, want 4", version(b))
		}
		cancel()
		for _, e := range ends {
			<-e
		}
	})
}

// TestSubscriberOfEndedController guards against a process that never ends: the writer of a feed waited for the end of its updates, which nobody
// announced once the controller had stopped, and readers were killed at the end of their grace time.
func TestSubscriberOfEndedController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		ctx, cancel := context.WithCancel(t.Context())
		c := New(entryRecord("a", "z", 1), store, &feeds{}, kcttimer.New(), silent{})
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
				t.Fatal("the subscriber's updates never end")
			}
		}
		u.End(context.Background())
	})
}

// door is one entry's way to the store, which can be shut for it alone.
type door struct {
	*registry
	shut atomic.Bool
}

func (d *door) err() error {
	if d.shut.Load() {
		return kctport.ErrUnavailable
	}
	return nil
}

func (d *door) Load(ctx context.Context) (kctport.RegistryState, error) {
	l, err := d.registry.Load(ctx)
	return l, errors.Join(err, d.err())
}

func (d *door) Watch(ctx context.Context, after kctport.StoreRevision, wait time.Duration) ([]kctport.RegistryChange, kctport.StoreRevision, error) {
	changes, revision, err := d.registry.Watch(ctx, after, wait)
	return changes, revision, errors.Join(err, d.err())
}

func (d *door) Readers(ctx context.Context) ([]kctport.EntryRecord, error) {
	readers, err := d.registry.Readers(ctx)
	return readers, errors.Join(err, d.err())
}

func (d *door) Renew(context.Context, kctport.Lease) error { return d.err() }

// TestBlindReader guards against entries that stay with a reader which the store turns away, though another one is served: rules were
// in force 8 s late there.
func TestBlindReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		mesh := &feeds{sources: map[uint16]*Controller{}}
		ctx, cancel := context.WithCancel(t.Context())
		var doors []*door
		var all []*Controller
		var done []<-chan struct{}
		for i, zone := range []kctport.Zone{"x", "y", "x", "x"} {
			d, port := &door{registry: store}, uint16(i+1)
			c := New(entryRecord(string(rune('a'+i)), zone, port), d, mesh, kcttimer.New(), silent{}, WithSeed(uint64(i)))
			mesh.sources[port] = c
			doors, all = append(doors, d), append(all, c)
		}
		for i, c := range all {
			done = append(done, c.Run(ctx))
			if i < 2 {
				// The first two become the readers of their zones.
				time.Sleep(time.Second)
			}
		}
		time.Sleep(2 * time.Second)
		// The reader of zone x and one of its subscribers are turned away, the other subscriber is not.
		doors[0].shut.Store(true)
		doors[2].shut.Store(true)
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

// TestSlowSubscriber guards against a subscriber that is behind and gets every version of the rules one after the other: in a storm of changes
// over a slow link it served old rules for longer than they may be in force.
func TestSlowSubscriber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		ctx, cancel := context.WithCancel(t.Context())
		c := New(entryRecord("a", "z", 1), store, &feeds{}, kcttimer.New(), silent{}, WithSeed(1))
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
			t.Errorf("the first update of a subscriber that is behind is full: %t, and has version %d, want %d", f.Full, f.Changes[len(f.Changes)-1].Rules.Version, version(c))
		}
		n := 0
		for _, change := range f.Changes {
			if change.Kind == kctport.RecordRules {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%d versions of the rules in one update", n)
		}
		u.End(ctx)
		cancel()
		<-done
	})
}
