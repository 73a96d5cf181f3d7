package kctbalance

import "time"

const (
	// coldSafety leaves room for clock differences and delays that shift requests of several entries into the same second.
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

// spacing returns the time between two requests of an entry that has one of the shares; 0 means no bound.
func (c ColdBounds) spacing(rate float64, shares int) time.Duration {
	if rate <= 0 {
		return 0
	}
	share := (rate*c.Overshoot + c.Slack) * coldSafety / float64(max(1, shares))
	return time.Duration(float64(time.Second) / share)
}

// open reports whether a request may be sent now.
func (g *coldGate) open(now time.Time) bool {
	return !now.Before(g.next)
}

// advance closes the gate for the spacing after a request.
func (g *coldGate) advance(now time.Time, spacing time.Duration) {
	g.next = now.Add(spacing)
}
