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
	address        netip.AddrPort
	service        kctport.ServiceName
	zone           kctport.Zone
	version        kctport.VersionName
	holdings       []kctwire.Holding
	slots          int
	queue          int
	maxConnections int
	resetExcess    bool
	connectDelay   time.Duration
	base           time.Duration
	tail           time.Duration
	networkDelay   time.Duration
	coldRequests   int
	seed           uint64
}

// EndpointOption configures an Endpoint.
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

// WithSlots sets the concurrency limit and the limit of the queue.
func WithSlots(slots, queue int) EndpointOption {
	return func(s *settings) { s.slots, s.queue = slots, queue }
}

// WithConnections sets the connection limit (0 for none) and the delay of the first read of a new connection. Connections above the
// limit are reset if reset is set, and wait otherwise.
func WithConnections(limit int, connectDelay time.Duration, reset bool) EndpointOption {
	return func(s *settings) { s.maxConnections, s.connectDelay, s.resetExcess = limit, connectDelay, reset }
}

// WithServiceTime sets the service time: a fixed base plus an exponentially distributed tail with the given mean.
func WithServiceTime(base, tail time.Duration) EndpointOption {
	return func(s *settings) { s.base, s.tail = base, tail }
}

// WithNetworkDelay sets the one-way network delay.
func WithNetworkDelay(delay time.Duration) EndpointOption {
	return func(s *settings) { s.networkDelay = delay }
}

// WithCold sets the number of requests for which the endpoint is cold after each start: it has 1 slot and is 4 times slower.
func WithCold(requests int) EndpointOption {
	return func(s *settings) { s.coldRequests = requests }
}

// WithSeed sets the seed of service times, faults and boot identifiers.
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
