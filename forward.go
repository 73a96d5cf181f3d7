package kctport

import (
	"context"
	"net/netip"
	"time"
)

// Header holds message headers by their canonical name.
type Header map[string][]string

// Message is a caller's request; method, target, host and body are forwarded unchanged.
type Message struct {
	// ID is the caller's identifier of this attempt.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Path   string
	Host   string
	Header Header
	Body   []byte
	// Received is when the request had been read; Deadline is when the caller stops waiting.
	Received time.Time
	Deadline time.Time
}

// Load is an endpoint's own report of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Response is an endpoint's complete answer to one attempt.
type Response struct {
	Status int
	Header Header
	Body   []byte
	// Signature proves which endpoint gave the answer; empty on failures of the endpoint's HTTP layer.
	Signature string
	// NotRun is the endpoint's statement that it has not run the request and will not.
	NotRun bool
	// Misdirected is set when another endpoint than the one addressed answered: the address has a new user.
	Misdirected bool
	// Load is nil when the endpoint did not report it.
	Load *Load
	// ColdRemaining is how much longer the endpoint stays cold.
	ColdRemaining time.Duration
}

// OK reports a success of the endpoint.
func (r *Response) OK() bool {
	return r.Status >= 200 && r.Status < 300
}

// Reply is what the tier answers to a caller.
type Reply struct {
	Status int
	Header Header
	Body   []byte
	// Signatures are those of the parts of a gathered answer.
	Signatures []string
	// Missing is the number of shards left out of a gathered answer.
	Missing int
	// RetryAfter tells a refused caller when to come back; 0 without advice.
	RetryAfter time.Duration
	// Reason says why the tier itself refused or failed, for logs.
	Reason string
	// Local is set when no endpoint gave the answer.
	Local bool
}

// Exchanger sends one attempt to an endpoint and reads its complete answer.
//
// Errors wrap ErrNotRun when the request provably did not run, ErrReset, ErrTimeout or ErrMismatch otherwise.
type Exchanger interface {
	Exchange(ctx context.Context, server *EndpointRecord, message *Message, options ExchangeOptions) (Response, error)
}

// ExchangeOptions bound one attempt.
type ExchangeOptions struct {
	// Deadline is when the endpoint may stop working on the request.
	Deadline time.Time
	// Connections is this entry's share of the endpoint's connections.
	Connections int
	// Gathered is set when only the status, signature and body of the answer matter, since it is merged with others.
	Gathered bool
	// Repeat is set for any but the first attempt of a part.
	Repeat bool
	// NonIdempotent asks for a connection that is unlikely to be closed by the endpoint, since the request can't be repeated.
	NonIdempotent bool
	// BeforeSend is called once just before the first byte of the request leaves.
	BeforeSend func()
}

// Relay is the port to entries of other zones that send attempts to endpoints there.
type Relay interface {
	// Exchange makes an attempt through an entry; an error wraps ErrNotRun when nothing was sent, and besides ErrDeclined or ErrUnavailable
	// when that is because of the entry and not of the endpoint.
	Exchange(ctx context.Context, via EntryRecord, server *EndpointRecord, message *Message, options ExchangeOptions) (Response, error)
}

// RelayAttempt is an attempt that another entry asks for.
type RelayAttempt struct {
	Service  ServiceName
	Endpoint InstanceID
	Message  *Message
	// Deadline is when the endpoint may stop working on the request.
	Deadline time.Time
}

// RelayHandler makes the attempts that other entries ask for; the relay adapter calls it.
type RelayHandler interface {
	// Relay makes an attempt; ErrDeclined means that this entry doesn't, whatever the endpoint's state.
	Relay(ctx context.Context, attempt RelayAttempt) (Response, error)
}

// Dialect translates message headers between the tier and the platform's names.
type Dialect interface {
	// Request reads a caller's identifier and the time it will wait; ok is false without an identifier.
	Request(h Header) (id string, wait time.Duration, ok bool)
	// Forward prepares the headers of an attempt from the caller's.
	Forward(h Header, id string, left time.Duration, server InstanceID) Header
	// Response reads an endpoint's headers; id is that of the request which it answers.
	Response(status int, h Header) (response Response, id string)
	// Reply prepares the headers of an answer to a caller.
	Reply(r *Reply) Header
}

// Registry is the platform's store as the tier uses it; errors wrap ErrUnavailable, ErrUnknown, ErrNotFound or ErrCompacted.
type Registry interface {
	// Load reads everything.
	Load(ctx context.Context) (RegistryState, error)
	// Watch waits for changes after a revision; no change within the wait is not an error.
	Watch(ctx context.Context, after StoreRevision, wait time.Duration) ([]RegistryChange, StoreRevision, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	Renew(ctx context.Context, lease Lease) error
	Revoke(ctx context.Context, lease Lease) error
	// Readers lists the entries that read the store for their zones.
	Readers(ctx context.Context) ([]EntryRecord, error)
	// Claim makes an entry the reader of its zone while the lease lasts; ErrConflict means that the zone has one.
	Claim(ctx context.Context, entry EntryRecord, lease Lease) error
	// SaveMove writes how far a move has come and tells the operator, who hears of a move's end only once it is announced; it fails
	// with ErrConflict when the record's revision isn't the expected one, 0 for a new one.
	SaveMove(ctx context.Context, progress MoveProgress, expected StoreRevision) error
}

// EntryDirectory tells callers where to connect.
type EntryDirectory interface {
	// Entries lists caller addresses for a caller's zone and how long the list may be kept; it is empty while nothing is known.
	Entries(zone Zone) ([]netip.AddrPort, time.Duration)
}

// Forwarder answers callers' requests.
type Forwarder interface {
	Forward(ctx context.Context, message *Message) Reply
}
