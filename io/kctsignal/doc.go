// Package kctsignal ignores hangups from the start of a process on, earlier than
// the Go runtime can, until the process receives them or restores their default.
package kctsignal
