// Package kctmux carries protobuf messages between entries: one stream on one
// yamux session a connection, each message with its length in front.
package kctmux
