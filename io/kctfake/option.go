package kctfake

import (
	"net/netip"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

const (
	defaultSlots = 4
	defaultQueue = 4
)

type settings struct {
	address     netip.AddrPort
	service     kctport.ServiceName
	zone        kctport.Zone
	version     kctport.VersionName
	holdings    []kctwire.Holding
	slots       int
	queue       int
	connections int
	resetExcess bool
	connect     time.Duration
	base        time.Duration
	tail        time.Duration
	network     time.Duration
	cold        int
	seed        uint64
}

// EndpointOption sets up an Endpoint.
type EndpointOption func(*settings)

// WithAddress sets the listening address.
func WithAddress(at netip.AddrPort) EndpointOption {
	return func(s *settings) { s.address = at }
}

// WithService sets the service, zone and software version.
func WithService(service kctport.ServiceName, zone kctport.Zone, version kctport.VersionName) EndpointOption {
	return func(s *settings) { s.service, s.zone, s.version = service, zone, version }
}

// WithHoldings sets the snapshots that the endpoint holds at its start.
func WithHoldings(h ...kctport.Holding) EndpointOption {
	return func(s *settings) { s.holdings = wireHoldings(h) }
}

// WithSlots sets the concurrency limit and the length of the queue behind it.
func WithSlots(slots, queue int) EndpointOption {
	return func(s *settings) { s.slots, s.queue = slots, queue }
}

// WithConnections sets the connection limit (0 for none) and the time that a new connection costs; connections above the limit are reset or wait.
func WithConnections(limit int, connect time.Duration, reset bool) EndpointOption {
	return func(s *settings) { s.connections, s.connect, s.resetExcess = limit, connect, reset }
}

// WithServiceTime sets the service time: a base plus an exponentially distributed tail of the given mean.
func WithServiceTime(base, tail time.Duration) EndpointOption {
	return func(s *settings) { s.base, s.tail = base, tail }
}

// WithNetworkDelay sets the one-way network delay.
func WithNetworkDelay(delay time.Duration) EndpointOption {
	return func(s *settings) { s.network = delay }
}

// WithCold sets the number of requests that the endpoint serves with 1 slot and 4 times slower after each start.
func WithCold(requests int) EndpointOption {
	return func(s *settings) { s.cold = requests }
}

// WithSeed seeds service times, faults and boot identifiers.
func WithSeed(seed uint64) EndpointOption {
	return func(s *settings) { s.seed = seed }
}

func wireHoldings(h []kctport.Holding) []kctwire.Holding {
	out := make([]kctwire.Holding, len(h))
	for n, v := range h {
		out[n] = kctwire.Holding(v)
	}
	return out
}
