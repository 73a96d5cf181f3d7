package kctfeed

import (
	"time"

	"kingcupturn/io/kctmux"
)

const (
	// beatInterval is how often a subscriber writes its record.
	beatInterval = 400 * time.Millisecond
	// quietTimeout ends a feed on which three beats were missed; a connection may go silent without an end.
	quietTimeout = 1300 * time.Millisecond
	// dialTimeout bounds a new connection; entries are a few milliseconds apart.
	dialTimeout = 400 * time.Millisecond
)

// streamOptions need no probes, since both ends write all the time.
var streamOptions = kctmux.Options{IdleTimeout: quietTimeout}
