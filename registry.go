package kctport

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// EndpointRecord is the record that an endpoint wrote of itself to the platform's store.
type EndpointRecord struct {
	ID      InstanceID
	Service ServiceName
	Address netip.AddrPort
	Zone    Zone
	Version VersionName
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Leaving is set once the endpoint has announced its shutdown.
	Leaving bool
	// ColdRemaining is the time until the endpoint is no longer cold, as of the write of the record.
	ColdRemaining time.Duration
	// Started identifies the incarnation of the endpoint; zero when the record has no start time.
	Started time.Time
}

// StoreRevision identifies and orders the changes in the platform's store.
type StoreRevision struct {
	// Era rises when the store comes back from an older copy; it then gives out the numbers after those of the copy again.
	Era    uint64
	Number uint64
}

// Before reports whether the revision is older than another one.
func (r StoreRevision) Before(other StoreRevision) bool {
	return r.Era < other.Era || r.Era == other.Era && r.Number < other.Number
}

// IsZero reports whether there is no revision.
func (r StoreRevision) IsZero() bool {
	return r == StoreRevision{}
}

// String returns the number, with the era before it if there is one.
func (r StoreRevision) String() string {
	if r.Era == 0 {
		return strconv.FormatUint(r.Number, 10)
	}
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}

// LatestRevision returns the newer of two revisions.
func LatestRevision(a, b StoreRevision) StoreRevision {
	if a.Before(b) {
		return b
	}
	return a
}

// RecordKind is the kind of a record in the platform's store.
type RecordKind int

// The kinds of records in the platform's store.
const (
	// RecordOther is a record that the tier ignores.
	RecordOther RecordKind = iota
	RecordRules
	RecordEndpoint
	RecordZoneOut
	// RecordReader names the entry that reads the store for its zone.
	RecordReader
	RecordMove
	// RecordProgress is the tier's progress with a move.
	RecordProgress
)

// RegistryChange is the state of one record of the store after a change.
type RegistryChange struct {
	Kind     RecordKind
	Key      string
	Revision StoreRevision
	Deleted  bool
	// Problem is why the record is invalid, empty for a valid one; an invalid record is treated as absent.
	Problem string
	// Value holds the bytes from the store, for relaying them to other entries.
	Value    []byte
	Rules    *Rules
	Endpoint *EndpointRecord
	Zone     Zone
	Reader   *EntryRecord
	Move     *MoveRequest
	// Progress is set for records of the tier's own moves.
	Progress *MoveProgress
}

// MoveRequest is the operator's request to move the traffic of a service to a version within a duration.
type MoveRequest struct {
	Service  ServiceName
	To       VersionName
	Duration time.Duration
}

// MoveProgress is the state of a move that the entries share through the store.
type MoveProgress struct {
	Move
	// Announced is set once the end of the move has been reported to the operator.
	Announced bool
}

// MoveShare is the fraction of a service's requests that the new version of a move gets, 0 to 1.
type MoveShare struct {
	ID    string
	From  VersionName
	To    VersionName
	Share float64
	// Evaluating is set while the results of attempts are evidence for or against the new version.
	Evaluating bool
}

// RegistryState is all records of the store as of a revision, after which a watch can continue.
type RegistryState struct {
	Changes  []RegistryChange
	Revision StoreRevision
}

// FleetEndpoint is an endpoint that may get requests, with state that control adds.
type FleetEndpoint struct {
	EndpointRecord
	// ColdUntil is when the endpoint is no longer cold; zero when it isn't cold.
	ColdUntil time.Time
}

// RouteTable matches requests to routes.
type RouteTable interface {
	// Match returns the route for a host and path, nil without one.
	Match(host, path string) *Route
}

// Fleet is an immutable snapshot of the routing rules, endpoints and entries, which control publishes to traffic.
type Fleet struct {
	// Rules is nil until the first version has been read.
	Rules *Rules
	Table RouteTable
	// Endpoints holds the endpoints that may get requests.
	Endpoints map[ServiceName][]*FleetEndpoint
	// Lapsed is the number of endpoints whose records disappeared and that may still get requests, since an outage of the store may be the cause.
	Lapsed int
	// Moves holds the services that move to another version.
	Moves map[ServiceName]MoveShare
	// Entries are the entries that accept callers, including this one unless it is draining.
	Entries []EntryRecord
	// Active are the entries that the directory lists for callers.
	Active []EntryRecord
	// LimitShares is the number of entries among which fleet-wide limits are divided. It includes entries that are unreachable but may still be
	// running.
	LimitShares int
	// ActiveShares is the number of entries among which the slack of the retry budget is divided: the active entries and one that may just have been active,
	// or LimitShares when this entry is not active.
	ActiveShares int
	// ConnectionShares is the number of entries among which the connections to an endpoint are divided. It is ActiveShares but shortly after the start, when
	// few entries have callers yet.
	ConnectionShares int
	// LastContact is the time up to which all changes of the store are known.
	LastContact time.Time
	// SelfActive is set while this entry is one of the active ones.
	SelfActive bool
	// Watcher is the entry that watches the store and whose observations this entry gets, empty while there is no contact with the store; WatcherHops
	// is the number of feeds between the two.
	Watcher     InstanceID
	WatcherHops int
	// Draining is set while this entry shuts down.
	Draining bool
}

// Endpoint returns an endpoint that may get requests, nil when it may not.
func (f *Fleet) Endpoint(service ServiceName, id InstanceID) *FleetEndpoint {
	for _, e := range f.Endpoints[service] {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// Fleets provides the current fleet state to traffic; it is never nil.
type Fleets interface {
	Fleet() *Fleet
}
