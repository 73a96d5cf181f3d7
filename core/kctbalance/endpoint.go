package kctbalance

import (
	"math"
	"time"

	kctport "kingcupturn"
)

const (
	// slownessWeight is the weight of one attempt in the moving average: one pause of an endpoint doesn't exclude it, a lasting slowdown shows after a few attempts.
	slownessWeight = 0.25
	// slownessHalfLife lets an endpoint that gets no work be tried again.
	slownessHalfLife = 2 * time.Second
	// maxSlowness bounds one sample, so that a single pause is forgotten soon.
	maxSlowness = 6.0
	// minSlowness bounds the preference for a fast endpoint.
	minSlowness = 0.5
	// loadMemory is how long an endpoint's report of its load counts.
	loadMemory = 300 * time.Millisecond
	// failuresToEject is the number of failures in a row after which an endpoint rests.
	failuresToEject = 2
	// firstRest and longestRest bound the exponential backoff of an ejected endpoint; a crashed one is back after a few seconds.
	firstRest   = 400 * time.Millisecond
	longestRest = 3 * time.Second
	// goneTime outlasts the removal of the record of an endpoint that has ended, three heartbeats and the store's delay; a restarted one has a new life in its record.
	goneTime = 5 * time.Second
)

// endpoint is what traffic knows of one life of an endpoint; the balancer's lock guards it.
type endpoint struct {
	started time.Time
	// pending holds the start times of attempts without an answer.
	pending map[uint64]time.Time
	// slowness is the moving average of latency over the route's usual latency.
	slowness float64
	at       time.Time
	load     float64
	loadAt   time.Time
	failures int
	rest     time.Time
	restFor  time.Duration
	// gone is until when the endpoint gets nothing, since another one answered at its address.
	gone time.Time
	cold coldGate
}

func newEndpoint(started time.Time) *endpoint {
	return &endpoint{started: started, pending: map[uint64]time.Time{}, slowness: 1}
}

// decayed returns the slowness, which goes back to normal while no attempt confirms it.
func (e *endpoint) decayed(now time.Time) float64 {
	age := now.Sub(e.at)
	if e.at.IsZero() || age <= 0 {
		return e.slowness
	}
	return 1 + (e.slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// learn adds one latency relative to the usual one.
func (e *endpoint) learn(now time.Time, ratio float64) {
	ratio = min(maxSlowness, max(minSlowness, ratio))
	e.slowness = e.decayed(now)*(1-slownessWeight) + ratio*slownessWeight
	e.at = now
}

// failed counts a failure and ejects the endpoint for a growing time.
func (e *endpoint) failed(now time.Time) {
	e.failures++
	if e.failures < failuresToEject {
		return
	}
	e.restFor = min(longestRest, max(firstRest, 2*e.restFor))
	e.rest = now.Add(e.restFor)
}

func (e *endpoint) succeeded() {
	e.failures, e.restFor, e.rest = 0, 0, time.Time{}
}

// oldest returns how long the longest pending attempt has waited.
func (e *endpoint) oldest(now time.Time) time.Duration {
	var longest time.Duration
	for _, at := range e.pending {
		longest = max(longest, now.Sub(at))
	}
	return longest
}

// reported returns the waiting work per slot of the endpoint's last report.
func (e *endpoint) reported(now time.Time) float64 {
	if now.Sub(e.loadAt) > loadMemory {
		return 0
	}
	return e.load
}

func (e *endpoint) report(now time.Time, l *kctport.Load) {
	if l == nil || l.Slots <= 0 {
		return
	}
	e.load, e.loadAt = float64(l.Running+2*l.Waiting)/float64(l.Slots), now
}
