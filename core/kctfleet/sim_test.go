package kctfleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kcttimer"
)

// linkMode is what happens to the calls on a link.
type linkMode int

const (
	linkPass linkMode = iota
	// linkRefused answers each call with an error at once, linkSilent leaves it without an answer.
	linkRefused
	linkSilent
)

// simStore is a store on the simulated clock, with revisions, a history, watches and leases.
type simStore struct {
	mu       sync.Mutex
	revision kctport.StoreRevision
	records  map[string]kctport.RegistryChange
	history  []kctport.RegistryChange
	leases   map[kctport.Lease]*simLease
	granted  int
	changed  chan struct{}
	// mode is that of all links, and frozenAt when the leases stopped to run out, zero while they run.
	mode     linkMode
	frozenAt time.Time
	// loadTime is how long a complete reading takes.
	loadTime time.Duration
	calls    []time.Time
	// copies are older states, the oldest first.
	copies []simCopy
}

// simCopy is a state of the store at one moment.
type simCopy struct {
	revision kctport.StoreRevision
	records  map[string]kctport.RegistryChange
	leases   map[kctport.Lease]simLease
}

// keepCopy keeps the current state for restore.
func (s *simStore) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	leases := map[kctport.Lease]simLease{}
	for id, l := range s.leases {
		leases[id] = simLease{l.ttl, l.expires, slices.Clone(l.keys)}
	}
	s.copies = append(s.copies, simCopy{s.revision, maps.Clone(s.records), leases})
	s.copies = s.copies[max(0, len(s.copies)-maxCopies):]
}

// maxCopies is the number of copies that are kept.
const maxCopies = 10

// restore goes back to the oldest copy and begins a new era; the leases of the copy run anew.
func (s *simStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.copies) == 0 {
		return
	}
	from := s.copies[0]
	s.copies, s.history, s.records = nil, nil, from.records
	s.revision = kctport.StoreRevision{Era: s.revision.Era + 1, Number: from.revision.Number}
	clear(s.leases)
	for id, l := range from.leases {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = &l
	}
	for key, c := range s.records {
		c.Revision.Era = s.revision.Era
		s.records[key] = c
	}
}

type simLease struct {
	ttl     time.Duration
	expires time.Time
	keys    []string
}

func newSimStore() *simStore {
	return &simStore{records: map[string]kctport.RegistryChange{}, leases: map[kctport.Lease]*simLease{}, changed: make(chan struct{}), revision: revision(1)}
}

