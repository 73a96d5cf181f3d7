// Package kctforward answers one caller's request from endpoints.
//
// A request goes to one endpoint of its route's service, or for a gather to
// one endpoint of each shard. An attempt that is slow is hedged, one that
// failed is repeated, where the route allows it and the budget has room. A
// gathered answer is made of the parts that are in when the route's objective
// is due, if they are enough, and states how many are missing.
package kctforward
