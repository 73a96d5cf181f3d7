// Package kctpath decides how an attempt travels to its endpoint: straight,
// or through an entry in the endpoint's availability zone.
//
// Bytes between zones are paid for, and most bytes of a small part are the
// headers that each attempt carries. An entry of the other zone gets the
// headers of a gathered request once for all of its parts, and sends back
// only what the merge needs. The asking entry makes all decisions; the other
// one lends its connections.
package kctpath
