package kctroute

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
)

// observe records the outcome of one attempt.
func (r *endpointState) observe(o kctport.Observation, median time.Duration) {
	if r.ejected {
		return // the attempt was sent before the ejection
	}
	r.countShed(errors.Is(o.Err, kctport.ErrShed))
	switch {
	case o.Err == nil:
		r.sample(o.Latency, 0)
		r.failures = 0
		r.successes++
		if r.successes >= requiredSuccesses {
			r.probation = false
		}
	case notEndpointFault(o.Err):
	case errors.Is(o.Err, context.Canceled):
		// Hedges cancel every attempt at a straggler, so a late cancellation
		// counts against the endpoint; otherwise the straggler would never be
		// detected.
		if median > 0 && float64(o.Latency) > lateFactor*float64(median) {
			r.samples++
			r.lateRate += weight(r.samples) * (1 - r.lateRate)
		}
	case errors.Is(o.Err, kctport.ErrTimeout) && o.Latency <= slowFactor*median+slowSlack:
		// The caller's deadline was too short.
	default:
		r.sample(o.Latency, 1)
		r.failures++
	}
}

// sample adds a completed attempt to the moving averages; failed is 0 or 1.
func (r *endpointState) sample(latency time.Duration, failed float64) {
	r.samples++
	r.timedSamples++
	r.failureRate += weight(r.samples) * (failed - r.failureRate)
	r.lateRate -= weight(r.samples) * r.lateRate
	r.latency += weight(r.timedSamples) * (float64(latency) - r.latency)
}

// countShed adds an attempt to the share of sheds.
func (r *endpointState) countShed(shed bool) {
	r.attempts++
	v := 0.0
	if shed {
		v = 1
	}
	r.sheds += weight(r.attempts) * (v - r.sheds)
}

// weight returns the weight of the latest sample; it gives the first samples equal weights.
func weight(samples int) float64 {
	return max(sampleWeight, 1/float64(samples))
}

// notEndpointFault reports whether an error was caused by the caller or the tier, or is a permitted refusal. Of the errors
// that wrap ErrNotRun, only a connection that can't be made counts against an endpoint.
func notEndpointFault(err error) bool {
	if errors.Is(err, kctport.ErrNotRun) {
		return !errors.Is(err, kctport.ErrUnavailable)
	}
	return errors.Is(err, kctport.ErrInvalid) || errors.Is(err, kctport.ErrShed)
}

// ejectionReason returns the reason to eject the endpoint, empty without one; sheds is the median of the service. An
// endpoint that sheds most attempts is ejected, since it has few in flight and so would be picked ever more often.
func (r *endpointState) ejectionReason(median time.Duration, sheds float64) string {
	limit := consecutiveFailures
	if r.probation {
		limit = probationFailures
	}
	switch {
	case r.failures >= limit:
		return fmt.Sprintf("%d failures in a row", r.failures)
	case r.samples >= minSamples && r.failureRate >= failingShare:
		return fmt.Sprintf("%.0f%% of recent attempts failed", 100*r.failureRate)
	case r.samples >= minSamples && r.lateRate >= failingShare:
		return fmt.Sprintf("%.0f%% of recent attempts were given up late", 100*r.lateRate)
	case r.attempts >= minSamples && r.sheds >= failingShare && sheds < maxMedianSheds:
		return fmt.Sprintf("%.0f%% of recent attempts were shed", 100*r.sheds)
	case r.timedSamples >= minSamples && median > 0 && r.latency > float64(slowFactor*median+slowSlack):
		return fmt.Sprintf("mean latency %s, median of the service %s", time.Duration(r.latency), median)
	}
	return ""
}

// medianSheds returns the median share of sheds of the endpoints with enough attempts, 1 without any.
func medianSheds(rs []*endpointState) float64 {
	var ss []float64
	for _, r := range rs {
		if r.attempts >= minSamples && !r.ejected {
			ss = append(ss, r.sheds)
		}
	}
	if len(ss) == 0 {
		return 1
	}
	slices.Sort(ss)
	return ss[(len(ss)-1)/2]
}

// median returns the median of the mean latencies of the endpoints with enough samples, 0 without any.
func median(rs []*endpointState) time.Duration {
	var ls []float64
	for _, r := range rs {
		if r.timedSamples >= minSamples && !r.ejected {
			ls = append(ls, r.latency)
		}
	}
	if len(ls) == 0 {
		return 0
	}
	slices.Sort(ls)
	// With two endpoints, the lower median compares the slow one with the fast one.
	return time.Duration(ls[(len(ls)-1)/2])
}
