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

// coldFactor multiplies the service time of a cold endpoint.
const coldFactor = 4

// Endpoint is a stand-in for one endpoint of a service.
type Endpoint struct {
	id       kctport.InstanceID
	settings settings
	gate     gate

	mu          sync.Mutex
	ctx         context.Context
	address     netip.AddrPort
	random      *rand.Rand
	server      *server
	acceptor    *acceptor
	stopped     bool
	bootID      uint64
	firstBootID uint64
	holdings    []kctwire.Holding
	faults      kctwire.EndpointFaults
	// badSince is when faults.BadVersion last changed; its After counts from there.
	badSince  time.Time
	runs      map[string]int
	counts    kctwire.EndpointCounts
	history   []pastStatus
	lastReply keptReply
}

// NewEndpoint returns an endpoint that does not listen yet.
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

// Start listens and serves until Stop or the end of the context; it returns the listening address.
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

// listen opens the listener, makes the endpoint cold and draws a new boot identifier; e.mu must be held.
func (e *Endpoint) listen() error {
	l, at, err := listen(e.ctx, e.address)
	if err != nil {
		return err
	}
	e.address = at
	e.bootID = e.random.Uint64() | 1
	if e.firstBootID == 0 {
		e.firstBootID = e.bootID
	}
	e.gate.setCold(e.settings.coldRequests)
	e.acceptor = newAcceptor(l, e.settings.maxConnections, e.settings.resetExcess, e.settings.connectDelay)
	e.acceptor.setUnreachable(e.faults.Unreachable)
	e.server = serve(e.ctx, e.acceptor, e.handler(), withConn)
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

// Registration returns the record with which the endpoint registers.
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

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f kctwire.EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.BadVersion != e.faults.BadVersion {
		e.badSince = time.Now()
	}
	e.faults = f
	if e.acceptor == nil {
		return
	}
	e.acceptor.setUnreachable(f.Unreachable)
}

// Faults returns the injected faults.
func (e *Endpoint) Faults() kctwire.EndpointFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Drain makes the endpoint refuse new requests and report that it is draining.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.Draining = true
}

// BlackholeConnections makes the open connections stop answering; new ones are not affected.
func (e *Endpoint) BlackholeConnections() {
	e.mu.Lock()
	a := e.acceptor
	e.mu.Unlock()
	if a != nil {
		a.blackhole()
	}
}

// MakeCold makes the endpoint cold for the given number of requests without a restart, as after a cache flush.
func (e *Endpoint) MakeCold(requests int) {
	e.gate.setCold(requests)
}

// SetHoldings replaces the snapshots that the endpoint holds.
func (e *Endpoint) SetHoldings(h ...kctport.Holding) {
	e.setHoldings(wireHoldings(h))
}

func (e *Endpoint) setHoldings(h []kctwire.Holding) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdings = h
}

// Runs returns how often the endpoint started to run the request with the idempotency key.
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

// networkDelay returns the one-way network delay, including that of the faults.
func (e *Endpoint) networkDelay() time.Duration {
	return e.settings.networkDelay + time.Duration(e.Faults().NetworkDelay)
}

// holds reports whether the endpoint holds the snapshot of the requested shard; e.mu must be held.
func (e *Endpoint) holds(r kctwire.PartRequest) bool {
	return slices.Contains(e.holdings, kctwire.Holding{Snapshot: r.Snapshot, Shard: r.Shard, Shards: r.Shards})
}
