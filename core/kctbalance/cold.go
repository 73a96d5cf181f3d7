package kctbalance

import (
	"time"

	kctport "kingcupturn"
)

const (
	// coldSafety leaves room for clock differences and delays that shift requests of several entries into the same second.
	coldSafety = 0.7
	// coldActive is the part of the bound that the active entries share, and coldOthers that of all others, which get few requests. Entries may disagree for a
	// moment on who is active: all of the active ones may be replaced at once, and the sum of the parts stays below the bound.
	coldActive = 0.6
	coldOthers = 0.2
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
	// until is the end of the cold period to which next belongs.
	until time.Time
}

// spacing returns the time between two requests of this entry to an endpoint that is cold; 0 means no bound.
func (c ColdBounds) spacing(rate float64, fleet *kctport.Fleet) time.Duration {
	if rate <= 0 {
		return 0
	}
	share := (rate*c.Overshoot + c.Slack) * coldSafety * coldShare(fleet)
	return time.Duration(float64(time.Second) / share)
}

// coldShare returns this entry's part of the bound, 0 to 1.
func coldShare(fleet *kctport.Fleet) float64 {
	switch {
	case fleet.SelfActive && fleet.ActiveShares < fleet.LimitShares:
		return coldActive / float64(fleet.ActiveShares)
	case fleet.SelfActive || fleet.LimitShares <= len(fleet.Active):
		return 1 / float64(max(1, fleet.LimitShares))
	}
	return coldOthers / float64(fleet.LimitShares)
}

// newPeriod is the difference from which two ends of cold periods are not the same one, which entries learn with different delays.
const newPeriod = time.Second

// begin makes the first request of a cold period wait for a random part of the spacing, 0 to 1: many entries learn of it at the same time, and the first
// requests of all of them would exceed the bound. The same holds for an entry whose share of the bound has grown.
func (g *coldGate) begin(now, until time.Time, spacing time.Duration, part float64) {
	if until.Sub(g.until).Abs() > newPeriod || g.next.Sub(now) > spacing {
		g.next = now.Add(time.Duration(part * float64(spacing)))
	}
	g.until = until
}

// open reports whether a request may be sent now.
func (g *coldGate) open(now time.Time) bool {
	return !now.Before(g.next)
}

// advance closes the gate for the spacing after a request.
func (g *coldGate) advance(now time.Time, spacing time.Duration) {
	g.next = now.Add(spacing)
}
