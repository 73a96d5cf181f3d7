// Package kctburn computes burn rates of service-level objectives from samples
// of counters. A burn rate of 1 consumes the error budget exactly over the
// period of the objective. The short window shows whether the budget is still
// being consumed, the long one whether the amount is significant.
package kctburn
