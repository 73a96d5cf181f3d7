// Package kctforward answers one caller's request from endpoints.
//
// A request goes to one endpoint of its route's service, or for a gather to
// one endpoint of each shard. Slow attempts are hedged and failed ones
// retried, if the route allows it and the retry budget is not used up. When
// the objective of a gather's route is due, the answer is merged from the
// parts received, if they reach the minimum coverage, and states how many
// are missing.
package kctforward
