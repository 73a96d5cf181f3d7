// Package kctlimit bounds the requests in flight at an endpoint. The entry
// that owns the endpoint holds one Gate for it: the reported slots are the
// upper bound, an adaptive limit lies at or below them, a cold endpoint goes
// through slow start, and a bounded queue refuses a request before it is sent
// when its deadline can't be met.
package kctlimit
