package kctbalance

import "time"

const (
	// coldSafety leaves room for clocks and delays that shift requests of several entries into one second.
	coldSafety = 0.7
	// defaultOvershoot and defaultColdSlack are the users' bound on a cold endpoint: rate x 1.5 + 5 requests in one second over all entries.
	defaultOvershoot = 1.5
	defaultColdSlack = 5.0
)

// ColdBounds are the users' bound on the requests that a cold endpoint gets in one second over all entries: its rate times the overshoot plus the slack.
type ColdBounds struct {
	Overshoot float64
	Slack     float64
}

// coldGate spaces the requests of this entry to a cold endpoint.
type coldGate struct {
	next time.Time
}

// spacing is the time between two requests of one of the sharers; 0 means no bound.
func (c ColdBounds) spacing(rate float64, sharers int) time.Duration {
	if rate <= 0 {
		return 0
	}
	share := (rate*c.Overshoot + c.Slack) * coldSafety / float64(max(1, sharers))
	return time.Duration(float64(time.Second) / share)
}

// open reports whether a request may go out now.
func (g *coldGate) open(now time.Time) bool {
	return !now.Before(g.next)
}

// pass takes the next request's turn.
func (g *coldGate) pass(now time.Time, spacing time.Duration) {
	g.next = now.Add(spacing)
}
