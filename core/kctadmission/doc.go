// Package kctadmission decides at once, from what its shards can be expected to
// take, whether a request is served, and which shards it does without.
//
// A request that waits in queues until its time is over has used the places of
// others, so that load above the capacity of a shard lowers what is served.
// Requests are therefore admitted whole: one that can't reach its minimum
// coverage is refused before any of its parts is sent, and one that can leaves
// full shards to the requests that need them.
package kctadmission
