package kctfake

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// coldFactor is how much slower a cold endpoint serves.
const coldFactor = 4

// Endpoint is a stand-in of one server of a service.
type Endpoint struct {
	id       kctport.InstanceID
	settings settings
	gate     gate

	mu       sync.Mutex
	ctx      context.Context
	address  netip.AddrPort
	random   *rand.Rand
	server   *server
	acceptor *acceptor
	stopped  bool
	boot     uint64
	first    uint64
	holdings []kctwire.Holding
	faults   kctwire.EndpointFaults
	// since is when the version became bad.
	since   time.Time
	runs    map[string]int
	counts  kctwire.EndpointCounts
	history []dated
	last    crossed
}

// NewEndpoint returns an endpoint that is not yet listening.
func NewEndpoint(id kctport.InstanceID, opts ...EndpointOption) *Endpoint {
	s := settings{
		address: loopback,
		service: "service",
		slots:   defaultSlots,
		queue:   defaultQueue,
	}
	for _, o := range opts {
		o(&s)
	}
	e := &Endpoint{
		id:       id,
		settings: s,
		address:  s.address,
		random:   rand.New(rand.NewPCG(s.seed, uint64(len(id)))),
		holdings: s.holdings,
		runs:     map[string]int{},
	}
	e.gate = gate{slots: s.slots, queue: s.queue}
	return e
}

// Start listens and serves until Stop or the end of the context.
func (e *Endpoint) Start(ctx context.Context) (netip.AddrPort, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ctx = ctx
	if err := e.listen(); err != nil {
		return netip.AddrPort{}, err
	}
	context.AfterFunc(ctx, e.Stop)
	return e.address, nil
}

// listen opens the listener with a new boot identifier, cold; the caller holds the lock.
func (e *Endpoint) listen() error {
	l, at, err := listen(e.ctx, e.address)
	if err != nil {
		return err
	}
	e.address = at
	e.boot = e.random.Uint64() | 1
	if e.first == 0 {
		e.first = e.boot
	}
	e.gate.reset(e.settings.cold)
	e.acceptor = newAcceptor(l, e.settings.connections, e.settings.resetExcess, e.settings.connect)
	e.acceptor.unreachable(e.faults.Unreachable)
	e.server = serve(e.ctx, e.acceptor, e.handler(), keepConn)
	return nil
}

// Stop closes the listener and all connections.
func (e *Endpoint) Stop() {
	e.mu.Lock()
	e.stopped = true
	s := e.server
	e.mu.Unlock()
	if s != nil {
		s.close()
	}
}

// Registration returns the entry for the platform's list.
func (e *Endpoint) Registration() kctwire.Registration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return kctwire.Registration{
		Service: e.settings.service,
		Zone:    e.settings.zone,
		Version: e.settings.version,
		Address: e.address,
	}
}

// ID returns the instance identifier.
func (e *Endpoint) ID() kctport.InstanceID {
	return e.id
}

// SetFaults replaces the switches.
func (e *Endpoint) SetFaults(f kctwire.EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.BadVersion != e.faults.BadVersion {
		e.since = time.Now()
	}
	e.faults = f
	if e.acceptor == nil {
		return
	}
	e.acceptor.unreachable(f.Unreachable)
}

// Faults returns the switches.
func (e *Endpoint) Faults() kctwire.EndpointFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Drain makes the endpoint refuse new work and say so.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.Draining = true
}

// BlackholeConnections makes the open connections stop answering; new ones work.
func (e *Endpoint) BlackholeConnections() {
	e.mu.Lock()
	a := e.acceptor
	e.mu.Unlock()
	if a != nil {
		a.silence()
	}
}

// MakeCold makes the endpoint cold without a restart, as after a cache flush.
func (e *Endpoint) MakeCold(requests int) {
	e.gate.reset(requests)
}

// SetHoldings replaces the snapshots that the endpoint holds.
func (e *Endpoint) SetHoldings(h ...kctport.Holding) {
	e.hold(wireHoldings(h))
}

func (e *Endpoint) hold(h []kctwire.Holding) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdings = h
}

// Runs returns how often the work of a non-idempotent request with the key started.
func (e *Endpoint) Runs(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key]
}

// Counts returns the counters.
func (e *Endpoint) Counts() kctwire.EndpointCounts {
	e.mu.Lock()
	c := e.counts
	if e.acceptor != nil {
		e.acceptor.addTo(&c)
	}
	e.mu.Unlock()
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	c.Peak, c.Violations = e.gate.peak, e.gate.violations
	return c
}

// network returns the one-way delay.
func (e *Endpoint) network() time.Duration {
	return e.settings.network + time.Duration(e.Faults().NetworkDelay)
}

// holds reports whether the endpoint holds the snapshot with this shard; the caller holds the lock.
func (e *Endpoint) holds(r kctwire.PartRequest) bool {
	return slices.Contains(e.holdings, kctwire.Holding{Snapshot: r.Snapshot, Shard: r.Shard, Shards: r.Shards})
}
