package kctport

import "time"

// Policy holds the settings of one service with defaults and exceptions applied.
type Policy struct {
	// Objective is the latency within which ObjectiveShare of the requests, 0 to 1, must be answered.
	Objective      time.Duration
	ObjectiveShare float64
	// Deadline is the time limit of a request that has none from its caller.
	Deadline time.Duration
	// Hedge allows a second attempt at a part that is slow.
	Hedge bool
	// Canary sends a body that has not been seen before to one part before the others.
	Canary bool
	// Budget is the ratio of extra attempts to needed ones, 0 to 0.1.
	Budget float64
	// Queue is the largest number of requests that wait for one endpoint at its owner.
	Queue int
	// Warmup is the time over which the share of a returned zone or a new version rises to its full value.
	Warmup time.Duration
}

// Exception overrides one field of the policy of one service, with the operator's reason.
type Exception struct {
	Name    string
	Service ServiceName
	Field   string
	Value   string
	Reason  string
}

// ZoneOut marks an availability zone as taken out of service by an operator.
type ZoneOut struct {
	Zone   Zone
	Reason string
}

// MoveState is the state of a version move.
type MoveState string

// The states of a move; done and reverted are final.
const (
	MoveRunning  MoveState = "running"
	MoveDone     MoveState = "done"
	MoveReverted MoveState = "reverted"
)

// Move shifts the traffic of a service from one version to another by a deadline.
type Move struct {
	ID       string
	Service  ServiceName
	From     VersionName
	To       VersionName
	Deadline time.Time
	Started  time.Time
	State    MoveState
	// Share is the part of the traffic that the new version gets, 0 to 1.
	Share float64
	// Rate is the number of requests a second of the service over all entries as the holder last measured it, 0 when not known.
	Rate float64
	// Evidence is the reason for the current share, for operators.
	Evidence string
	// Holder is the entry that controls the move; Epoch rises with each change of holder, so that writes of an earlier one are rejected.
	Holder InstanceID
	Epoch  uint64
}

// Change records one accepted change of the configuration.
type Change struct {
	ID       string
	Revision Revision
	Author   string
	At       time.Time
	Kind     ChangeKind
	Summary  string
}

// ChangeKind is what a change does.
type ChangeKind string

// The kinds of change.
const (
	SetDefault      ChangeKind = "default"
	AddException    ChangeKind = "exception"
	RemoveException ChangeKind = "unexception"
	TakeZoneOut     ChangeKind = "zoneout"
	ReturnZone      ChangeKind = "zonein"
	StartMove       ChangeKind = "move"
	UpdateMove      ChangeKind = "progress"
)

// ChangeRequest is a requested change; only the fields of its kind are set.
type ChangeRequest struct {
	// ID stays the same when the request is sent again, so that a change whose reply was lost is applied once.
	ID        string
	Author    string
	Kind      ChangeKind
	Field     string
	Value     string
	Exception Exception
	Zone      ZoneOut
	Move      Move
}

// Outcome is the result of a change request.
type Outcome string

// The outcomes of a change request.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// ChangeResult is the reply to a change request.
type ChangeResult struct {
	Outcome  Outcome
	Revision Revision
	Message  string
	// InForce counts the live entries that have confirmed the revision, Members all live entries.
	InForce int
	Members int
}

// Config is the complete operator configuration; the store holds it as one record.
type Config struct {
	Revision   Revision
	Defaults   Policy
	Exceptions []Exception
	ZonesOut   []ZoneOut
	Moves      []Move
	History    []Change
}
