// Package kctpeer sends messages between entries over yamux sessions on TCP,
// with one stream per request; a stream carries one length-delimited request
// and reply of package kctproto. Deadlines are sent as remaining durations and
// sentinel errors as codes.
//
// An entry sends requests only on sessions that it dialed and replies only on
// sessions that it accepted, so requests on a session go in one direction.
package kctpeer
