package kctfake

import (
	"time"

	"kingcupturn/io/kctwire"
)

// badShows reports whether a bad version's fault shows in a request that starts now.
func badShows(b kctwire.BadVersion, since time.Time, running int, route string) bool {
	if b.FailureShare == 0 && b.Slow == 0 {
		return false
	}
	return time.Since(since) >= time.Duration(b.After) &&
		running > b.AboveInFlight &&
		(b.Route == "" || b.Route == route)
}
