// Package kctreport reads the metrics of entries and prints the burn report,
// which compares services with their objectives and lists the exceptions to the
// default policy that are in force, with their reasons.
package kctreport
