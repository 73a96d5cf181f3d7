package kctfeed

import (
	"time"

	"kingcupturn/io/kctmux"
)

const (
	// heartbeatInterval is the time between two heartbeats of a subscriber.
	heartbeatInterval = 400 * time.Millisecond
	// idleTimeout ends a feed after three missed heartbeats; it detects a connection that failed without being closed.
	idleTimeout = 1300 * time.Millisecond
	// dialTimeout bounds connecting to an entry; the round trip between entries takes a few milliseconds.
	dialTimeout = 400 * time.Millisecond
)

// streamOptions leaves yamux keep-alives off, since both ends write regularly.
var streamOptions = kctmux.Options{IdleTimeout: idleTimeout}
