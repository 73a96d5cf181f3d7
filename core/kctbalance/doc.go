// Package kctbalance chooses the endpoint for an attempt and keeps the limits
// that all entries share: connections, cold starts and extra attempts.
//
// No entry asks another one before it sends. Each keeps to its share of the
// fleet-wide limit, divided by the number of entries in the current picture.
package kctbalance
