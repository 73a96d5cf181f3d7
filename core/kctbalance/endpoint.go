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
	ratioHalfLife = 3 * time.Second
	// maxRatio bounds one sample, so that the ratio recovers soon after a single pause.
	maxRatio = 6.0
	// minRatio bounds the preference for a fast endpoint.
	minRatio = 0.5
	// loadMaxAge is how long an endpoint's report of its load is used.
	loadMaxAge = 300 * time.Millisecond
	// drainShare is the part of an endpoint's work since its report by which its queue is expected to be shorter; the rest is for requests of other entries.
	drainShare = 0.5
	// lossWeight is the weight of one attempt in the smoothed share of lost ones.
	lossWeight = 0.3
	// lossHalfLife is how fast the losses of an endpoint without attempts are forgotten, so that it is asked again.
	lossHalfLife = 2 * time.Second
	// pausedFactor is how many times longer than expected an attempt may be pending before its endpoint counts as paused.
	pausedFactor = 1.5
	// failuresToEject is the number of consecutive failures after which an endpoint is ejected.
	failuresToEject = 4
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
	ratio   float64
	ratioAt time.Time
	// reported is the endpoint's last report of its load, reportedAt the time of it.
	reported   kctport.Load
	reportedAt time.Time
	// work is the time that the endpoint takes for a request without waiting, on average over its routes; 0 before the first answer.
	work time.Duration
	// slots is the number of requests that the endpoint runs concurrently.
	slots int
	// losses is the smoothed share of attempts that were refused or failed.
	losses       float64
	lossesAt     time.Time
	failures     int
	ejectedAt    time.Time
	ejectedUntil time.Time
	ejectionTime time.Duration
	// misdirectedUntil ends the period without attempts after another endpoint answered at the address.
	misdirectedUntil time.Time
	cold             coldGate
	// limiter is nil while the endpoint names no limit.
	limiter *limiter
}

func newEndpoint(s *kctport.FleetEndpoint) *endpoint {
	return &endpoint{started: s.Started, pending: map[uint64]time.Time{}, ratio: 1, slots: max(1, s.Slots)}
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

// recordFailure counts the failure of an attempt and ejects the endpoint for a growing time. Attempts that were under way when it was ejected say nothing
// new: they would eject it for the longest time at once.
func (e *endpoint) recordFailure(now, sent time.Time) {
	if sent.Before(e.ejectedAt) {
		return
	}
	e.failures++
	if e.failures < failuresToEject {
		return
	}
	e.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*e.ejectionTime))
	e.ejectedAt, e.ejectedUntil = now, now.Add(e.ejectionTime)
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

// recordLoss adds one attempt to the share of lost ones: 1 for one that was refused or failed, 0 for another.
func (e *endpoint) recordLoss(now time.Time, sample float64) {
	e.losses = e.lossShare(now)*(1-lossWeight) + sample*lossWeight
	e.lossesAt = now
}

// lossShare returns the smoothed share of lost attempts, which decays while there are none.
func (e *endpoint) lossShare(now time.Time) float64 {
	if e.losses == 0 {
		return 0
	}
	return e.losses * math.Exp2(-float64(now.Sub(e.lossesAt))/float64(lossHalfLife))
}

// recordLoad stores a load report.
func (e *endpoint) recordLoad(now time.Time, l *kctport.Load) {
	if l == nil || l.Slots <= 0 {
		return
	}
	e.reported, e.reportedAt, e.slots = *l, now, l.Slots
}

// present returns how many requests the endpoint is expected to have: those that it reported and this entry's since then, or only this entry's when
// the report is too old.
func (e *endpoint) present(now time.Time) int {
	if now.Sub(e.reportedAt) > loadMaxAge {
		return len(e.pending)
	}
	drained := 0.0
	if e.work > 0 {
		drained = drainShare * float64(now.Sub(e.reportedAt)) / float64(e.work) * float64(e.slots)
	}
	reported := max(0, float64(e.reported.Running+e.reported.Waiting)-drained)
	return max(len(e.pending), int(reported+0.5)+e.sentSince(e.reportedAt))
}

// sentSince returns the number of pending attempts that were sent after a time.
func (e *endpoint) sentSince(at time.Time) int {
	n := 0
	for _, sent := range e.pending {
		if sent.After(at) {
			n++
		}
	}
	return n
}

// load returns the requests that the endpoint is expected to have for each of its slots.
func (e *endpoint) load(now time.Time) float64 {
	return float64(e.present(now)) / float64(e.slots)
}

// waitFactor returns how long an attempt is expected to wait for one of this entry's connections or for a slot, as a factor of the endpoint's work.
func (e *endpoint) waitFactor(now time.Time, connections int) float64 {
	forSlot := float64(e.present(now)+1-e.slots) / float64(e.slots)
	forConnection := float64(len(e.pending)+1-connections) / float64(connections)
	return max(0, forSlot, forConnection)
}
