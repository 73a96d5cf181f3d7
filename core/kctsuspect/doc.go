// Package kctsuspect finds requests that crash endpoints and refuses them for a
// time.
//
// A Memory holds the evidence. Each crash counts against the requests that were
// in flight, as long as none of them was in flight at a crash before; then only
// against the one that was in most. A request that was in CrashLimit crashes,
// each of them sent after the one before, with no run in between that ended
// well, is refused. Entries tell each other their evidence, so that the request
// is known by what it is at all of them.
//
// On the product's own interface each endpoint has one owner, whose List runs at
// most one suspect at a time on it, and takes each connection that ends without
// an answer for a crash. On the users' platform all entries use all endpoints,
// and a Detector probes an endpoint before it takes it for crashed, since an
// answer may also be lost.
package kctsuspect
