package kctlimit

import (
	"math"
	"time"
)

const (
	// shedDecrease and slowDecrease are the factors of the multiplicative decrease after a shed and after too many slow replies.
	shedDecrease = 0.7
	slowDecrease = 0.9
	// limitIncrease is the additive increase for as many timely replies as the
	// limit allows in flight. It is small because each probe above the true limit
	// costs a shed request.
	limitIncrease = 0.1
	// slowShare is the moving share of slow replies above which the limit is lowered,
	// four times the share under normal load; slowSmoothing is the weight of one reply.
	slowShare     = 0.2
	slowSmoothing = 1.0 / 16
	// detectWindow is the time within which slow or shed replies must arrive to
	// indicate a sudden cold start.
	detectWindow = time.Second
	// detectSlow slow ones of the last detectOf replies indicate a sudden cold start:
	// with 5% slow replies under normal load, that is one false alarm in 2,000 replies.
	detectSlow = 3
	detectOf   = 4
)

// limiter computes the number of requests that may be in flight; it has no lock and no clock.
type limiter struct {
	slots    int
	limit    float64
	handover time.Time
	start    slowStart

	lastDecrease time.Time
	lastShed     time.Time
	slowRate     float64 // moving share of slow replies, 0 to 1
	recent       [detectOf]sample
	next         int
}

// sample is one reply in the detection window.
type sample struct {
	at   time.Time
	slow bool
}

func newLimiter(slots int) limiter {
	slots = max(slots, 1)
	return limiter{slots: slots, limit: float64(slots)}
}

// allowed returns the bound on requests in flight.
func (l *limiter) allowed(now time.Time) int {
	if now.Before(l.handover) {
		// Requests of the previous owner may still use the full capacity of a cold endpoint.
		if l.start.cold {
			return 0
		}
		return 1
	}
	n := min(int(l.limit), l.slots)
	if l.start.cold {
		n = min(n, l.start.level)
	}
	return max(n, 1)
}

// resize applies a new number of reported slots.
func (l *limiter) resize(slots int) {
	slots = max(slots, 1)
	// A limit that was lowered below the slots does not rise with them.
	if l.limit >= float64(l.slots) || l.limit > float64(slots) {
		l.limit = float64(slots)
	}
	l.slots = slots
}

// restartSlowStart begins slow start at one request and clears the detection of a cold start.
func (l *limiter) restartSlowStart() {
	l.start.restart()
	l.recent = [detectOf]sample{}
	l.lastShed, l.slowRate = time.Time{}, 0
}

// countReply records the latency of a reply; full is set when all allowed slots were in use.
func (l *limiter) countReply(now time.Time, latency time.Duration, baseline *latencyMean, full bool) {
	if l.start.cold {
		l.start.countReply(latency, baseline, int(l.limit))
		return
	}
	slowReply := l.overdue(latency, baseline)
	baseline.add(latency)
	l.start.adjustSlowness(latency, baseline)
	if slowReply {
		l.slowReply(now)
		return
	}
	l.addSample(now, false)
	if full {
		l.limit = min(l.limit+limitIncrease/l.limit, float64(l.slots))
	}
}

// overdue reports whether the latency is that of a slow reply, corrected by the endpoint's slowness.
func (l *limiter) overdue(latency time.Duration, baseline *latencyMean) bool {
	return baseline.isSlow(time.Duration(float64(latency) / l.start.factor()))
}

// slowReply records a slow reply or an overdue attempt, and lowers the limit or restarts slow start.
func (l *limiter) slowReply(now time.Time) {
	if l.start.cold {
		return // slow start evaluates replies by set
	}
	if l.addSample(now, true) {
		l.restartSlowStart()
		return
	}
	if l.slowRate > slowShare {
		l.slowRate = 0
		l.limit = math.Max(l.limit*slowDecrease, 1)
	}
}

// countShed records a refusal by the endpoint while inFlight requests, the refused one included, were sent to it.
func (l *limiter) countShed(now time.Time, inFlight int, mean time.Duration) {
	// Refusals of requests sent together have the same cause, so the limit is
	// lowered at most once per mean latency.
	if now.Sub(l.lastDecrease) >= mean {
		l.lastDecrease = now
		l.limit = math.Max(l.limit*shedDecrease, 1)
	}
	// The gate never exceeds the reported slots, so two sheds within detectWindow,
	// or one at half of the slots, mean that the endpoint can't sustain them.
	repeated := !l.lastShed.IsZero() && now.Sub(l.lastShed) < detectWindow
	if l.start.cold || repeated || inFlight <= l.slots/2 {
		l.restartSlowStart()
	}
	l.lastShed = now
}

// addSample records whether a reply was slow and reports whether the recent ones indicate a sudden cold start.
func (l *limiter) addSample(now time.Time, slow bool) bool {
	l.slowRate -= slowSmoothing * l.slowRate
	if slow {
		l.slowRate += slowSmoothing
	}
	l.recent[l.next] = sample{at: now, slow: slow}
	l.next = (l.next + 1) % detectOf
	n := 0
	for _, s := range l.recent {
		if s.slow && now.Sub(s.at) < detectWindow {
			n++
		}
	}
	return n >= detectSlow
}
