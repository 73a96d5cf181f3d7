// Package kctload generates open-loop load against entries and checks each
// answer. Arrival times depend on the seed alone and latency is measured from
// the intended arrival, so that a stall of the tier appears in the latencies
// instead of delaying the load (coordinated omission).
package kctload
