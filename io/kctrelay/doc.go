// Package kctrelay relays attempts between entries of different zones as
// protobuf messages on one yamux stream for each pair of entries. The
// requesting entry sends a caller's request once and a few bytes for each of
// its attempts; the other entry returns each result as soon as the attempt ends.
package kctrelay
