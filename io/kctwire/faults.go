package kctwire

// EndpointFaults are the switches of the endpoint stand-in; the zero value is a healthy endpoint.
// A share is a probability between 0 and 1 per request.
type EndpointFaults struct {
	// ServiceTimeFactor multiplies the service time; 0 counts as 1.
	ServiceTimeFactor float64 `json:"straggle"`
	// NetworkDelay is added to the network delay of each way.
	NetworkDelay Duration `json:"network"`
	// Unreachable makes all connections silent, new ones included.
	Unreachable bool `json:"unreachable"`
	// ReplyDelay holds each reply back after the work is done.
	ReplyDelay Duration `json:"late"`
	// Crossed is the share of replies replaced by the reply of another request.
	Crossed float64 `json:"crossed"`
	// Cut is the share of replies whose body ends early with the connection.
	Cut float64 `json:"cut"`
	// Truncated is the share of replies that lack items, while count and sum are those of the full list.
	Truncated float64 `json:"truncated"`
	// Trailing is the share of replies with bytes after the JSON value inside the body.
	Trailing float64 `json:"trailing"`
	// Duplicate is the share of replies that are sent twice on the connection.
	Duplicate float64 `json:"duplicate"`
	// ResetBefore and ResetAfter are the shares of requests whose connection is reset before and after the work.
	ResetBefore float64 `json:"resetbefore"`
	ResetAfter  float64 `json:"resetafter"`
	// Crash is a text that crashes the endpoint when a body contains it; Restart is the time until it listens again.
	Crash        string   `json:"crash"`
	RestartDelay Duration `json:"restart"`
	// Draining refuses new work with 503 and shows in the status.
	Draining bool `json:"draining"`
	// BadVersion makes the version fail or slow.
	BadVersion BadVersion `json:"bad"`
	// Status makes the status misleading.
	Status StatusFaults `json:"status"`
}

// BadVersion describes a bad version; it shows in requests that meet all of its conditions.
type BadVersion struct {
	// FailureShare is the share of requests that fail, Slow multiplies the service time.
	FailureShare float64 `json:"failures"`
	Slow         float64 `json:"slow"`
	// After is the time from setting the switch until the fault shows.
	After Duration `json:"after"`
	// AboveInFlight is the number of requests in flight above which the fault shows.
	AboveInFlight int `json:"above"`
	// Route is the only route that shows the fault; empty means all.
	Route string `json:"route"`
}

// StatusFaults make the status misleading.
type StatusFaults struct {
	// ReportIdle reports no request in flight.
	ReportIdle bool `json:"idle"`
	// Slots is reported instead of the real number when it is above 0.
	Slots int `json:"slots"`
	// Boot keeps reporting the first boot identifier, so that a restart does not show.
	Boot bool `json:"boot"`
	// Lag is the age of the reported state.
	Lag Duration `json:"lag"`
}

// EndpointAction asks the endpoint stand-in for a fault that happens once.
type EndpointAction struct {
	// Silence makes the open connections stop answering; new ones work.
	Silence bool `json:"silence"`
	// Crash resets all connections; the endpoint restarts after the restart time of its switches.
	Crash bool `json:"crash"`
	// Chill makes the endpoint cold until it has served this many requests.
	Chill int `json:"chill"`
	// Holdings replaces the snapshots held, unless it is null.
	Holdings []Holding `json:"holdings"`
}

// EndpointCounts are the counters of the endpoint stand-in since its start; they survive a crash.
type EndpointCounts struct {
	// Ran counts the requests whose work started, Done those whose work ended normally.
	Ran  uint64 `json:"ran"`
	Done uint64 `json:"done"`
	// Shed, Expired and Refused count refusals: full, past the deadline, draining or without the snapshot.
	Shed    uint64 `json:"shed"`
	Expired uint64 `json:"expired"`
	Refused uint64 `json:"refused"`
	// Cancelled counts requests whose caller went away.
	Cancelled uint64 `json:"cancelled"`
	// Violations counts requests that came to a cold endpoint above its capacity.
	Violations uint64 `json:"violations"`
	// Crashes counts crashes, Connections the connections accepted and Excess those above the limit.
	Crashes     uint64 `json:"crashes"`
	Connections uint64 `json:"connections"`
	Excess      uint64 `json:"excess"`
	// Peak is the highest number of requests in flight.
	Peak int `json:"peak"`
}
