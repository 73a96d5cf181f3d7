package kctport

import (
	"net/netip"
	"time"
)

// Endpoint is an instance of a service as listed by the platform.
type Endpoint struct {
	ID      InstanceID
	Service ServiceName
	Zone    Zone
	Version VersionName
	Address netip.AddrPort
	Leaving bool
}

// Holding is one index snapshot that an endpoint serves, with the endpoint's shard in that snapshot's layout.
type Holding struct {
	Snapshot Snapshot
	Shard    int
	Shards   int
}

// Status is an endpoint's report about itself; it may be stale or wrong.
type Status struct {
	// BootID changes with every start of the endpoint's process.
	BootID      uint64
	Slots       int
	Connections int
	InFlight    int
	Draining    bool
	Holdings    []Holding
}

// EndpointReport is the state of an endpoint as its owner reports it to other entries.
type EndpointReport struct {
	// Endpoint is the complete record in reports to new entries, which may be unable to read the instance list; in other reports only its
	// identifier is set.
	Endpoint Endpoint
	Owner    InstanceID
	// Counter orders the reports of one incarnation of the owner.
	Counter uint64
	Status  Status
	Health  Health
	Reason  string
}

// PartCall is one attempt at a part, sent to one endpoint.
type PartCall struct {
	// Request is the unique identifier of the attempt; the reply must repeat it.
	Request     string
	Endpoint    InstanceID
	Part        Part
	Shards      int
	Snapshot    Snapshot
	Route       string
	Urgent      bool
	Body        []byte
	Fingerprint Fingerprint
	// Key is set for non-idempotent requests only.
	Key      string
	Deadline time.Time
}

// Item is one result of a part; a higher score ranks first.
type Item struct {
	ID    string
	Score float64
	Text  string
}

// PartReply is the validated reply to a PartCall.
type PartReply struct {
	Request  string
	Part     Part
	Shards   int
	Snapshot Snapshot
	Items    []Item
	// Latency is the time from send to reply, measured by the endpoint's owner.
	Latency time.Duration
}

// AttemptPath is the path of an attempt as recorded by the entry that observed it.
type AttemptPath int

// The paths of an attempt. A relayed attempt is observed twice: by the entry whose query it serves as PathRelayed,
// and by the owner of the endpoint as PathServed.
const (
	PathDirect AttemptPath = iota
	PathRelayed
	PathServed
)

// Observation is the result of one attempt at a part; traffic reports observations to control in batches.
type Observation struct {
	Endpoint InstanceID
	Service  ServiceName
	Version  VersionName
	Route    string
	Latency  time.Duration
	Err      error
	At       time.Time
	// Path distinguishes the two observations of a relayed attempt.
	Path AttemptPath
}
