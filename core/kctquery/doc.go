// Package kctquery executes the requests of callers. A query fans out to one
// endpoint per part on one snapshot, with canary, hedges, retries and a partial
// answer at the deadline; an execution runs at most once, on one endpoint. One
// goroutine per query owns the state of its run; attempt goroutines only send
// it their results.
package kctquery
