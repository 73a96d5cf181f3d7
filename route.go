package kctport

import "time"

// RulesVersion numbers the accepted routing rules; it increases with gaps.
type RulesVersion uint64

// Target is one service of a route and its relative weight.
type Target struct {
	Service ServiceName
	Weight  float64
}

// Route defines where requests for a host and path prefix are sent, and their limits.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets are the services among which requests are split by weight; used when Gather is empty.
	Targets []Target
	// Gather lists the services that are the shards; every request is sent to one endpoint of each.
	Gather []ServiceName
	// Idempotent allows a request to run more than once.
	Idempotent bool
	// Timeout is the longest time until the caller gets an answer.
	Timeout time.Duration
	// Objective is the latency within which an answer is on time.
	Objective time.Duration
	// Attempts is the maximum number of endpoints of one service that may run a request.
	Attempts int
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// TopK is the number of records in a gathered answer.
	TopK int
	// MinCoverage is the smallest fraction of shards in a successful answer, 0 to 1.
	MinCoverage float64
}

// Services returns the services to which the route may send requests.
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

// ServiceRule holds the operator's limits for the endpoints of a service.
type ServiceRule struct {
	Name ServiceName
	// Connections is the number of connections that one endpoint accepts from all entries together.
	Connections int
	// ColdRate is the number of requests per second that a cold endpoint can handle from all entries together; 0 means no bound.
	ColdRate float64
}

// CallerLimits bound the size of a caller's request, the time until its headers are complete and the time that a connection may be idle.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Rules are one accepted rules version of the operator; they are immutable.
type Rules struct {
	Version  RulesVersion
	Routes   []Route
	Services map[ServiceName]ServiceRule
	Limits   CallerLimits
}
