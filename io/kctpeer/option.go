package kctpeer

import (
	"time"

	kctport "kingcupturn"
)

const (
	// MaxMessage is the largest message in bytes that is sent or accepted.
	MaxMessage = 4 << 20
	// dialTimeout bounds a TCP connect and the first reply; it allows two round trips between regions and some delay.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout is how long yamux waits for the socket before it ends a session.
	writeTimeout = 2 * time.Second
	// backlog is how many streams of one session may wait for an accept.
	backlog = 4096
	// silentLimit is how long a given up request may wait for any byte before its session counts as silent.
	silentLimit = 500 * time.Millisecond
	// blockedLimit is how long a request may be stuck in a write, when its context has ended and nothing came back, before its session is closed.
	blockedLimit = 100 * time.Millisecond
	// idleLimit is when a dialed session without requests is closed, so that a daemon does not hold one to each of thousands.
	idleLimit = time.Minute
	// quietLimit is when an accepted session that received nothing is closed; it exceeds idleLimit so that the dialer closes first.
	quietLimit = 90 * time.Second
	// sweepEvery is the interval of the search for idle sessions.
	sweepEvery = 10 * time.Second
	// graceDefault bounds the wait for streams in progress at shutdown.
	graceDefault = 10 * time.Second
	// defaultDeadline applies to a request whose context has no deadline.
	defaultDeadline = 10 * time.Second
)

// Option changes a setting of a Mesh.
type Option func(*Mesh)

// WithConfigCodec sets the functions that turn a configuration into JSON and back.
func WithConfigCodec(encode func(kctport.Config) ([]byte, error), decode func([]byte) (kctport.Config, error)) Option {
	return func(m *Mesh) { m.codec = codec{encode: encode, decode: decode} }
}

// WithSessionFailed sets a function that is called, without blocking, when a session to a member breaks or cannot be made.
func WithSessionFailed(broken func(kctport.InstanceID)) Option {
	return func(m *Mesh) { m.broken = broken }
}

// WithGrace sets how long shutdown waits for streams in progress.
func WithGrace(d time.Duration) Option {
	return func(m *Mesh) { m.grace = d }
}
