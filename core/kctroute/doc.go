// Package kctroute selects the snapshot of a query and the endpoint of each
// attempt, and derives the health of endpoints from observations. Selection
// reads immutable views and is safe for concurrent use; Health is used by the
// control goroutine only.
package kctroute
