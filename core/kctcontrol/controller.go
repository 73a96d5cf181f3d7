package kctcontrol

import (
	"context"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/core/kctmember"
	"kingcupturn/core/kctmove"
	"kingcupturn/core/kctroute"
)

const (
	// tickPeriod is how often control refreshes the view.
	tickPeriod = 100 * time.Millisecond
	// viewLifetime bounds how long a paused process may act on old knowledge.
	viewLifetime = time.Second
	// eventBuffer holds bursts of peer messages and poll results.
	eventBuffer = 1024
	// observationBuffer holds batches of observations; traffic drops batches beyond it.
	observationBuffer = 256
	// hearPeriod is how long an entry relies on the last word of the store or a peer.
	hearPeriod = 4 * time.Second
)

// Ports are the outside interfaces that control uses.
type Ports struct {
	Timer     kctport.Timer
	Store     kctport.Store
	Directory kctport.Directory
	Backend   kctport.Backend
	Peers     kctport.Peers
}

// Controller owns the control state of one entry.
type Controller struct {
	self  kctport.Member
	ports Ports
	seeds []kctport.Member
	codec Codec

	events       chan event
	observations chan []kctport.Observation
	views        *publisher

	// Hooks are set before Run.
	inFlight func(kctport.InstanceID) int
	welcome  func(ctx context.Context, to kctport.Member)
	spent    func(time.Duration)
	send     func(func(context.Context))

	// All fields below belong to the control goroutine.
	config   kctport.Config
	started  time.Time
	draining bool
	// storeHeard and lastList are when the store and the instance list last answered.
	storeHeard time.Time
	lastList   time.Time

	table   *kctmember.Table
	members memberIndex
	owners  kctport.Owners

	endpoints endpointIndex
	health    *kctroute.Health
	// handovers and releasing are endpoints whose owner changed.
	handovers group
	releasing group
	// returned and warming are zones whose share still rises, and whose endpoints count as cold until the time.
	returned map[kctport.Zone]time.Time
	warming  map[kctport.Zone]time.Time

	// unshared are owned endpoints with news, forward is news of others to pass on.
	unshared group
	forward  []kctport.EndpointReport
	// told has the members that got a full report; greeting is set while others may be left.
	told      map[kctport.InstanceID]kctport.Incarnation
	greeting  bool
	reports   uint64
	lastShare time.Time

	troubles troubles

	tracker *kctmove.Tracker
	// cuts has the evidence for which a move's new version gets nothing, by move.
	cuts     map[string]string
	lastMove time.Time
	// versions has the current version of each service.
	versions map[kctport.ServiceName]kctport.VersionName

	// dirty services, members and zones are built anew for the next view.
	dirty          map[kctport.ServiceName]bool
	membersChanged bool
	zonesChanged   bool
}

// Codec turns the configuration into the bytes that the store keeps and back.
type Codec struct {
	Encode func(kctport.Config) ([]byte, error)
	Decode func([]byte) (kctport.Config, error)
}

// Option changes a controller at construction.
type Option func(*Controller)

// WithSeeds names members to contact while the platform's list is unavailable.
func WithSeeds(seeds []kctport.Member) Option {
	return func(c *Controller) { c.seeds = seeds }
}

// WithInFlight tells how much work of this entry an endpoint holds, so that a handover can wait for its end.
func WithInFlight(f func(kctport.InstanceID) int) Option {
	return func(c *Controller) { c.inFlight = f }
}

// WithJoinHook sends a new member what this entry's traffic knows.
func WithJoinHook(f func(ctx context.Context, to kctport.Member)) Option {
	return func(c *Controller) { c.welcome = f }
}

// WithLoopObserver takes the time that control spent on each tick and each event.
func WithLoopObserver(f func(spent time.Duration)) Option {
	return func(c *Controller) { c.spent = f }
}

// WithOwners replaces rendezvous ownership.
func WithOwners(o kctport.Owners) Option {
	return func(c *Controller) { c.owners = o }
}

