package kctport

import "errors"

// Sentinel errors; adapters and policies wrap them and callers test with errors.Is.
var (
	// ErrNotRun means that the request certainly did not run.
	ErrNotRun = errors.New("not run")
	// ErrUnknown means that the request may or may not have run.
	ErrUnknown = errors.New("outcome unknown")
	// ErrShed means that an endpoint or a gate refused the request for lack of capacity.
	ErrShed = errors.New("shed")
	// ErrEndpointDraining means that an endpoint is draining and accepts no new requests; it is joined with ErrShed.
	ErrEndpointDraining = errors.New("endpoint draining")
	// ErrSnapshotDropped means that the endpoint no longer holds the snapshot.
	ErrSnapshotDropped = errors.New("snapshot gone")
	// ErrMismatch means that a reply does not belong to its request or is damaged.
	ErrMismatch = errors.New("reply does not match the request")
	// ErrReset means that the connection ended without a reply.
	ErrReset = errors.New("connection reset without a reply")
	// ErrTimeout means that no reply came in time.
	ErrTimeout = errors.New("timeout")
	// ErrFailed means that the endpoint ran the request and reported a failure.
	ErrFailed = errors.New("endpoint failed")
	// ErrQuarantined means that the body is refused because it crashed endpoints.
	ErrQuarantined = errors.New("request quarantined")
	// ErrCompacted means that the store has discarded the history that a watch requested.
	ErrCompacted = errors.New("history compacted")
	// ErrNoEndpoint means that no usable endpoint is left for a part.
	ErrNoEndpoint = errors.New("no usable endpoint")
	// ErrNoSnapshot means that the parts of a query have no snapshot in common.
	ErrNoSnapshot = errors.New("no common snapshot")
	// ErrNotOwner means that the entry does not own the endpoint.
	ErrNotOwner = errors.New("not the owner of the endpoint")
	// ErrIsolated means that the entry has contact neither to the store nor to half of its members.
	ErrIsolated = errors.New("entry isolated")
	// ErrDraining means that the entry is shutting down.
	ErrDraining = errors.New("entry draining")
	// ErrInvalid means that the input is malformed; the text has the field, the value and the allowed values.
	ErrInvalid = errors.New("invalid input")
	// ErrDeclined means that another entry declined to make an attempt, and nothing was sent.
	ErrDeclined = errors.New("attempt declined")
	// ErrConflict means that a compare-and-swap found another version.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that a key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that a peer or the platform could not be reached.
	ErrUnavailable = errors.New("unavailable")
)
