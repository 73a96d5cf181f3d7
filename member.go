package kctport

import (
	"net/netip"
	"time"
)

// MemberState is a member's liveness in the view of its peers.
type MemberState int

// The states of a member.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDead
	MemberLeaving
)

// Member is an entry in the view of its peers.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
	Zone        Zone
	// Peer is the address for other entries, Caller the one for callers.
	Peer   netip.AddrPort
	Caller netip.AddrPort
	State  MemberState
	// Counter orders the states of one incarnation; the member itself increments it to refute a suspicion.
	Counter uint64
	// Revision is the last configuration revision that the member reported as in force.
	Revision Revision
}

// Alive reports whether the member is alive or suspect, so that it accepts new work.
func (m Member) Alive() bool {
	return m.State == MemberAlive || m.State == MemberSuspect
}

// Probe is a message of the failure detector (SWIM) with piggybacked member changes.
type Probe struct {
	From     Member
	Target   InstanceID
	Revision Revision
	Changes  []Member
}

// ProbeReply is the answer to a probe, also with member changes.
type ProbeReply struct {
	From     Member
	Revision Revision
	Changes  []Member
}

// Suspicion is the evidence of one crash against a request, or the news that the request ran without one.
type Suspicion struct {
	// Fingerprint identifies the request by what it is, at one service.
	Fingerprint Fingerprint
	// Round orders the evidence: a run without a crash ends a round, and suspicions of ended rounds no longer count.
	Round uint64
	// Crashes is the number of crashes of endpoints that ran the request, one after the other, including this one.
	Crashes int
	// Endpoint and Started identify the incarnation that crashed; zero when not known.
	Endpoint InstanceID
	Started  time.Time
	// InFlight is how long the request had been in flight when the endpoint crashed, and Lifetime how long the endpoint had run, zero when not known.
	InFlight time.Duration
	Lifetime time.Duration
	// Cleared is set when the request ran without a crash, which ends the round.
	Cleared bool
}

// MoveReport is one entry's evidence about a version of a move, or its notice that it has stopped the move.
type MoveReport struct {
	From    InstanceID
	Move    string
	Version VersionName
	Route   string
	// Zone is the zone of the endpoints, since versions are compared within one zone.
	Zone Zone
	// Endpoint is the endpoint of the attempts, empty when the sender owns all endpoints that it reports on.
	Endpoint InstanceID
	// Requests, Timed, Failures and Slow count attempts since the last report: Timed excludes failures and cold endpoints, Slow counts timeouts.
	Requests int
	Timed    int
	Failures int
	Slow     int
	// Latencies counts the timed attempts by latency; core/kctmove defines the buckets.
	Latencies []int
	// Stopped is set when the entry has stopped sending to the new version, for the reason in Evidence.
	Stopped  bool
	Evidence string
}

// Release notifies the next owner of endpoints that the previous one has no more requests in flight there.
type Release struct {
	From      InstanceID
	Endpoints []InstanceID
}
