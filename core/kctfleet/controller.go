package kctfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctmove"
)

// tickInterval is how often lapsed records are checked for expiry and moves are advanced.
const tickInterval = 250 * time.Millisecond

// Logger logs changes of the control state.
type Logger interface {
	// LogChange logs a change of a record, the rules in force, the members or the store's reachability.
	LogChange(message, key, detail string, version kctport.RulesVersion)
}

// update changes the state on the control goroutine and returns the changes to log and publish.
type update func(s *state, now time.Time) []event

// Controller owns an entry's control state.
type Controller struct {
	self     kctport.EntryRecord
	registry kctport.Registry
	feed     kctport.Feed
	timer    kctport.Timer
	log      Logger
	fleet    atomic.Pointer[kctport.Fleet]
	// readers are the entries that read the store, as of the last published fleet state.
	readers atomic.Pointer[[]kctport.EntryRecord]
	// inbox is unbuffered, so that the store is read no faster than its changes are applied.
	inbox chan update
	// stopped is closed when the control goroutine has ended.
	stopped chan struct{}
	leaving atomic.Bool
	load    func() float64
	random  *rand.Rand
	zones   map[kctport.Zone]kctport.Region
	// watchWait bounds how long a stalled connection to the store can delay changes.
	watchWait time.Duration
	// heartbeat is how often endpoints write their records.
	heartbeat time.Duration
	// maxAge is the age of the state beyond which this entry is no longer in contact with the store.
	maxAge time.Duration
	// contact is the contact with the store as last published, and contactChanged tells the source goroutine of its changes.
	contact        atomic.Pointer[contactView]
	contactChanged chan struct{}
	contactLosses  atomic.Uint64
	checker        kctport.Checker
	suspicions     kctport.SuspicionMemory
	// reports are suspicions of this entry's traffic on their way to the control goroutine.
	reports        chan []kctport.Suspicion
	droppedReports atomic.Uint64
	// exposure is the bound on the requests that a version gets before its move has ended.
	exposure kctmove.Exposure

	onPublish []func(*kctport.Fleet)
	// observations are attempts at endpoints of services with a running move, on their way to the control goroutine.
	observations chan kctport.Observation
	// pendingSaves counts the writes of moves in progress.
	pendingSaves sync.WaitGroup
	// The fields below belong to the control goroutine.
	subscribers map[*subscription]bool
	// links are the feeds that this entry follows.
	links         map[*link]bool
	nextHeartbeat time.Time
	// sentWatcher and sentComplete are what subscribers were last told of the contact with the store.
	sentWatcher  kctport.InstanceID
	sentComplete time.Time
}

// contactView is what the source goroutine needs to know of the contact with the store.
type contactView struct {
	// lostSince is when contact was lost, zero while there is contact.
	lostSince time.Time
	// ownAnswers is set while this entry's own watch gets answers.
	ownAnswers bool
}

// Option configures a Controller in New.
type Option func(*Controller)

// WithOnPublish calls f with each new fleet state, on the control goroutine.
func WithOnPublish(f func(*kctport.Fleet)) Option {
	return func(c *Controller) { c.onPublish = append(c.onPublish, f) }
}

// WithLoad sets the source of this entry's processor share, 0 to 1, which it reports to other entries.
func WithLoad(load func() float64) Option {
	return func(c *Controller) { c.load = load }
}

