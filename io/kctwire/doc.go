// Package kctwire defines the JSON messages of the endpoint interface, those
// that control the stand-ins of endpoints and platform, and the checksum of a
// part reply. Clients and stand-ins share it, so that each message is defined once.
package kctwire
