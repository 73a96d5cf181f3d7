package kctfleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
)

// tickInterval is how often records that lapsed are looked at again.
const tickInterval = 250 * time.Millisecond

// Logger takes one line for each change of what the entry believes.
type Logger interface {
	// LogChange logs a change of a record, of the rules in force, of the members or of the store's reachability.
	LogChange(what, key, detail string, version kctport.RulesVersion)
}

// update changes the state on the control goroutine and returns what has changed, to be logged and published.
type update func(s *state, now time.Time) []event

// Controller owns the control state of an entry.
type Controller struct {
	self     kctport.EntryRecord
	registry kctport.Registry
	feed     kctport.Feed
	timer    kctport.Timer
	log      Logger
	fleet    atomic.Pointer[kctport.Fleet]
	// readers are the entries that read the store, as last heard.
	readers atomic.Pointer[[]kctport.EntryRecord]
	// inbox is unbuffered, so that the store is not read faster than its changes are applied.
	inbox chan update
	// stopped is closed when the control goroutine has ended.
	stopped chan struct{}
	leaving atomic.Bool
	load    func() float64
	random  *rand.Rand
	zones   int
	// watchWait bounds how long a connection to the store that went silent hides changes.
	watchWait time.Duration
	// claimed is when the source goroutine last tried to become the zone's reader.
	claimed time.Time
	// failures is when the source goroutine last lost each reader's feed.
	failures map[kctport.InstanceID]time.Time

	published []func(*kctport.Fleet)
	// observations are attempts at endpoints of moving services.
	observations chan kctport.Observation
	// saves are the writes of moves that are under way.
	saves sync.WaitGroup
	// The control goroutine alone uses what follows.
	subscribers map[*subscription]bool
	nextBeat    time.Time
	toldAway    bool
}

// Option changes a controller at construction.
type Option func(*Controller)

// WithOnPublish calls f with each new picture, on the control goroutine.
func WithOnPublish(f func(*kctport.Fleet)) Option {
	return func(c *Controller) { c.published = append(c.published, f) }
}

// WithLoad tells other entries the share of its processor time that this entry uses.
func WithLoad(load func() float64) Option {
	return func(c *Controller) { c.load = load }
}

// WithSeed seeds the delays that keep entries from acting at the same moment.
func WithSeed(seed uint64) Option {
	return func(c *Controller) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithZones sets the number of availability zones, from which an entry that has just started estimates how many others share fleet-wide limits.
func WithZones(zones int) Option {
	return func(c *Controller) { c.zones = zones }
}

// WithApplyDeadline sets the time within which a change of the rules must be in force.
func WithApplyDeadline(apply time.Duration) Option {
	return func(c *Controller) { c.watchWait = min(longestWatch, time.Duration(watchShare*float64(apply))) }
}

// New returns a controller; nothing runs before Run.
func New(self kctport.EntryRecord, registry kctport.Registry, feed kctport.Feed, timer kctport.Timer, log Logger, opts ...Option) *Controller {
	c := &Controller{
		self: self, registry: registry, feed: feed, timer: timer, log: log, inbox: make(chan update), stopped: make(chan struct{}),
		load: func() float64 { return 0 }, random: rand.New(rand.NewPCG(1, 1)), subscribers: map[*subscription]bool{},
		failures: map[kctport.InstanceID]time.Time{}, watchWait: longestWatch, observations: make(chan kctport.Observation, observationBuffer),
	}
	c.fleet.Store(&kctport.Fleet{LimitShares: 1, ActiveShares: 1})
	c.readers.Store(&[]kctport.EntryRecord{})
	for _, o := range opts {
		o(c)
	}
	return c
}

// Fleet returns the current picture.
func (c *Controller) Fleet() *kctport.Fleet {
	return c.fleet.Load()
}

// Self is this entry's record as it is now.
func (c *Controller) Self() kctport.EntryRecord {
	r := c.self
	r.Leaving, r.Load = c.leaving.Load(), c.load()
	return r
}

// Run starts the control goroutine and the one that follows the store or a reader; the channel closes when both have ended. It is called once.
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
		c.saves.Wait()
	}()
	return done
}

// control applies updates one at a time and publishes a picture after each that changed something.
func (c *Controller) control(ctx context.Context) {
	s := newState(c.self)
	s.presume(c.zones*minActive, c.timer.Now())
	ticks := c.timer.Subscribe(ctx, tickInterval)
	for {
		var events []event
		select {
		case <-ctx.Done():
			return
		case u := <-c.inbox:
			events = u(s, c.timer.Now())
		case <-ticks:
			events = s.refresh(c.Self())
			c.workOnMoves(ctx, s, c.timer.Now())
		}
		now := c.timer.Now()
		events = append(events, s.expire(now)...)
		c.publish(s, now, len(events) > 0 || c.cutsMove(s, now))
		c.broadcast(s, now)
		for _, e := range events {
			if e.what != "" {
				c.log.LogChange(e.what, e.key, e.detail, e.version)
			}
		}
	}
}

// refresh takes this entry's own record as it is now; every entry counts itself as a member at itself.
func (s *state) refresh(self kctport.EntryRecord) []event {
	s.self = self
	if s.members.set(kctport.FeedMember{Origin: self.ID, Entry: self}) {
		return []event{{}}
	}
	return nil
}

// publish makes a new picture after a change; otherwise only the store's contact is brought up to date.
func (c *Controller) publish(s *state, now time.Time, changed bool) {
	old := c.fleet.Load()
	if !changed && old.Draining == s.draining {
		if !old.LastContact.Equal(s.contact) {
			f := *old
			f.LastContact = s.contact
			c.fleet.Store(&f)
		}
		return
	}
	f := s.fleet(now)
	c.fleet.Store(f)
	readers := s.readers()
	c.readers.Store(&readers)
	for _, p := range c.published {
		p(f)
	}
}

// update hands a change to the control goroutine; it is false when the context or the controller has ended.
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
		s.refresh(c.Self())
		return []event{{what: "entry leaving", key: string(s.self.ID)}}
	})
}

func (c *Controller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.timer.After(ctx, d):
	}
}
