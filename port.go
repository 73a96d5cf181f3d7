package kctport

import (
	"context"
	"net/netip"
	"time"
)

// Timer is the clock and timer service that parts subscribe to.
type Timer interface {
	// Now returns the current time.
	Now() time.Time
	// Subscribe delivers a tick each interval until the context ends; a late reader misses ticks.
	Subscribe(ctx context.Context, every time.Duration) <-chan time.Time
	// After delivers one tick after the delay unless the context ends first.
	After(ctx context.Context, delay time.Duration) <-chan time.Time
}

// Record is one value of the store.
type Record struct {
	Key   string
	Value []byte
	// Version is 0 for a key that does not exist and rises with every write.
	Version uint64
}

// Lease identifies a lease of the store.
type Lease string

// Store is the platform's key-value store; errors wrap ErrConflict, ErrNotFound, ErrUnknown or ErrUnavailable.
type Store interface {
	Read(ctx context.Context, key string) (Record, error)
	// Write succeeds when the stored version equals expected; ErrUnknown means that the reply was lost.
	Write(ctx context.Context, key string, value []byte, expected uint64, lease Lease) (uint64, error)
	// Watch waits until the version is above after; ErrTimeout means that nothing changed.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Record, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	Renew(ctx context.Context, lease Lease) error
	Revoke(ctx context.Context, lease Lease) error
}

// Directory is the platform's lagging list of live and leaving instances.
type Directory interface {
	Instances(ctx context.Context) ([]Endpoint, []Member, error)
	// Announce lists an entry while the lease lasts.
	Announce(ctx context.Context, member Member, lease Lease) error
}

// Backend is the port to endpoints.
type Backend interface {
	// Call sends one attempt; errors wrap the sentinels, and ErrNotRun only when the endpoint said so or no byte left.
	Call(ctx context.Context, endpoint Endpoint, call PartCall) (PartReply, error)
	Status(ctx context.Context, endpoint Endpoint) (Status, error)
	// Disconnect closes the connections to an endpoint that is no longer owned.
	Disconnect(id InstanceID)
}

// Peers is the port to other entries; an error wraps ErrNotRun when nothing was sent.
type Peers interface {
	Probe(ctx context.Context, to Member, probe Probe) (ProbeReply, error)
	Relay(ctx context.Context, to Member, call PartCall) (PartReply, error)
	Forward(ctx context.Context, to Member, execution Execution) (Result, error)
	Push(ctx context.Context, to Member, config Config) (Revision, error)
	Pull(ctx context.Context, to Member) (Config, error)
	Suspect(ctx context.Context, to Member, suspicions []Suspicion) error
	Report(ctx context.Context, to Member, reports []MoveReport) error
	Release(ctx context.Context, to Member, release Release) error
	Share(ctx context.Context, to Member, reports []EndpointReport) error
}

// PeerHandler serves what other entries ask; the Peers adapter calls it.
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

// Sender sends one attempt to the endpoint that the call names, directly when this entry owns it, through its owner otherwise.
type Sender interface {
	Send(ctx context.Context, view *View, call PartCall) (PartReply, error)
}

// Views gives traffic the current view.
type Views interface {
	// View never returns nil.
	View() *View
	// Wait returns a fresh view, or ErrNotRun when none comes before the context ends.
	Wait(ctx context.Context) (*View, error)
}

// Observer takes what traffic saw; it never blocks.
type Observer interface {
	Observe(o Observation)
}

// Owners chooses the entry that may send to an endpoint.
type Owners interface {
	Owner(endpoint Endpoint, members []Member) InstanceID
}

// Picker chooses the endpoint for one attempt at a part.
type Picker interface {
	// Pick never returns a replica whose identifier is in tried, unless none else is usable it returns ErrNoEndpoint.
	Pick(view *View, part Part, snapshot Snapshot, request string, tried []InstanceID) (*Replica, error)
}

// LatencyRecorder is a Picker that learns from the attempts at the endpoints it picked.
type LatencyRecorder interface {
	// RecordLatency counts an attempt; one that was given up took at least the latency.
	RecordLatency(replica *Replica, latency time.Duration, givenUp bool, now time.Time)
}

// Hedger says how long to wait for a part before a second attempt.
type Hedger interface {
	// Delay is false while too little is known of the service.
	Delay(service ServiceName) (time.Duration, bool)
	Observe(service ServiceName, latency time.Duration)
}

// Budget bounds retries and hedges together as a share of first attempts.
type Budget interface {
	// Deposit counts one first attempt.
	Deposit()
	// Withdraw takes one extra attempt, or reports false when none is left.
	Withdraw() bool
}

// Gate bounds the work in flight at one owned endpoint.
type Gate interface {
	// Acquire waits for a slot; an error wraps ErrShed and ErrNotRun.
	Acquire(ctx context.Context, call PartCall) (Permit, error)
}

// Permit is one slot in use.
type Permit interface {
	// Done returns the slot and tells the gate how the attempt went.
	Done(latency time.Duration, err error)
}

// Checker asserts invariants inside the program.
type Checker interface {
	// Check counts and logs a violation of the named invariant with its evidence when ok is false.
	Check(ok bool, invariant string, evidence string)
}

// Tier is what an entry offers to callers and operators, whatever front end they use.
type Tier interface {
	// Addresses lists the entries a caller should use, nearest first, and how long it may keep the list.
	Addresses(zone Zone) ([]netip.AddrPort, time.Duration)
	Query(ctx context.Context, query Query) (Answer, error)
	// Keys issues keys for non-idempotent requests and says how long they can be used.
	Keys(count int) ([]string, time.Duration)
	Execute(ctx context.Context, execution Execution) (Result, error)
	Change(ctx context.Context, request ChangeRequest) ChangeResult
	Config(ctx context.Context) (Config, error)
	View() *View
	// WaitForEndpoints waits for the first reports about endpoints while the entry starts, at most half of the context's time.
	WaitForEndpoints(ctx context.Context)
	// Ready is nil while the entry takes new callers.
	Ready() error
}
