package kctport

import "net/netip"

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

// Suspicion marks a body that may crash endpoints.
type Suspicion struct {
	Fingerprint Fingerprint
	// AttributedCrashes counts the crashes for which the body was the only suspect.
	AttributedCrashes int
	// Cleared is set when a success has refuted the suspicion.
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
