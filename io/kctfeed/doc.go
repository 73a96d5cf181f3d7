// Package kctfeed carries feeds between entries as protobuf messages on a yamux
// stream. The subscriber sends its own record as a heartbeat, and the reader
// sends updates. Either side ends a feed on which it receives nothing.
package kctfeed
