package kctfake

import (
	"time"

	"kingcupturn/io/kctwire"
)

// badVersionApplies reports whether the fault of a bad version affects a request that starts now; since is when the fault was set,
// and running is the number of requests in flight.
func badVersionApplies(b kctwire.BadVersion, since time.Time, running int, route string) bool {
	if b.FailureShare == 0 && b.Slow == 0 {
		return false
	}
	return time.Since(since) >= time.Duration(b.After) &&
		running > b.AboveInFlight &&
		(b.Route == "" || b.Route == route)
}