// New returns a controller for the entry; seed drives the random order of probes.
func New(self kctport.Member, ports Ports, codec Codec, seed int64, opts ...Option) *Controller {
	c := &Controller{
		self:         self,
		ports:        ports,
		codec:        codec,
		events:       make(chan event, eventBuffer),
		observations: make(chan []kctport.Observation, observationBuffer),
		config:       kctconfig.Default(),
		table:        kctmember.NewTable(self, seed),
		owners:       kctmember.Rendezvous{},
		health:       kctroute.NewHealth(),
		tracker:      kctmove.NewTracker(),
		endpoints:    newEndpointIndex(),
		handovers:    make(group),
		releasing:    make(group),
		unshared:     make(group),
		versions:     make(map[kctport.ServiceName]kctport.VersionName),
		warming:      make(map[kctport.Zone]time.Time),
		dirty:        make(map[kctport.ServiceName]bool),
		troubles:     troubles{report: func(string, error) {}, failing: make(map[string]bool)},
		told:         make(map[kctport.InstanceID]kctport.Incarnation),
		returned:     make(map[kctport.Zone]time.Time),
		cuts:         make(map[string]string),
		spent:        func(time.Duration) {},
		welcome:      func(context.Context, kctport.Member) {},
		inFlight:     func(kctport.InstanceID) int { return 0 },
	}
	for _, o := range opts {
		o(c)
	}
	c.started = ports.Timer.Now()
	// Reports of a restarted entry must be newer than those of its earlier life.
	c.reports = uint64(c.started.UnixNano())
	c.views = newPublisher(ports.Timer, &kctport.View{Self: self})
	return c
}

// Run owns the control state until the context ends and then closes the returned channel.
func (c *Controller) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	tasks := newTasks(ctx)
	c.send = tasks.start
	tasks.start(c.pollDirectory)
	tasks.start(c.announce)
	tasks.start(c.followStore)
	tasks.start(c.pollEndpoints)
	go func() {
		c.loop(ctx)
		tasks.wait()
		done <- ctx.Err()
		close(done)
	}()
	return done
}

func (c *Controller) loop(ctx context.Context) {
	tick := c.ports.Timer.Subscribe(ctx, tickPeriod)
	c.table.AddListed(c.ports.Timer.Now(), c.seeds)
	for {
		var start time.Time
		select {
		case <-ctx.Done():
			return
		case <-tick:
			start = c.ports.Timer.Now()
			c.onTick(start)
		case e := <-c.events:
			start = c.ports.Timer.Now()
			e.apply(c, start)
		case batch := <-c.observations:
			start = c.ports.Timer.Now()
			c.onObservations(start, batch)
		}
		c.spent(c.ports.Timer.Now().Sub(start))
	}
}

func (c *Controller) onTick(now time.Time) {
	c.table.SetRevision(c.config.Revision)
	for _, s := range c.table.Tick(now) {
		c.probe(s)
	}
	c.refreshMembers(now)
	c.refreshHandovers(now)
	c.refreshZones(now)
	for _, s := range c.endpoints.byOwner[c.self.ID] {
		c.checkHealth(s, now)
	}
	c.share(now)
	c.workOnMoves(now)
	c.publish(now)
}

func (c *Controller) onObservations(now time.Time, batch []kctport.Observation) {
	c.health.Observe(now, batch)
	owned := batch[:0]
	for _, o := range batch {
		if o.Path == kctport.PathRelayed {
			c.suspectOwner(now, o)
			continue
		}
		owned = append(owned, o)
		if s := c.endpoints.all[o.Endpoint]; s != nil {
			c.noteLeaving(s, o)
			c.checkHealth(s, now)
		}
	}
	// The owner sees all attempts at an endpoint, so it knows how warm it is; counting an attempt at the relaying
	// entry as well would double the evidence.
	c.tracker.Observe(now, owned)
	c.cutMoves(now)
}

// View returns the current view.
func (c *Controller) View() *kctport.View {
	return c.views.View()
}

// Wait returns a fresh view, or ErrNotRun when none comes before the context ends.
func (c *Controller) Wait(ctx context.Context) (*kctport.View, error) {
	return c.views.Wait(ctx)
}
