// Package kctloopback finds free ports on the loopback address, for tests and
// demos that run several instances on one machine.
package kctloopback
