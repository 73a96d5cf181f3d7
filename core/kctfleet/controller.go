package kctfleet

import (
	"context"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
)

// tickInterval is how often records that lapsed are looked at again.
const tickInterval = 200 * time.Millisecond

// Logger takes one line for each change of what the entry believes.
type Logger interface {
	// Believe logs a change of a record, of the rules in force or of the store's reachability.
	Believe(what, key, detail string, version kctport.RulesVersion)
}

// update changes the state on the control goroutine and returns what to log.
type update func(s *state, now time.Time) []event

// Controller owns the control state of an entry.
type Controller struct {
	self     kctport.EntryRecord
	registry kctport.Registry
	timer    kctport.Timer
	log      Logger
	fleet    atomic.Pointer[kctport.Fleet]
	// inbox is unbuffered, so that the store is not read faster than its changes are applied.
	inbox chan update
	// announce wakes the keeper of this entry's own record.
	announce  chan struct{}
	leaving   atomic.Bool
	published []func(*kctport.Fleet)
}

// Option changes a controller at construction.
type Option func(*Controller)

// WithPublished calls f with each new picture, on the control goroutine.
func WithPublished(f func(*kctport.Fleet)) Option {
	return func(c *Controller) { c.published = append(c.published, f) }
}

// New returns a controller; nothing runs before Run.
func New(self kctport.EntryRecord, registry kctport.Registry, timer kctport.Timer, log Logger, opts ...Option) *Controller {
	c := &Controller{
		self: self, registry: registry, timer: timer, log: log,
		inbox: make(chan update), announce: make(chan struct{}, 1),
	}
	c.fleet.Store(&kctport.Fleet{Sharers: 1})
	for _, o := range opts {
		o(c)
	}
	return c
}

// Fleet returns the current picture.
func (c *Controller) Fleet() *kctport.Fleet {
	return c.fleet.Load()
}

// Run starts the control goroutine, the follower of the store and the keeper of this entry's record; the channel closes when all have ended.
func (c *Controller) Run(ctx context.Context) <-chan struct{} {
	follower, keeper, control := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(follower)
		c.follow(ctx)
	}()
	go func() {
		defer close(keeper)
		c.keep(ctx)
	}()
	go func() {
		defer close(control)
		c.control(ctx)
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-follower
		<-keeper
		<-control
	}()
	return done
}

// control applies updates one at a time and publishes a picture after each that changed something.
func (c *Controller) control(ctx context.Context) {
	s := newState(c.self)
	ticks := c.timer.Subscribe(ctx, tickInterval)
	for {
		var events []event
		select {
		case <-ctx.Done():
			return
		case u := <-c.inbox:
			events = u(s, c.timer.Now())
		case <-ticks:
		}
		now := c.timer.Now()
		events = append(events, s.expire(now)...)
		c.publish(s, now, len(events) > 0)
		for _, e := range events {
			c.log.Believe(e.what, e.key, e.detail, e.version)
		}
	}
}

// publish makes a new picture after a change; otherwise only the store's contact is brought up to date.
func (c *Controller) publish(s *state, now time.Time, changed bool) {
	old := c.fleet.Load()
	if !changed && old.Draining == s.draining {
		if old.Contact.Equal(s.contact) {
			return
		}
		f := *old
		f.Contact = s.contact
		c.fleet.Store(&f)
		return
	}
	f := s.fleet(now)
	c.fleet.Store(f)
	for _, p := range c.published {
		p(f)
	}
	if s.selfMissing() {
		c.wake()
	}
}

// update hands a change to the control goroutine.
func (c *Controller) update(ctx context.Context, u update) {
	select {
	case <-ctx.Done():
	case c.inbox <- u:
	}
}

// Leave withdraws this entry from the directory.
func (c *Controller) Leave(ctx context.Context) {
	c.leaving.Store(true)
	c.update(ctx, func(s *state, _ time.Time) []event {
		s.draining = true
		return []event{{what: "entry leaving", key: string(s.self.ID)}}
	})
	c.wake()
}

func (c *Controller) wake() {
	select {
	case c.announce <- struct{}{}:
	default:
	}
}
