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
	// viewLifetime is how long a view stays valid, so that a paused process does not act on stale state.
	viewLifetime = time.Second
	// eventBuffer is the number of queued events; it absorbs bursts of peer messages and poll results.
	eventBuffer = 1024
	// observationBuffer is the number of queued batches of observations; traffic drops batches beyond it.
	observationBuffer = 256
	// contactTimeout is how long the store or a peer counts as reachable after its last contact.
	contactTimeout = 4 * time.Second
)

// Ports are the adapters that control uses.
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

	// Hooks are set before Run; Run sets spawn.
	inFlight func(kctport.InstanceID) int
	onJoin   func(ctx context.Context, to kctport.Member)
	loopTime func(time.Duration)
	spawn    func(func(context.Context))

	// The fields below belong to the control goroutine, except failures.
	config   kctport.Config
	started  time.Time
	draining bool
	// storeAnswered and lastListRead are the times of the last answer of the store and the last read of the instance list.
	storeAnswered time.Time
	lastListRead  time.Time

	table   *kctmember.Table
	members memberIndex
	owners  kctport.Owners

	endpoints endpointIndex
	health    *kctroute.Health
	// handovers are endpoints whose previous owner may still have work there; releasing are endpoints that this entry
	// no longer owns and will release once its own work there has ended.
	handovers endpointSet
	releasing endpointSet
	// returned has the time of return of each zone whose share is still rising; warming has the time until which the
	// endpoints of a returned zone count as cold.
	returned map[kctport.Zone]time.Time
	warming  map[kctport.Zone]time.Time

	// unshared are owned endpoints with changes that peers lack; toForward holds reports of other owners to pass on.
	unshared  endpointSet
	toForward []kctport.EndpointReport
	// fullReportSent has the members that got a full report; fullReportsDue is set while others may lack one.
	fullReportSent map[kctport.InstanceID]kctport.Incarnation
	fullReportsDue bool
	reportCounter  uint64
	lastShare      time.Time

	failures failures

	tracker *kctmove.Tracker
	// stopped has the evidence for stopping traffic to the new version, by move.
	stopped       map[string]string
	lastMoveCheck time.Time
	// versions has the current version of each service.
	versions map[kctport.ServiceName]kctport.VersionName

	// dirty, membersChanged and zonesChanged mark what the next view rebuilds.
	dirty          map[kctport.ServiceName]bool
	membersChanged bool
	zonesChanged   bool
}

// Codec encodes the configuration for the store and decodes it.
type Codec struct {
	Encode func(kctport.Config) ([]byte, error)
	Decode func([]byte) (kctport.Config, error)
}

// Option configures a controller.
type Option func(*Controller)

// WithSeeds sets members to contact while the platform's instance list is unavailable.
func WithSeeds(seeds []kctport.Member) Option {
	return func(c *Controller) { c.seeds = seeds }
}

// WithInFlight sets the source of the number of attempts that this entry has in flight at an endpoint; this
// entry releases an endpoint only when the number is 0.
func WithInFlight(f func(kctport.InstanceID) int) Option {
	return func(c *Controller) { c.inFlight = f }
}

// WithJoinHook sets a function that runs for each member new to this entry, outside of the control goroutine.
func WithJoinHook(f func(ctx context.Context, to kctport.Member)) Option {
	return func(c *Controller) { c.onJoin = f }
}

// WithLoopObserver sets a function that receives the time that control spent on each tick, event and batch.
func WithLoopObserver(f func(loopTime time.Duration)) Option {
	return func(c *Controller) { c.loopTime = f }
}

// WithOwners replaces rendezvous ownership.
func WithOwners(o kctport.Owners) Option {
	return func(c *Controller) { c.owners = o }
}

// New returns a controller for the entry; seed drives the random order of probes.
func New(self kctport.Member, ports Ports, codec Codec, seed int64, opts ...Option) *Controller {
	c := &Controller{
		self:           self,
		ports:          ports,
		codec:          codec,
		events:         make(chan event, eventBuffer),
		observations:   make(chan []kctport.Observation, observationBuffer),
		config:         kctconfig.Default(),
		table:          kctmember.NewTable(self, seed),
		owners:         kctmember.Rendezvous{},
		health:         kctroute.NewHealth(),
		tracker:        kctmove.NewTracker(),
		endpoints:      newEndpointIndex(),
		handovers:      make(endpointSet),
		releasing:      make(endpointSet),
		unshared:       make(endpointSet),
		versions:       make(map[kctport.ServiceName]kctport.VersionName),
		warming:        make(map[kctport.Zone]time.Time),
		dirty:          make(map[kctport.ServiceName]bool),
		failures:       failures{report: func(string, error) {}, failing: make(map[string]bool)},
		fullReportSent: make(map[kctport.InstanceID]kctport.Incarnation),
		returned:       make(map[kctport.Zone]time.Time),
		stopped:        make(map[string]string),
		loopTime:       func(time.Duration) {},
		onJoin:         func(context.Context, kctport.Member) {},
		inFlight:       func(kctport.InstanceID) int { return 0 },
	}
	for _, o := range opts {
		o(c)
	}
	c.started = ports.Timer.Now()
	// Peers ignore reports whose counter is not above the last one, so a restarted entry starts above its previous incarnation.
	c.reportCounter = uint64(c.started.UnixNano())
	c.views = newPublisher(ports.Timer, &kctport.View{Self: self})
	return c
}

// Run owns the control state until the context ends and then closes the returned channel.
func (c *Controller) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	tasks := newTasks(ctx)
	c.spawn = tasks.start
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
		c.loopTime(c.ports.Timer.Now().Sub(start))
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
	c.shareChanges(now)
	c.advanceMoves(now)
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
			c.markDraining(s, o)
			c.checkHealth(s, now)
		}
	}
	// Only the owner of an endpoint counts its attempts: it observes all of them, which show how warm the endpoint is.
	// A relayed attempt counted by the requesting entry too would be counted twice.
	c.tracker.Observe(now, owned)
	c.stopMoves(now)
}

// View returns the current view.
func (c *Controller) View() *kctport.View {
	return c.views.View()
}

// Wait returns a fresh view, or ErrNotRun when none is published before the context ends.
func (c *Controller) Wait(ctx context.Context) (*kctport.View, error) {
	return c.views.Wait(ctx)
}
