package kctpeer

import (
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
)

const (
	// MaxMessage is the size in bytes of the largest message that is sent or accepted.
	MaxMessage = 4 << 20
	// dialTimeout bounds a TCP connect and the first ping; it allows for two round trips between regions and some delay.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds a write to the socket, after which yamux ends the session, and the write of a reply.
	writeTimeout = 2 * time.Second
	// backlog is the number of streams of one session that may wait to be accepted.
	backlog = 4096
	// unresponsiveLimit is how long after the start of an abandoned request a session that received nothing counts as unresponsive; also the
	// interval of sweeps.
	unresponsiveLimit = 500 * time.Millisecond
	// blockedLimit is the time from the start of a request after which its session is closed when the write is still blocked, the context has
	// ended and nothing was received.
	blockedLimit = 100 * time.Millisecond
	// dialedIdleLimit is the time without requests after which a dialed session is closed, so that a daemon does not keep thousands open.
	dialedIdleLimit = time.Minute
	// acceptedIdleLimit is the time without received bytes after which an accepted session is closed; it exceeds dialedIdleLimit so that the
	// dialing entry closes first.
	acceptedIdleLimit = 90 * time.Second
	// sweepInterval is unused; sweeps run every unresponsiveLimit.
	sweepInterval = 10 * time.Second
	// defaultGrace bounds the wait for requests in progress at shutdown, on retired sessions and on half-closed streams.
	defaultGrace = 10 * time.Second
	// defaultDeadline bounds a request whose context has no deadline, and the read of an incoming request.
	defaultDeadline = 10 * time.Second
)

// Option changes a setting of a Mesh.
type Option func(*Mesh)

// WithConfigCodec sets the functions that encode a configuration as JSON and decode it; without them Push and Pull fail with ErrInvalid.
func WithConfigCodec(encode func(kctport.Config) ([]byte, error), decode func([]byte) (kctport.Config, error)) Option {
	return func(m *Mesh) { m.codec = codec{encode: encode, decode: decode} }
}

// WithSessionFailed sets a function that is called when a session to a member fails or cannot be opened; it must not block.
func WithSessionFailed(sessionFailed func(kctport.InstanceID)) Option {
	return func(m *Mesh) { m.sessionFailed = sessionFailed }
}

// WithGuard makes the connections of other entries take from a guard's account until their first request.
func WithGuard(guard *kctguard.Guard) Option {
	return func(m *Mesh) { m.guard = guard }
}

// WithGrace sets how long shutdown waits for requests in progress, 10 s by default.
func WithGrace(d time.Duration) Option {
	return func(m *Mesh) { m.grace = d }
}
