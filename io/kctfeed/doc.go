// Package kctfeed carries feeds between entries: protobuf messages on a yamux
// stream. A subscriber writes its own record at each beat, the other side
// writes updates; either ends a feed on which nothing arrives.
package kctfeed
