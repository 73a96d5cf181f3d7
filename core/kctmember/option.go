package kctmember

import "time"

// Defaults of the failure detector.
const (
	// Period is the time between two regular probes sent by one entry.
	Period = 500 * time.Millisecond
	// RoundTimeout is how long a round of an attempt waits for a reply; it covers a round trip between regions.
	RoundTimeout = 300 * time.Millisecond
	// SuspicionTimeout is the time in which a suspect may refute the suspicion before it is declared dead.
	SuspicionTimeout = 2 * time.Second
	// Retention is how long dead and departed members are kept; it exceeds the longest expected partition of an hour.
	Retention = 2 * time.Hour
	// ListGrace is how long a dead member missing from the platform's list is kept, since the list lags.
	ListGrace = time.Minute
)

const (
	// maxChanges is the greatest number of member changes in a probe, which bounds its size.
	maxChanges = 8
	// maxRandom is the number of changes up to which a probe is filled with random members, which repairs lost changes.
	maxRandom = 2
	// rounds is the number of rounds of an attempt before its target is suspect. With one round of direct and one of
	// indirect probes, 10% loss raised more suspicions than messages of bounded size can spread and refute: 500 simulated
	// members had 117 false deaths (seed 3).
	rounds = 3
	// helpers is the number of members asked to probe one that doesn't answer.
	helpers = 3
	// maxUrgent bounds the probes beyond the regular one in one tick.
	maxUrgent = 4
	// deadProbePeriods is the number of periods between two probes of dead members, which let the sides of a healed partition reconnect.
	deadProbePeriods = 5
	// leaveFanout is the number of members probed at once to announce this entry's departure.
	leaveFanout = 16
	// pauseLimit is the gap between ticks above which this process counts as paused.
	pauseLimit = time.Second
	// verifyJitter is the jitter, per member of the table, of probes that verify an incarnation reported by another member.
	verifyJitter = 10 * time.Millisecond
)

// Option changes a setting of a Table.
type Option func(*Table)

// WithPeriod sets the time between two regular probes.
func WithPeriod(d time.Duration) Option {
	return func(t *Table) { t.period = d }
}

// WithSuspicionTimeout sets the time in which a suspect may refute the suspicion before it is declared dead.
func WithSuspicionTimeout(d time.Duration) Option {
	return func(t *Table) { t.suspicionTimeout = d }
}
