package kctport

import (
	"net/netip"
	"time"
)

// EndpointRecord is an endpoint as it registered itself in the platform's store.
type EndpointRecord struct {
	ID      InstanceID
	Service ServiceName
	Address netip.AddrPort
	Zone    Zone
	Version VersionName
	// Slots is the number of requests that run at the same time.
	Slots int
	// Leaving is set once the endpoint has announced its shutdown.
	Leaving bool
	// ColdRemaining is how much longer the endpoint stayed cold when the entry was written.
	ColdRemaining time.Duration
	// Started tells two lives of one identifier apart; zero when not stated.
	Started time.Time
}

// StoreRevision numbers the changes of the platform's store.
type StoreRevision uint64

// RecordKind says which record a change concerns.
type RecordKind int

// The kinds of records in the platform's store.
const (
	// RecordOther is a key that has no meaning for the tier.
	RecordOther RecordKind = iota
	RecordRules
	RecordEndpoint
	RecordZoneOut
	// RecordReader names the entry that reads the store for its zone.
	RecordReader
	RecordMove
	// RecordProgress is how far the tier has come with a move.
	RecordProgress
)

// RegistryChange is one record of the store as it stands after a change.
type RegistryChange struct {
	Kind     RecordKind
	Key      string
	Revision StoreRevision
	Deleted  bool
	// Problem says why a record can't be used; it then stands for no record.
	Problem string
	// Value holds the bytes as they stand in the store, for passing them on.
	Value    []byte
	Rules    *Rules
	Endpoint *EndpointRecord
	Zone     Zone
	Reader   *EntryRecord
	Move     *MoveRequest
	// Progress is set for records of the tier's own moves.
	Progress *MoveProgress
}

// MoveRequest asks that the traffic of a service moves to a version within a duration.
type MoveRequest struct {
	Service  ServiceName
	To       VersionName
	Duration time.Duration
}

// MoveProgress is a move as the tier's entries share it.
type MoveProgress struct {
	Move
	// Announced is set once the operator was told the end of the move.
	Announced bool
}

// MoveShare is the part of a service's requests that goes to the version to which it moves.
type MoveShare struct {
	ID    string
	From  VersionName
	To    VersionName
	Share float64
	// Evaluating is set while attempts are evidence for or against the version.
	Evaluating bool
}

// RegistryState is everything that the store holds for the tier, as of a revision from which watching can go on.
type RegistryState struct {
	Changes  []RegistryChange
	Revision StoreRevision
}

// FleetEndpoint is an endpoint that may get work, with what control knows of it.
type FleetEndpoint struct {
	EndpointRecord
	// ColdUntil is when the endpoint stops being cold; zero when it isn't.
	ColdUntil time.Time
}

// RouteTable finds the route of a request.
type RouteTable interface {
	// Match returns nil when no route allows the request.
	Match(host, path string) *Route
}

// Fleet is an immutable picture of the routing rules, endpoints and entries for traffic.
type Fleet struct {
	// Rules is nil until the first version is known.
	Rules *Rules
	Table RouteTable
	// Endpoints holds the endpoints that may get work.
	Endpoints map[ServiceName][]*FleetEndpoint
	// Moves has the services that are asked to move to another version.
	Moves map[ServiceName]MoveShare
	// Entries are the members of the tier that take callers, this entry among them unless it is draining.
	Entries []EntryRecord
	// Active are the entries that callers are sent to.
	Active []EntryRecord
	// LimitShares is the number of entries among which fleet-wide limits are divided; it counts entries that may only be silent.
	LimitShares int
	// ActiveShares is the number of entries that share what only entries with callers use: connections and saved extra attempts.
	ActiveShares int
	// LastContact is when the store was last heard.
	LastContact time.Time
	// Draining is set while this entry shuts down.
	Draining bool
}

// Fleets gives traffic the current picture; it is never nil.
type Fleets interface {
	Fleet() *Fleet
}
