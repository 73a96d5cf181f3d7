// Package kctmember implements the failure detector of the entries (SWIM: Das,
// Gupta, Motivala, 2002) and the assignment of each endpoint to one entry.
//
// A Table is a state machine without locks, clock or sockets: its caller passes
// in the time and the replies, and sends the probes that Tick returns.
// The number of probes in a period doesn't depend on the number of members.
package kctmember
