// Package kctcontrol runs the control goroutine of an entry. The goroutine owns
// the configuration, the member table, the endpoint table and the state of
// version moves, and publishes an immutable view that traffic reads without locks.
package kctcontrol