func (s *simStore) write(c kctport.RegistryChange) kctport.StoreRevision {
	s.revision.Number++
	c.Revision = s.revision
	if c.Deleted {
		delete(s.records, c.Key)
	} else {
		s.records[c.Key] = c
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return c.Revision
}

// put writes a record as the operator or an endpoint does.
func (s *simStore) put(c kctport.RegistryChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(c)
}

// setMode starts or ends an outage; during one, leases pause or run on.
func (s *simStore) setMode(mode linkMode, pause bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.frozenAt.IsZero() {
		for _, l := range s.leases {
			l.expires = l.expires.Add(now.Sub(s.frozenAt))
		}
		s.frozenAt = time.Time{}
	}
	if s.mode = mode; mode != linkPass && pause {
		s.frozenAt = now
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// run ends leases until the context ends.
func (s *simStore) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		for id, l := range s.leases {
			if s.frozenAt.IsZero() && time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *simStore) endLease(id kctport.Lease) {
	keys := s.leases[id].keys
	delete(s.leases, id)
	for _, key := range keys {
		if c, ok := s.records[key]; ok && !slices.ContainsFunc(slices.Collect(maps.Values(s.leases)), func(l *simLease) bool { return slices.Contains(l.keys, key) }) {
			s.write(kctport.RegistryChange{Kind: c.Kind, Key: key, Zone: c.Zone, Deleted: true})
		}
	}
}

// simLink is one entry's connection to the store; it implements kctport.Registry.
type simLink struct {
	*simStore
	mu   sync.Mutex
	mode linkMode
}

func (l *simLink) setMode(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

// call passes a call or fails as the link and the store do; a silent call ends with its context or the client's timeout.
func (l *simLink) call(ctx context.Context) error {
	l.simStore.mu.Lock()
	l.calls = append(l.calls, time.Now())
	l.simStore.mu.Unlock()
	switch l.modeNow() {
	case linkRefused:
		return kctport.ErrUnavailable
	case linkSilent:
		select {
		case <-ctx.Done():
		case <-time.After(clientTimeout):
		}
		return kctport.ErrUnavailable
	}
	select {
	case <-ctx.Done():
	case <-time.After(4 * time.Millisecond):
	}
	return nil
}

func (l *simLink) modeNow() linkMode {
	l.simStore.mu.Lock()
	defer l.simStore.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.mode, l.simStore.mode)
}

func (l *simLink) Load(ctx context.Context) (kctport.RegistryState, error) {
	if err := l.call(ctx); err != nil {
		return kctport.RegistryState{}, err
	}
	l.simStore.mu.Lock()
	r := kctport.RegistryState{Changes: slices.Collect(maps.Values(l.records)), Revision: l.revision}
	l.simStore.mu.Unlock()
	select {
	case <-ctx.Done():
		return kctport.RegistryState{}, kctport.ErrUnavailable
	case <-time.After(l.loadTime):
		return r, nil
	}
}

func (l *simLink) Watch(ctx context.Context, after kctport.StoreRevision, wait time.Duration) ([]kctport.RegistryChange, kctport.StoreRevision, error) {
	if err := l.call(ctx); err != nil {
		return nil, after, err
	}
	timeout := time.After(wait)
	for {
		l.simStore.mu.Lock()
		changed, revision := l.changed, l.revision
		if after.Era != revision.Era || revision.Before(after) || len(l.history) > 0 && after.Number+1 < l.history[0].Revision.Number {
			l.simStore.mu.Unlock()
			return nil, after, kctport.ErrCompacted
		}
		var changes []kctport.RegistryChange
		for _, c := range l.history {
			if after.Before(c.Revision) {
				changes = append(changes, c)
			}
		}
		l.simStore.mu.Unlock()
		if l.modeNow() == linkSilent {
			// The connection returns nothing further.
			<-ctx.Done()
		}
		if ctx.Err() != nil || l.modeNow() == linkRefused {
			return nil, after, kctport.ErrUnavailable
		}
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-timeout:
			if l.modeNow() == linkPass {
				return nil, revision, nil
			}
		case <-ctx.Done():
		}
	}
}

func (l *simLink) Grant(ctx context.Context, ttl time.Duration) (kctport.Lease, error) {
	if err := l.call(ctx); err != nil {
		return "", err
	}
	l.simStore.mu.Lock()
	defer l.simStore.mu.Unlock()
	l.granted++
	id := kctport.Lease(strconv.Itoa(l.granted))
	l.leases[id] = &simLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id, nil
}

func (l *simLink) Renew(ctx context.Context, id kctport.Lease) error {
	if err := l.call(ctx); err != nil {
		return err
	}
	l.simStore.mu.Lock()
	defer l.simStore.mu.Unlock()
	lease := l.leases[id]
	if lease == nil {
		return kctport.ErrNotFound
	}
	lease.expires = time.Now().Add(lease.ttl)
	return nil
}

func (l *simLink) Revoke(ctx context.Context, id kctport.Lease) error {
	if err := l.call(ctx); err != nil {
		return err
	}
	l.simStore.mu.Lock()
	defer l.simStore.mu.Unlock()
	if l.leases[id] != nil {
		l.endLease(id)
	}
	return nil
}

func (l *simLink) Readers(ctx context.Context) ([]kctport.EntryRecord, error) {
	if err := l.call(ctx); err != nil {
		return nil, err
	}
	l.simStore.mu.Lock()
	defer l.simStore.mu.Unlock()
	var readers []kctport.EntryRecord
	for _, c := range l.records {
		if c.Reader != nil {
			readers = append(readers, *c.Reader)
		}
	}
	slices.SortFunc(readers, func(a, b kctport.EntryRecord) int { return cmp.Compare(a.ID, b.ID) })
	return readers, nil
}

func (l *simLink) Claim(ctx context.Context, e kctport.EntryRecord, id kctport.Lease) error {
	if err := l.call(ctx); err != nil {
		return err
	}
	l.simStore.mu.Lock()
	defer l.simStore.mu.Unlock()
	key := "readers/" + string(e.Zone)
	if c, ok := l.records[key]; ok && c.Reader.ID != e.ID {
		return kctport.ErrConflict
	}
	lease := l.leases[id]
	if lease == nil {
		return kctport.ErrNotFound
	}
	for _, other := range l.leases {
		other.keys = slices.DeleteFunc(other.keys, func(k string) bool { return k == key })
	}
	lease.keys = append(lease.keys, key)
	l.write(kctport.RegistryChange{Kind: kctport.RecordReader, Key: key, Zone: e.Zone, Reader: &e, Value: []byte(e.ID)})
	return nil
}

func (l *simLink) SaveMove(context.Context, kctport.MoveProgress, kctport.StoreRevision) error {
	return kctport.ErrUnavailable
}

// simNet connects the entries; it implements kctport.Feed for each through simPort.
type simNet struct {
	mu      sync.Mutex
	running map[uint16]*Controller
	// cuts holds the ports that reach nobody.
	cuts map[uint16]bool
}

// simPort is one entry's access to the others.
type simPort struct {
	*simNet
	port uint16
}

// feedTimeout is the silence after which the feed adapter ends a feed, and simDialTimeout that after which it gives up connecting.
const (
	feedTimeout    = 1300 * time.Millisecond
	simDialTimeout = 400 * time.Millisecond
)

// reach returns the controller at a port; silent is set when nothing arrives there.
func (p *simPort) reach(port uint16) (c *Controller, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[port], p.cuts[port] || p.cuts[p.port]
}

func (p *simPort) dial(ctx context.Context, entry kctport.EntryRecord) (*Controller, error) {
	c, silent := p.reach(entry.Peer.Port())
	if silent {
		select {
		case <-ctx.Done():
		case <-time.After(simDialTimeout):
		}
		return nil, kctport.ErrUnavailable
	}
	if c == nil || isClosed(c.stopped) {
		return nil, kctport.ErrUnavailable
	}
	return c, nil
}

func (p *simPort) Contact(ctx context.Context, entry, _ kctport.EntryRecord) (kctport.StoreContact, error) {
	c, err := p.dial(ctx, entry)
	if err != nil {
		return kctport.StoreContact{}, err
	}
	return c.Contact(ctx), nil
}

func (p *simPort) Follow(ctx context.Context, entry kctport.EntryRecord, subscriber kctport.FeedSubscriber, handle func(kctport.FeedUpdate)) error {
	source, err := p.dial(ctx, entry)
	if err != nil {
		return err
	}
	first := subscriber.Heartbeat()
	u := source.Subscribe(ctx, first.Entry)
	u.Heartbeat(ctx, first)
	defer u.End(context.WithoutCancel(ctx))
	silence := time.NewTimer(feedTimeout)
	defer silence.Stop()
	updates := u.Updates()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-source.stopped:
			return errors.New("entry ended")
		case <-subscriber.Pending():
			if _, silent := p.reach(entry.Peer.Port()); !silent {
				u.Heartbeat(ctx, subscriber.Heartbeat())
			}
		case <-silence.C:
			return errors.New("feed is silent")
		case f, ok := <-updates:
			if !ok {
				return errors.New("subscription ended")
			}
			if _, silent := p.reach(entry.Peer.Port()); silent {
				// What is under way is lost, and so is the connection.
				updates = nil
				continue
			}
			silence.Reset(feedTimeout)
			waited := time.Since(f.Made)
			f.Store.Age += waited
			f.Store.Silence += waited
			handle(f)
		}
	}
}

