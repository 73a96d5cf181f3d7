package kctbalance

import "fmt"

// limitLogRatio is the factor by which a limit must change for the change to be reported.
const limitLogRatio = 1.25

// recordLimit stores the limit that an answer names, or ends it after a success without one; it returns the text of the change, if any.
func (e *endpoint) recordLimit(o Outcome) string {
	old := e.limit
	switch {
	case o.Misdirected:
		return ""
	case o.RateLimit != nil:
		e.limit = o.RateLimit
		if old == nil || *old > *e.limit*limitLogRatio || *e.limit > *old*limitLogRatio {
			return fmt.Sprintf("%g requests a second", *e.limit)
		}
	case o.Latency > 0 && old != nil:
		e.limit = nil
		return "none"
	}
	return ""
}
