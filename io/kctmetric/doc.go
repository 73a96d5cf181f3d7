// Package kctmetric registers the metrics of one entry in a client_golang
// registry of its own and serves them. Other packages call the typed methods
// or supply a function that reads a counter of theirs, so that core packages
// don't depend on a metrics library.
package kctmetric
