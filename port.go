package kctport

import (
	"context"
	"net/netip"
	"time"
)

// Timer is the clock and the source of ticks for all components.
type Timer interface {
	// Now returns the current time.
	Now() time.Time
	// Subscribe delivers a tick at each interval until the context ends; a slow receiver misses ticks.
	Subscribe(ctx context.Context, every time.Duration) <-chan time.Time
	// After delivers one tick after the delay, unless the context ends first.
	After(ctx context.Context, delay time.Duration) <-chan time.Time
}

// Record is one value of the store.
type Record struct {
	Key   string
	Value []byte
	// Version is 0 for a key that does not exist and increases with every write.
	Version uint64
}

// Lease identifies a lease of the store.
type Lease string

// Store is the platform's key-value store; errors wrap ErrConflict, ErrNotFound, ErrUnknown or ErrUnavailable.
type Store interface {
	Read(ctx context.Context, key string) (Record, error)
	// Write stores the value if the stored version equals expected; ErrUnknown means that the reply was lost.
	Write(ctx context.Context, key string, value []byte, expected uint64, lease Lease) (uint64, error)
	// Watch waits until the version is above after; ErrTimeout means that nothing changed within the wait.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Record, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	Renew(ctx context.Context, lease Lease) error
	Revoke(ctx context.Context, lease Lease) error
}

// Directory is the platform's list of live and leaving instances; it may be out of date.
type Directory interface {
	Instances(ctx context.Context) ([]Endpoint, []Member, error)
	// Announce lists an entry while the lease lasts.
	Announce(ctx context.Context, member Member, lease Lease) error
}

// Backend is the port to endpoints.
type Backend interface {
	// Call sends one attempt; errors wrap the sentinels, and ErrNotRun only when the endpoint reported it or no byte was sent.
	Call(ctx context.Context, endpoint Endpoint, call PartCall) (PartReply, error)
	Status(ctx context.Context, endpoint Endpoint) (Status, error)
	// Disconnect closes the connections to an endpoint that this entry no longer owns.
	Disconnect(id InstanceID)
}

// Peers is the port to other entries; errors wrap ErrNotRun when nothing was sent.
type Peers interface {
	Probe(ctx context.Context, to Member, probe Probe) (ProbeReply, error)
	// Relay sends a call through the owner of its endpoint.
	Relay(ctx context.Context, to Member, call PartCall) (PartReply, error)
	// Forward sends an execution to the entry that issued its key.
	Forward(ctx context.Context, to Member, execution Execution) (Result, error)
	// Push sends the configuration and returns the revision in force at the member afterwards.
	Push(ctx context.Context, to Member, config Config) (Revision, error)
	Pull(ctx context.Context, to Member) (Config, error)
	Suspect(ctx context.Context, to Member, suspicions []Suspicion) error
	Report(ctx context.Context, to Member, reports []MoveReport) error
	Release(ctx context.Context, to Member, release Release) error
	Share(ctx context.Context, to Member, reports []EndpointReport) error
}

// PeerHandler handles the requests of other entries; the Peers adapter calls it.
type PeerHandler interface {
	HandleProbe(ctx context.Context, probe Probe) (ProbeReply, error)
	HandleRelay(ctx context.Context, call PartCall) (PartReply, error)
	HandleForward(ctx context.Context, execution Execution) (Result, error)
	HandlePush(ctx context.Context, config Config) (Revision, error)
	HandlePull(ctx context.Context) (Config, error)
	HandleSuspect(ctx context.Context, suspicions []Suspicion) error
	HandleReport(ctx context.Context, reports []MoveReport) error
	HandleRelease(ctx context.Context, release Release) error
	HandleShare(ctx context.Context, reports []EndpointReport) error
}

// Sender sends one attempt to the endpoint of the call, directly when this entry owns it and through its owner otherwise.
type Sender interface {
	Send(ctx context.Context, view *View, call PartCall) (PartReply, error)
}

// Views provides the current view to traffic.
type Views interface {
	// View never returns nil.
	View() *View
	// Wait waits for a view that has not expired; an error wraps ErrNotRun when the context ends first.
	Wait(ctx context.Context) (*View, error)
}

// Observer receives the results of attempts from traffic; it never blocks.
type Observer interface {
	Observe(o Observation)
}

// Owners chooses the owner of an endpoint, the only entry that may send to it.
type Owners interface {
	Owner(endpoint Endpoint, members []Member) InstanceID
}

// Picker chooses the endpoint for one attempt at a part.
type Picker interface {
	// Pick returns a usable replica whose identifier is not in tried; an error wraps ErrNoEndpoint when there is none.
	Pick(view *View, part Part, snapshot Snapshot, request string, tried []InstanceID) (*Replica, error)
}

// LatencyRecorder is implemented by a Picker that chooses by measured latencies.
type LatencyRecorder interface {
	// RecordLatency records one attempt; with givenUp the attempt was abandoned after the latency.
	RecordLatency(replica *Replica, latency time.Duration, givenUp bool, now time.Time)
}

// Hedger computes the delay before a second attempt at a part.
type Hedger interface {
	// Delay returns false while there are too few samples of the service.
	Delay(service ServiceName) (time.Duration, bool)
	Observe(service ServiceName, latency time.Duration)
}

// Budget is a retry budget, which bounds retries and hedges together as a share of first attempts.
type Budget interface {
	// Deposit counts one first attempt.
	Deposit()
	// Withdraw takes one extra attempt from the budget, or reports false when none is left.
	Withdraw() bool
}

// Gate is the admission gate of one owned endpoint, which bounds the requests in flight.
type Gate interface {
	// Acquire waits for a slot; errors wrap ErrShed and ErrNotRun.
	Acquire(ctx context.Context, call PartCall) (Permit, error)
}

// Permit is one slot in use.
type Permit interface {
	// Done releases the slot and records the result of the attempt.
	Done(latency time.Duration, err error)
}

// Liveness is what a probe says of an endpoint's process.
type Liveness int

// The kinds of Liveness.
const (
	// LivenessUnknown means that nothing answered.
	LivenessUnknown Liveness = iota
	// LivenessUp means that a process accepts connections at the address.
	LivenessUp
	// LivenessDown means that the machine refuses connections, since no process accepts them.
	LivenessDown
)

// Prober finds out whether a process accepts connections.
type Prober interface {
	Probe(ctx context.Context, address netip.AddrPort) Liveness
}

// Checker checks invariants at run time.
type Checker interface {
	// Check counts and logs a violation of the named invariant with its evidence when ok is false.
	Check(ok bool, invariant string, evidence string)
}

// Tier is the API of an entry for callers and operators, independent of the front end.
type Tier interface {
	// Addresses lists the entries that a caller should use, those of its zone first, and how long it may cache the list.
	Addresses(zone Zone) ([]netip.AddrPort, time.Duration)
	Query(ctx context.Context, query Query) (Answer, error)
	// Keys issues idempotency keys for executions and returns how long they are valid.
	Keys(count int) ([]string, time.Duration)
	Execute(ctx context.Context, execution Execution) (Result, error)
	Change(ctx context.Context, request ChangeRequest) ChangeResult
	Config(ctx context.Context) (Config, error)
	View() *View
	// WaitForEndpoints waits for the first reports about endpoints while the entry starts, for at most half of the time to the context's deadline.
	WaitForEndpoints(ctx context.Context)
	// Ready returns nil while the entry accepts new callers.
	Ready() error
}
