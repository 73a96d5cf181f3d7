// Package kctmove decides on the progress of a version move: the share of the
// new version, whether it is good or bad, and the evidence for operators.
//
// Counts of the old and the new version are compared within the same zone,
// route and period by a sequential probability ratio test (Wald, 1945). A
// slow zone slows both versions and so is no evidence against the new one.
// The test for a bad version restarts whenever the evidence favours the
// version, since a fault may appear only after minutes.
//
// A Tracker belongs to the control goroutine and isn't safe for concurrent use.
package kctmove
