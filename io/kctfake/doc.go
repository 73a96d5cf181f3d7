// Package kctfake holds stand-ins of the platform and of endpoints, which can
// inject the faults that the tier must tolerate. They listen on the loopback
// address unless another is set.
package kctfake
