// Package kctbalance chooses the endpoint for an attempt and enforces the limits
// that all entries share: connections, requests to cold endpoints and extra
// attempts.
//
// Entries do not coordinate before they send. Each one uses its share of a
// fleet-wide limit, which is the limit divided by the number of shares in the
// current fleet state.
package kctbalance
