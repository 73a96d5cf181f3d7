// Package kctfake holds stand-ins for the platform and for endpoints, which can
// inject the faults that the tier must tolerate. They listen on the loopback
// address unless another is set.
package kctfake
