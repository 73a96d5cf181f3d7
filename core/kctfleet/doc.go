// Package kctfleet decides which rules, endpoints and entries are in force.
//
// The store holds what must last. Its rates grow more slowly than the fleet,
// so that one entry a zone, the zone's reader, follows it and passes changes
// on to the others over feeds; the reader's place is a key under a lease. The
// feeds tell readers who is alive, so that the directory needs no keys of its
// own. An entry that reaches no reader follows the store itself.
//
// One goroutine owns the state and publishes each change as a new immutable
// kctport.Fleet. The store may be away, slow or forget its history: the last
// picture then stays in force, the rules never go back to an older version,
// and endpoints whose records lapsed get a short time to return.
package kctfleet
