package kctport

import "time"

// Policy holds the settings of one service after defaults and exceptions are applied.
type Policy struct {
	// Objective is the latency that ObjectiveShare of the requests must meet.
	Objective      time.Duration
	ObjectiveShare float64
	// Deadline applies when a caller names none.
	Deadline time.Duration
	// Hedge allows second attempts at slow parts.
	Hedge bool
	// Canary sends an unseen body to one part before the others.
	Canary bool
	// Budget is the share of extra attempts over needed ones, 0 to 0.1.
	Budget float64
	// Queue is the longest wait list of one endpoint at its owner.
	Queue int
	// Warmup is the time over which a returned zone or a new version gets its full share.
	Warmup time.Duration
}

// Exception sets one field of the policy of one service and says why.
type Exception struct {
	Name    string
	Service ServiceName
	Field   string
	Value   string
	Reason  string
}

// ZoneOut marks an availability zone as taken out by an operator.
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

// Move asks for the traffic of a service to go from one version to another by a deadline.
type Move struct {
	ID       string
	Service  ServiceName
	From     VersionName
	To       VersionName
	Deadline time.Time
	Started  time.Time
	State    MoveState
	// Share is the part of the traffic that goes to the new version, 0 to 1.
	Share float64
	// Evidence says why the share stands where it is, for operators.
	Evidence string
	// Holder and Epoch fence the entry that works on the move.
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

// ChangeKind names what a change does.
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

// ChangeRequest asks for a change; only the fields of its kind are set.
type ChangeRequest struct {
	// ID identifies the change across resends and lost replies.
	ID        string
	Author    string
	Kind      ChangeKind
	Field     string
	Value     string
	Exception Exception
	Zone      ZoneOut
	Move      Move
}

// Outcome says what became of a change request.
type Outcome string

// The outcomes of a change request.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// ChangeResult is the truthful outcome of a change request.
type ChangeResult struct {
	Outcome  Outcome
	Revision Revision
	Message  string
	// InForce and Members count the live entries known to have the revision, and all live entries.
	InForce int
	Members int
}

// Config is the whole operator configuration, kept as one record in the store.
type Config struct {
	Revision   Revision
	Defaults   Policy
	Exceptions []Exception
	ZonesOut   []ZoneOut
	Moves      []Move
	History    []Change
}
