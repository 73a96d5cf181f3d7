package kctload

// EndpointCounts is what endpoints had to refuse or take above what they can sustain.
type EndpointCounts struct {
	// ColdExcess counts requests that reached cold endpoints above their capacity.
	ColdExcess uint64
	// Sheds counts requests refused for lack of a slot, Connections those accepted.
	Sheds       uint64
	Connections uint64
}

// strain adds up over all endpoints since their start.
func (c *Cluster) strain() EndpointCounts {
	var s EndpointCounts
	for _, e := range c.endpoints(all) {
		n := e.Counts()
		s.ColdExcess += n.Violations
		s.Sheds += n.Shed
		s.Connections += n.Connections
	}
	return s
}

// measured is the strain of the measured load.
func (c *Cluster) measured() EndpointCounts {
	s := c.strain()
	s.ColdExcess -= c.before.ColdExcess
	s.Sheds -= c.before.Sheds
	s.Connections -= c.before.Connections
	return s
}
