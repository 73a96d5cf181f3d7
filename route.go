package kctport

import "time"

// RulesVersion numbers the routing rules that the operator has accepted; it rises in uneven steps.
type RulesVersion uint64

// Target is one service of a route and its relative weight.
type Target struct {
	Service ServiceName
	Weight  float64
}

// Route says where the requests of a host and path prefix go and what may be done with them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets share the requests of a route without a gather by their weights.
	Targets []Target
	// Gather names the shards; every request goes to one endpoint of each.
	Gather []ServiceName
	// Idempotent allows a request to run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer is on time.
	Objective time.Duration
	// Attempts is the largest number of endpoints of one service that may run a request.
	Attempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// TopK is the number of records of a gathered answer.
	TopK int
	// MinCoverage is the smallest share of shards of a successful answer, 0 to 1.
	MinCoverage float64
}

// Services visits the services that the route may use.
func (r *Route) Services() []ServiceName {
	if len(r.Gather) > 0 {
		return r.Gather
	}
	names := make([]ServiceName, 0, len(r.Targets))
	for _, t := range r.Targets {
		names = append(names, t.Service)
	}
	return names
}

// ServiceRule is what the operator says of a service.
type ServiceRule struct {
	Name ServiceName
	// Connections is the number of connections that one endpoint accepts from all entries together.
	Connections int
	// ColdRate is the number of requests a second that a cold endpoint bears from all entries together; 0 when not bounded.
	ColdRate float64
}

// CallerLimits bound what a caller may send and how long it may stay idle.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Rules are one accepted version of the operator's routing configuration; they are immutable.
type Rules struct {
	Version  RulesVersion
	Routes   []Route
	Services map[ServiceName]ServiceRule
	Limits   CallerLimits
}
