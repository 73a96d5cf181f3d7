// Package kctbody reads the bodies of endpoints' answers within bounds, so that
// bodies without end can't take the memory of the process.
package kctbody
