// Package kctdirectory lists the entries that a caller should connect to,
// preferably those of its own availability zone.
package kctdirectory
