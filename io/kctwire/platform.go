package kctwire

import (
	"net/netip"

	kctport "kingcupturn"
)

// Paths of the switches of the platform's stand-in; an identifier follows the one for instances.
const (
	PathInstances = "/v1/instances"
	PathCalls     = "/v1/calls"
)

// Registration registers an endpoint as the endpoint itself does.
type Registration struct {
	Service kctport.ServiceName `json:"service"`
	Zone    kctport.Zone        `json:"zone"`
	Version kctport.VersionName `json:"version,omitempty"`
	Address netip.AddrPort      `json:"address,omitzero"`
	Leaving bool                `json:"leaving"`
}

// PlatformFaults are the switches of the platform stand-in.
type PlatformFaults struct {
	// Outage refuses every call with 503.
	Outage bool `json:"outage"`
	// Delay slows every call.
	Delay Duration `json:"delay"`
	// Lose is the probability that a write takes effect and its reply is lost.
	Lose float64 `json:"lose"`
	// Lag is the age of the records of endpoints.
	Lag Duration `json:"lag"`
}

// Calls counts the calls of the platform; a waiting watch counts as one read. Bytes is the size of the replies.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Bytes   uint64 `json:"bytes"`
}
