package kctport

import (
	"net/netip"
	"time"
)

// Endpoint describes a server of a service as the platform's instance list gives it.
type Endpoint struct {
	ID      InstanceID
	Service ServiceName
	Zone    Zone
	Version VersionName
	Address netip.AddrPort
	Leaving bool
}

// Holding is one snapshot that an endpoint can answer from, with its place in that snapshot's shard layout.
type Holding struct {
	Snapshot Snapshot
	Shard    int
	Shards   int
}

// Status is what an endpoint reports about itself; it may lag or mislead.
type Status struct {
	// BootID changes with every start of the endpoint process.
	BootID      uint64
	Slots       int
	Connections int
	InFlight    int
	Draining    bool
	Holdings    []Holding
}

// EndpointReport is what the owner of an endpoint tells other entries about it.
type EndpointReport struct {
	// Endpoint is the owner's reading of the instance list for new entries, which may be unable to read it; in other
	// reports only its identifier is set.
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
	// Request is unique per attempt; the reply must name it.
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

// PartReply is the checked reply to a PartCall.
type PartReply struct {
	Request  string
	Part     Part
	Shards   int
	Snapshot Snapshot
	Items    []Item
	// Latency is the time from send to reply as the owner saw it.
	Latency time.Duration
}

// AttemptPath is the way of an attempt as its observer saw it.
type AttemptPath int

// The paths of an attempt. A relayed attempt is observed twice: by the entry whose query it serves as PathRelayed,
// and by the owner of the endpoint as PathServed.
const (
	PathDirect AttemptPath = iota
	PathRelayed
	PathServed
)

// Observation is what one attempt at a part showed; traffic reports it to control in batches.
type Observation struct {
	Endpoint InstanceID
	Service  ServiceName
	Version  VersionName
	Route    string
	Latency  time.Duration
	Err      error
	At       time.Time
	// Path says which of the two entries of a relayed attempt observed it.
	Path AttemptPath
}
