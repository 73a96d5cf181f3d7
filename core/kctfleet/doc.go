// Package kctfleet determines the rules, endpoints and entries that are in force.
//
// The store holds the durable records. To keep its rate of calls from growing
// as fast as the fleet, one entry in each zone, the zone's reader, watches the
// store and passes changes on to the other entries over feeds. The reader holds
// a key under a lease. Feeds also show readers which entries are alive, so that
// the directory needs no keys of its own.
//
// What an entry believes of the store is what an entry that watches it has seen
// of it, with its age and the number of feeds on its way. An entry without such
// contact looks for one that has it, and watches the store itself when it is its
// turn among the entries of its zone.
//
// One goroutine owns the state and publishes each change as a new immutable
// kctport.Fleet. While the store is unreachable, slow or has compacted its
// history, the last fleet state stays in force, the rules never return to an
// older version, and endpoints whose records lapsed get a short time to register
// again. A store that comes back from an older copy begins a new era of
// revisions; what the copy says is weighed against what is known.
package kctfleet
