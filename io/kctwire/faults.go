package kctwire

// EndpointFaults are the faults that the endpoint stand-in injects; the zero value is a healthy endpoint.
// A share is a probability from 0 to 1 per request.
type EndpointFaults struct {
	// ServiceTimeFactor multiplies the service time; a value below 1 counts as 1.
	ServiceTimeFactor float64 `json:"straggle"`
	// NetworkDelay is added to the network delay in each direction.
	NetworkDelay Duration `json:"network"`
	// Unreachable makes all connections stop answering, new ones included.
	Unreachable bool `json:"unreachable"`
	// ReplyDelay delays each reply after the work is done.
	ReplyDelay Duration `json:"late"`
	// Crossed is the share of replies replaced by the reply of another request.
	Crossed float64 `json:"crossed"`
	// Cut is the share of replies whose connection is closed before the end of the body.
	Cut float64 `json:"cut"`
	// Truncated is the share of replies that lack items, while count and checksum are those of the full list.
	Truncated float64 `json:"truncated"`
	// Trailing is the share of replies with bytes after the JSON value inside the body.
	Trailing float64 `json:"trailing"`
	// Duplicate is the share of replies that are sent twice on the connection.
	Duplicate float64 `json:"duplicate"`
	// ResetBefore and ResetAfter are the shares of requests whose connection is reset before or after the work.
	ResetBefore float64 `json:"resetbefore"`
	ResetAfter  float64 `json:"resetafter"`
	// Crash is a text that crashes the endpoint when a request body contains it; RestartDelay is the time until it listens again.
	Crash        string   `json:"crash"`
	RestartDelay Duration `json:"restart"`
	// Draining refuses new requests with 503 and is reported in the status.
	Draining bool `json:"draining"`
	// BadVersion makes requests fail or slow.
	BadVersion BadVersion `json:"bad"`
	// Status makes the status report wrong.
	Status StatusFaults `json:"status"`
}

// BadVersion is the fault of a bad version; it affects the requests that meet all of its conditions.
type BadVersion struct {
	// FailureShare is the share of requests that fail; Slow multiplies the service time.
	FailureShare float64 `json:"failures"`
	Slow         float64 `json:"slow"`
	// After is the time from setting the fault until it takes effect.
	After Duration `json:"after"`
	// AboveInFlight is the number of requests in flight above which the fault takes effect.
	AboveInFlight int `json:"above"`
	// Route is the only route affected; empty means all.
	Route string `json:"route"`
}

// StatusFaults are the wrong statuses that the endpoint stand-in reports.
type StatusFaults struct {
	// ReportIdle reports that no request is in flight.
	ReportIdle bool `json:"idle"`
	// Slots replaces the number of slots when it is above 0.
	Slots int `json:"slots"`
	// Boot keeps reporting the first boot identifier, which hides restarts.
	Boot bool `json:"boot"`
	// Lag is the age of the reported state.
	Lag Duration `json:"lag"`
}

// EndpointAction is a fault that the endpoint stand-in injects once.
type EndpointAction struct {
	// BlackholeConnections makes the open connections stop answering; new ones are not affected.
	BlackholeConnections bool `json:"silence"`
	// Crash resets all connections; the endpoint restarts after RestartDelay.
	Crash bool `json:"crash"`
	// MakeCold makes the endpoint cold until it has served this many requests.
	MakeCold int `json:"chill"`
	// Holdings replaces the snapshots held unless it is null.
	Holdings []Holding `json:"holdings"`
}

// EndpointCounts are the counters of the endpoint stand-in since its start; a crash does not reset them.
type EndpointCounts struct {
	// Ran counts the requests whose work started; Done counts those whose work was completed.
	Ran  uint64 `json:"ran"`
	Done uint64 `json:"done"`
	// Shed, Expired and Refused count refusals: full, past the deadline, draining or without the snapshot.
	Shed    uint64 `json:"shed"`
	Expired uint64 `json:"expired"`
	Refused uint64 `json:"refused"`
	// Cancelled counts requests cancelled by their caller.
	Cancelled uint64 `json:"cancelled"`
	// Violations counts requests that a cold endpoint received above its capacity.
	Violations uint64 `json:"violations"`
	// Crashes counts crashes, Connections the accepted connections, and Excess the connections above the limit.
	Crashes     uint64 `json:"crashes"`
	Connections uint64 `json:"connections"`
	Excess      uint64 `json:"excess"`
	// Peak is the highest number of requests in flight.
	Peak int `json:"peak"`
}