// WithSeed seeds the random delays that keep entries from acting at the same moment.
func WithSeed(seed uint64) Option {
	return func(c *Controller) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithZones sets the availability zones and their regions. From their number a newly started entry estimates how many others share fleet-wide limits.
func WithZones(zones map[kctport.Zone]kctport.Region) Option {
	return func(c *Controller) { c.zones = zones }
}

// WithApplyDeadline sets the time within which a change of the rules must be in force.
func WithApplyDeadline(deadline time.Duration) Option {
	return func(c *Controller) { c.watchWait = min(maxWatchWait, time.Duration(watchWaitRatio*float64(deadline))) }
}

// WithHeartbeat sets how often endpoints write their records, from which follows how long an outage must last for records of live ones to expire.
func WithHeartbeat(heartbeat time.Duration) Option {
	return func(c *Controller) { c.heartbeat = heartbeat }
}

// WithChecker sets the checker of invariants.
func WithChecker(checker kctport.Checker) Option {
	return func(c *Controller) { c.checker = checker }
}

type noChecker struct{}

func (noChecker) Check(bool, string, string) {}

// New returns a controller that does nothing before Run.
func New(self kctport.EntryRecord, registry kctport.Registry, feed kctport.Feed, timer kctport.Timer, log Logger, opts ...Option) *Controller {
	c := &Controller{
		self: self, registry: registry, feed: feed, timer: timer, log: log, inbox: make(chan update), stopped: make(chan struct{}),
		load: func() float64 { return 0 }, random: rand.New(rand.NewPCG(1, 1)), subscribers: map[*subscription]bool{}, links: map[*link]bool{},
		exposure: kctmove.DefaultExposure, suspicions: noSuspicions{}, reports: make(chan []kctport.Suspicion, reportBuffer),
		contactChanged: make(chan struct{}, 1), checker: noChecker{}, watchWait: maxWatchWait, heartbeat: defaultHeartbeat,
		observations: make(chan kctport.Observation, observationBuffer),
	}
	c.fleet.Store(&kctport.Fleet{LimitShares: 1, ActiveShares: 1, ConnectionShares: 1})
	c.readers.Store(&[]kctport.EntryRecord{})
	c.contact.Store(&contactView{lostSince: timer.Now()})
	for _, o := range opts {
		o(c)
	}
	c.maxAge = c.watchWait + watchReserve + ageReserve
	return c
}

// Fleet returns the current fleet state.
func (c *Controller) Fleet() *kctport.Fleet {
	return c.fleet.Load()
}

// ContactLosses returns how often contact with the store was lost since the start.
func (c *Controller) ContactLosses() uint64 {
	return c.contactLosses.Load()
}

// Self returns this entry's current record.
func (c *Controller) Self() kctport.EntryRecord {
	r := c.self
	r.Leaving, r.Load = c.leaving.Load(), c.load()
	return r
}

// Run starts the control goroutine and the source goroutine, which follows the store or a reader. The returned channel is closed when both have
// ended and no writes are pending. Run is called once.
func (c *Controller) Run(ctx context.Context) <-chan struct{} {
	source := make(chan struct{})
	go func() {
		defer close(c.stopped)
		c.control(ctx)
	}()
	go func() {
		defer close(source)
		c.source(ctx)
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-source
		<-c.stopped
		c.pendingSaves.Wait()
	}()
	return done
}

// moveInterval is the shortest time between two steps of moves, which follow updates: the record of a step allows the next one.
const moveInterval = 50 * time.Millisecond

// control applies updates one at a time and publishes the fleet state after each that changed something.
func (c *Controller) control(ctx context.Context) {
	s := newState(c.self, c.zones, newStoreContact(c.self.ID, c.maxAge, c.heartbeat, c.timer.Now()))
	s.mover = newMover(c.exposure)
	s.assumeShares(len(c.zones)*assumedEntries, c.timer.Now())
	ticks := c.timer.Subscribe(ctx, tickInterval)
	for {
		var events []event
		select {
		case <-ctx.Done():
			return
		case u := <-c.inbox:
			events = c.applyUpdate(s, u)
		case suspicions := <-c.reports:
			c.passOn(s, nil, suspicions, nil)
		case <-ticks:
			events = s.updateSelf(c.Self())
		}
		for _, step := range []update{
			func(s *state, now time.Time) []event { return c.advanceMoves(ctx, s, now) },
			func(s *state, now time.Time) []event { return append(s.contact.assess(now), s.expire(now)...) },
			func(s *state, now time.Time) []event { return c.publishAll(s, now) },
		} {
			s.changed = s.changed || len(events) > 0
			events = append(events, c.applyUpdate(s, step)...)
		}
		for _, e := range events {
			if e.message != "" {
				c.log.LogChange(e.message, e.key, e.detail, e.version)
			}
		}
	}
}

// publishAll publishes the fleet state and the contact with the store, and sends other entries what is new.
func (c *Controller) publishAll(s *state, now time.Time) []event {
	c.publish(s, now, s.changed || c.hasNewEvidence(s, now))
	s.changed = false
	c.publishContact(s, now)
	c.broadcast(s, now)
	return nil
}

// applyUpdate applies an update. One that panics is counted and left out: what comes from the store and from other entries must not end the process, which
// would read it again after its start.
func (c *Controller) applyUpdate(s *state, u update) (events []event) {
	defer func() {
		if p := recover(); p != nil {
			s.changed = true
			c.checker.Check(false, "updates apply without a panic", fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	return u(s, c.timer.Now())
}

// updateSelf stores this entry's current record; every entry is a member under its own origin.
func (s *state) updateSelf(self kctport.EntryRecord) []event {
	s.self = self
	if s.members.set(kctport.FeedMember{Origin: self.ID, Entry: self}) {
		return []event{{}}
	}
	return nil
}

// publish publishes a new fleet state after a change; otherwise it updates only the contact with the store.
func (c *Controller) publish(s *state, now time.Time, changed bool) {
	old := c.fleet.Load()
	if !changed && old.Draining == s.draining {
		best, _ := s.contact.best(now)
		if !old.LastContact.Equal(s.contact.complete) || old.Watcher != best.watcher || old.WatcherHops != best.hops {
			f := *old
			f.LastContact, f.Watcher, f.WatcherHops = s.contact.complete, best.watcher, best.hops
			c.fleet.Store(&f)
		}
		return
	}
	f := s.fleet(now)
	c.fleet.Store(f)
	readers := s.readers()
	c.readers.Store(&readers)
	for _, p := range c.onPublish {
		p(f)
	}
}

// publishContact tells the source goroutine of a change of contact, and checks that an entry which counts as in contact can say who watches the store
// and that its state is complete up to less than maxAge ago.
func (c *Controller) publishContact(s *state, now time.Time) {
	_, ownAnswers := s.contact.ownObservation(now)
	v := contactView{lostSince: s.contact.lostSince, ownAnswers: ownAnswers}
	if f := c.Fleet(); s.contact.inContact() && (f.Watcher == "" || now.Sub(f.LastContact) > c.maxAge) {
		c.checker.Check(false, "contact with the store is current", fmt.Sprintf("watched by %q, age %v", f.Watcher, now.Sub(f.LastContact)))
	}
	old := c.contact.Swap(&v)
	if *old == v {
		return
	}
	if old.lostSince.IsZero() && !v.lostSince.IsZero() {
		c.contactLosses.Add(1)
	}
	select {
	case c.contactChanged <- struct{}{}:
	default:
	}
}

// update passes a change to the control goroutine; it returns false when the context or the controller has ended.
func (c *Controller) update(ctx context.Context, u update) bool {
	select {
	case <-ctx.Done():
	case <-c.stopped:
	case c.inbox <- u:
		return true
	}
	return false
}

// Leave withdraws this entry from the directory.
func (c *Controller) Leave(ctx context.Context) {
	c.leaving.Store(true)
	c.update(ctx, func(s *state, _ time.Time) []event {
		s.draining = true
		s.updateSelf(c.Self())
		return []event{{message: "entry leaving", key: string(s.self.ID)}}
	})
}

func (c *Controller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.timer.After(ctx, d):
	}
}
