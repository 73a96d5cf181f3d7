package kctwire

import (
	"net/netip"

	kctport "kingcupturn"
)

// Paths that control the platform stand-in; an instance identifier is appended to PathInstances.
const (
	PathInstances = "/v1/instances"
	PathCalls     = "/v1/calls"
)

// Registration is the record with which an endpoint registers.
type Registration struct {
	Service kctport.ServiceName `json:"service"`
	Zone    kctport.Zone        `json:"zone"`
	Version kctport.VersionName `json:"version,omitempty"`
	Address netip.AddrPort      `json:"address,omitzero"`
	Leaving bool                `json:"leaving"`
}

// PlatformFaults are the faults that the platform stand-in injects.
type PlatformFaults struct {
	// Outage refuses every call with 503.
	Outage bool `json:"outage"`
	// Delay is added to the duration of every call.
	Delay Duration `json:"delay"`
	// LostReplies is the probability that a write takes effect but its reply is lost.
	LostReplies float64 `json:"lose"`
	// Lag is the age of the endpoint records that reads return.
	Lag Duration `json:"lag"`
}

// CallCounts counts the calls to the platform; a waiting watch counts as one read. Bytes is the total size of the replies.
type CallCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Bytes   uint64 `json:"bytes"`
}
