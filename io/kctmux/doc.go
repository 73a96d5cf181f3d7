// Package kctmux sends length-delimited protobuf messages between entries, on
// one stream in one yamux session per connection.
package kctmux
