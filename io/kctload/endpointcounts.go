package kctload

// EndpointCounts sums the connections and the overload that endpoints counted.
type EndpointCounts struct {
	// ColdExcess counts requests above the capacity of a cold endpoint.
	ColdExcess uint64
	// Sheds counts requests refused for lack of a slot, Connections the accepted connections.
	Sheds       uint64
	Connections uint64
}

// endpointCounts returns the counts of all endpoints since their start.
func (c *Cluster) endpointCounts() EndpointCounts {
	var s EndpointCounts
	for _, e := range c.endpoints(anyEndpoint) {
		n := e.Counts()
		s.ColdExcess += n.Violations
		s.Sheds += n.Shed
		s.Connections += n.Connections
	}
	return s
}

// measuredCounts returns the counts of the measured load, without those of the warm-up.
func (c *Cluster) measuredCounts() EndpointCounts {
	s := c.endpointCounts()
	s.ColdExcess -= c.warmup.ColdExcess
	s.Sheds -= c.warmup.Sheds
	s.Connections -= c.warmup.Connections
	return s
}
