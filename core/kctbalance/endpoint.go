package kctbalance

import (
	"math"
	"time"

	kctport "kingcupturn"
)

const (
	// ratioWeight is the weight of one attempt in the smoothed latency ratio: a single pause doesn't exclude an endpoint, and a lasting slowdown is
	// detected after a few attempts.
	ratioWeight = 0.25
	// ratioHalfLife is how fast the ratio of an endpoint without attempts returns to 1, so that a slow endpoint is tried again.
	ratioHalfLife = 2 * time.Second
	// maxRatio bounds one sample, so that the ratio recovers soon after a single pause.
	maxRatio = 6.0
	// minRatio bounds the preference for a fast endpoint.
	minRatio = 0.5
	// loadMaxAge is how long an endpoint's report of its load is used.
	loadMaxAge = 300 * time.Millisecond
	// failuresToEject is the number of consecutive failures after which an endpoint is ejected.
	failuresToEject = 2
	// minEjectionTime and maxEjectionTime bound the exponential backoff of an ejected endpoint; a crashed one restarts within a few seconds.
	minEjectionTime = 400 * time.Millisecond
	maxEjectionTime = 3 * time.Second
	// misdirectedTime is longer than the removal of a terminated endpoint's record takes: three heartbeats and the store's delay. A restarted endpoint
	// has a new start time in its record and so a new state here.
	misdirectedTime = 5 * time.Second
)

// endpoint is the state of one incarnation of an endpoint; the balancer's lock guards it.
type endpoint struct {
	started time.Time
	// pending holds the start times of attempts without an answer.
	pending map[uint64]time.Time
	// ratio is the smoothed ratio of the latency to the route's smoothed latency.
	ratio        float64
	ratioAt      time.Time
	load         float64
	loadAt       time.Time
	failures     int
	ejectedUntil time.Time
	ejectionTime time.Duration
	// misdirectedUntil ends the period without attempts after another endpoint answered at the address.
	misdirectedUntil time.Time
	cold             coldGate
	// limiter is nil while the endpoint names no limit.
	limiter *limiter
}

func newEndpoint(started time.Time) *endpoint {
	return &endpoint{started: started, pending: map[uint64]time.Time{}, ratio: 1}
}

// latencyRatio returns the smoothed latency ratio, which decays to 1 while there are no attempts.
func (e *endpoint) latencyRatio(now time.Time) float64 {
	age := now.Sub(e.ratioAt)
	if e.ratioAt.IsZero() || age <= 0 {
		return e.ratio
	}
	return 1 + (e.ratio-1)*math.Exp2(-float64(age)/float64(ratioHalfLife))
}

// recordLatency adds the ratio of one latency to the route's smoothed latency.
func (e *endpoint) recordLatency(now time.Time, sample float64) {
	sample = min(maxRatio, max(minRatio, sample))
	e.ratio = e.latencyRatio(now)*(1-ratioWeight) + sample*ratioWeight
	e.ratioAt = now
}

// recordFailure counts a failure and ejects the endpoint for a growing time.
func (e *endpoint) recordFailure(now time.Time) {
	e.failures++
	if e.failures < failuresToEject {
		return
	}
	e.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*e.ejectionTime))
	e.ejectedUntil = now.Add(e.ejectionTime)
}

func (e *endpoint) recordSuccess() {
	e.failures, e.ejectionTime, e.ejectedUntil = 0, 0, time.Time{}
}

// longestPending returns how long the oldest pending attempt has waited.
func (e *endpoint) longestPending(now time.Time) time.Duration {
	var longest time.Duration
	for _, at := range e.pending {
		longest = max(longest, now.Sub(at))
	}
	return longest
}

// reportedLoad returns the work per slot in the endpoint's last report, 0 when the report is too old.
func (e *endpoint) reportedLoad(now time.Time) float64 {
	if now.Sub(e.loadAt) > loadMaxAge {
		return 0
	}
	return e.load
}

// recordLoad stores a load report; a waiting request counts twice.
func (e *endpoint) recordLoad(now time.Time, l *kctport.Load) {
	if l == nil || l.Slots <= 0 {
		return
	}
	e.load, e.loadAt = float64(l.Running+2*l.Waiting)/float64(l.Slots), now
}