// simEntry is one entry of a simulated fleet.
type simEntry struct {
	*Controller
	link   *simLink
	port   uint16
	cancel context.CancelFunc
	done   <-chan struct{}
	// disturbedAt is when the entry was last started, cut off or connected again.
	disturbedAt time.Time
	// killed is set when the entry does not run and won't start again.
	killed bool
}

// simFleet is a fleet of entries with a store.
type simFleet struct {
	t       *testing.T
	random  *rand.Rand
	store   *simStore
	net     *simNet
	entries []*simEntry
	zones   int
	starts  uint64
	stop    context.CancelFunc
	ctx     context.Context
	// versions holds when each version of the rules was acknowledged.
	versions []time.Time
	// unstableAt is when the store last was not available.
	unstableAt time.Time
	// watchedAt is when an entry last watched the store, or none could.
	watchedAt  time.Time
	log        *countingLogger
	violations int
	planned    []planned
}

func newSimFleet(t *testing.T, seed uint64, entries, zones int) *simFleet {
	f := &simFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), store: newSimStore(), zones: zones, log: &countingLogger{counts: map[string]int{}},
		net: &simNet{running: map[uint16]*Controller{}, cuts: map[uint16]bool{}},
	}
	f.ctx, f.stop = context.WithCancel(t.Context())
	f.watchedAt = time.Now()
	f.changeRules()
	go f.store.run(f.ctx)
	for i := range entries {
		f.entries = append(f.entries, &simEntry{link: &simLink{simStore: f.store}, port: uint16(i + 1)})
		f.start(f.entries[i])
	}
	return f
}

// start starts an entry anew.
func (f *simFleet) start(e *simEntry) {
	f.starts++
	zone := kctport.Zone(fmt.Sprint("z", int(e.port)%f.zones))
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), e.port)
	self := kctport.EntryRecord{ID: kctport.InstanceID(fmt.Sprint("e", e.port)), Zone: zone, Caller: address, Peer: address}
	e.Controller = New(self, e.link, &simPort{f.net, e.port}, kcttimer.New(), f.log, WithSeed(f.random.Uint64()), WithChecker(f))
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(f.ctx)
	e.disturbedAt = time.Now()
	f.net.mu.Lock()
	f.net.running[e.port] = e.Controller
	f.net.mu.Unlock()
	e.done = e.Run(ctx)
}

// Check implements kctport.Checker.
func (f *simFleet) Check(ok bool, invariant, evidence string) {
	if !ok {
		f.t.Errorf("%s: %s", invariant, evidence)
	}
}

func (f *simFleet) changeRules() {
	version := kctport.RulesVersion(len(f.versions) + 1)
	f.store.put(kctport.RegistryChange{Kind: kctport.RecordRules, Key: "rules", Rules: &kctport.Rules{Version: version}})
	f.versions = append(f.versions, time.Now())
}

// restoreStore lets the store come back from an older copy; the operator writes again what that lacks.
func (f *simFleet) restoreStore() {
	f.store.restore()
	f.store.put(kctport.RegistryChange{Kind: kctport.RecordRules, Key: "rules", Rules: &kctport.Rules{Version: kctport.RulesVersion(len(f.versions))}})
}

func (f *simFleet) end() {
	f.stop()
	for _, e := range f.entries {
		<-e.done
	}
}
