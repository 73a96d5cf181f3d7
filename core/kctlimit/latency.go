package kctlimit

import (
	"sync/atomic"
	"time"
)

const (
	// replyWeight and slowWeight are the weights of a timely and a slow reply in
	// the mean latency. Slow replies weigh less, so that a few cold endpoints
	// don't raise the mean of the service to the latency of a cold endpoint.
	replyWeight = 0.02
	slowWeight  = 0.01
	// fasterSet and slowerSet are the weights of a set of replies from a cold
	// endpoint. A slower set has a small weight, so that a service whose latency
	// rose permanently ends its slow start.
	fasterSet = 0.3
	slowerSet = 0.02
	// slowFactor times the mean latency makes a reply slow: 5% of exponentially
	// distributed latencies are above that.
	slowFactor = 3
	// coldFactor times the mean latency makes a set of replies cold.
	coldFactor = 1.8
	// slowSlack keeps scheduling delays from making replies of fast services slow.
	slowSlack = time.Millisecond
)

// minReplies is the number of replies below which the mean is not used for comparisons.
const minReplies = 16

// latencyMean is the smoothed latency (EWMA) of a service, shared by the gates of its endpoints. Concurrent updates may
// overwrite each other, which costs single samples.
type latencyMean struct {
	nanos atomic.Int64
	count atomic.Int64
}

// mean returns the mean latency, 0 before the first reply.
func (l *latencyMean) mean() time.Duration {
	return time.Duration(l.nanos.Load())
}

// exceeds reports whether the latency is above factor times the mean; it is false before minReplies replies.
func (l *latencyMean) exceeds(latency time.Duration, factor float64) bool {
	return l.count.Load() >= minReplies && float64(latency) > factor*float64(l.mean())+float64(slowSlack)
}

// isSlow reports whether the latency of one reply is far above the mean.
func (l *latencyMean) isSlow(latency time.Duration) bool {
	return l.exceeds(latency, slowFactor)
}

// isCold reports whether the mean latency of a set of replies is that of a cold endpoint.
func (l *latencyMean) isCold(set time.Duration) bool {
	return l.exceeds(set, coldFactor)
}

// add adds the latency of one reply of a warm endpoint.
func (l *latencyMean) add(latency time.Duration) {
	if l.isSlow(latency) {
		l.update(latency, 1, slowWeight)
	} else {
		l.update(latency, 1, replyWeight)
	}
}

// addSet adds the mean latency of a set of replies of a cold endpoint.
func (l *latencyMean) addSet(set time.Duration, replies int) {
	if set > l.mean() {
		l.update(set, replies, slowerSet)
	} else {
		l.update(set, replies, fasterSet)
	}
}

// update shifts the mean towards a latency by the weight; the first replies weigh equally.
func (l *latencyMean) update(latency time.Duration, replies int, weight float64) {
	n := l.count.Add(int64(replies))
	m := l.mean()
	if n > minReplies {
		latency = min(latency, slowFactor*m)
	}
	l.nanos.Store(int64(m) + int64(max(weight, float64(replies)/float64(n))*float64(latency-m)))
}
