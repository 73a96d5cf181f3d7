// Package kctfleet follows the platform's store and decides which rules,
// endpoints and entries are in force.
//
// One goroutine owns the state. Two others make the calls that wait: one
// follows the store, one keeps this entry's own record alive under a lease.
// Each change is published as a new immutable kctport.Fleet.
//
// The store may be away, slow or forget its history. The last picture then
// stays in force, the rules never go back to an older version, and endpoints
// whose records lapsed meanwhile get a short time to return.
package kctfleet
