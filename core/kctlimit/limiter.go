package kctlimit

import (
	"math"
	"time"
)

const (
	// shedDecrease and slowCut are the factors of the multiplicative decrease.
	shedDecrease = 0.7
	slowDecrease = 0.9
	// limitIncrease is the additive increase per set of timely replies at the limit. It
	// is slow because each probe above the true limit costs a shed request.
	limitIncrease = 0.1
	// slowShare of recent replies, each weighing slowMemory, lowers the limit;
	// it is four times the share in calm conditions.
	slowShare  = 0.2
	slowSmoothing = 1.0 / 16
	// detectWindow is the time within which slow or shed replies must come
	// together to show a sudden cold start.
	detectWindow = time.Second
	// detectSlow out of the last detectOf replies show a sudden cold start: with
	// 5% of slow replies in calm conditions, that is one false alarm in 2,000 replies.
	detectSlow = 3
	detectOf   = 4
)

// limiter decides how many requests may be in flight; it has no lock and no clock.
type limiter struct {
	slots    int
	limit    float64
	handover time.Time
	start    slowStart

	lastDecrease  time.Time
	lastShed time.Time
	slowRate   float64 // moving share of slow replies
	recent   [detectOf]sample
	next     int
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

// allowed returns the exact bound on requests in flight.
func (l *limiter) allowed(now time.Time) int {
	if now.Before(l.handover) {
		// The previous owner may still use what a cold endpoint can bear.
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

// resize follows the reported slots.
func (l *limiter) resize(slots int) {
	slots = max(slots, 1)
	// A limit that was not lowered follows the report up; a lowered one stays.
	if l.limit >= float64(l.slots) || l.limit > float64(slots) {
		l.limit = float64(slots)
	}
	l.slots = slots
}

// restartSlowStart starts the slow start over.
func (l *limiter) restartSlowStart() {
	l.start.restart()
	l.recent = [detectOf]sample{}
	l.lastShed, l.slowRate = time.Time{}, 0
}

// countReply counts a countReply; full says that the limit was in use.
func (l *limiter) countReply(now time.Time, latency time.Duration, baseline *latencyMean, full bool) {
	if l.start.cold {
		l.start.countReply(latency, baseline, int(l.limit))
		return
	}
	slow := l.isOverdue(latency, baseline)
	baseline.add(latency)
	l.start.lowerSlowness(latency, baseline)
	if slow {
		l.countSlow(now)
		return
	}
	l.addSample(now, false)
	if full {
		l.limit = min(l.limit+limitIncrease/l.limit, float64(l.slots))
	}
}

// isOverdue reports whether the latency is far above what is normal for the endpoint.
func (l *limiter) isOverdue(latency time.Duration, baseline *latencyMean) bool {
	return baseline.isSlow(time.Duration(float64(latency) / l.start.factor()))
}

// countSlow counts a countSlow reply or an attempt that is overdue.
func (l *limiter) countSlow(now time.Time) {
	if l.start.cold {
		return // the set that the reply is part of decides
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

// countShed counts a refusal by the endpoint with inFlight requests there, itself included.
func (l *limiter) countShed(now time.Time, inFlight int, mean time.Duration) {
	// Replies to requests sent together tell the same thing, so the limit is
	// lowered once per mean latency.
	if now.Sub(l.lastDecrease) >= mean {
		l.lastDecrease = now
		l.limit = math.Max(l.limit*shedDecrease, 1)
	}
	// The gate never exceeds the reported slots, so two sheds in a row, or one
	// at half of the slots, mean that the endpoint can't sustain its report.
	repeated := !l.lastShed.IsZero() && now.Sub(l.lastShed) < detectWindow
	if l.start.cold || repeated || inFlight <= l.slots/2 {
		l.restartSlowStart()
	}
	l.lastShed = now
}

// addSample records a reply and reports whether the recent ones show a sudden cold start.
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
