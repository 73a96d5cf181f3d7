// Package kctconfig implements the configuration record: its defaults, the
// checks and application of change requests, the effective policy of a service,
// and the compare-and-swap writer that changes the stored record.
package kctconfig
