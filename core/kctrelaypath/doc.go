// Package kctrelaypath chooses the path of an attempt to its endpoint: direct, or
// relayed through an entry in the endpoint's availability zone.
//
// Traffic between zones is billed, and most bytes of a small part are the
// headers that each attempt repeats. A relaying entry receives the headers of a
// gathered request once for all of its parts, and returns only what the merge
// needs. The requesting entry makes all decisions; the relaying one only uses
// its connections.
package kctrelaypath
