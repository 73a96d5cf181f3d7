package kctport

import "net/netip"

// MemberState is a member's liveness as its peers see it.
type MemberState int

// The states of a member.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDead
	MemberLeaving
)

// Member is an entry daemon.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
	Zone        Zone
	// Peer is where other entries connect, Caller is where callers connect.
	Peer   netip.AddrPort
	Caller netip.AddrPort
	State  MemberState
	// Counter orders statements about one incarnation; the member itself raises it to refute a suspicion.
	Counter uint64
	// Revision is the last configuration revision known to be in force there.
	Revision Revision
}

// Alive reports whether the member takes new work.
func (m Member) Alive() bool {
	return m.State == MemberAlive || m.State == MemberSuspect
}

// Probe is a failure detector message with piggybacked member changes.
type Probe struct {
	From     Member
	Target   InstanceID
	Revision Revision
	Changes  []Member
}

// ProbeReply answers a probe.
type ProbeReply struct {
	From     Member
	Revision Revision
	Changes  []Member
}

// Suspicion says that a body may crash endpoints.
type Suspicion struct {
	Fingerprint       Fingerprint
	AttributedCrashes int
	// Cleared withdraws the suspicion after a success.
	Cleared bool
}

// MoveReport is one entry's evidence about a version, or its cut of a move.
type MoveReport struct {
	From    InstanceID
	Move    string
	Version VersionName
	Route   string
	// Zone is the zone of the endpoints, so that versions are compared within one zone.
	Zone Zone
	// Requests, Timed, Failures and Slow count attempts since the last report;
	// Timed leaves out failures and cold endpoints, Slow counts timeouts.
	Requests int
	Timed    int
	Failures int
	Slow     int
	// Latencies counts the timed attempts by latency; core/kctmove defines the buckets.
	Latencies []int
	Stopped   bool
	Evidence  string
}

// Release hands endpoints over to the next owner after their work has ended.
type Release struct {
	From      InstanceID
	Endpoints []InstanceID
}
