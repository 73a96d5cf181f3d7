package kctlimit

import "time"

const (
	// setSize is the number of replies that are judged together. A set rather than each reply, because half of the
	// exponentially distributed replies of an endpoint that is four times slower are within the normal range; of sets of
	// 16, one in 280 is, and as many sets of a warm endpoint are not.
	setSize = 16
	// maxDoublings bounds how often the set doubles after the endpoint turned out to be cold at a raised limit.
	maxDoublings = 3
	// acceptAfter is the number of cold sets in a row after which an endpoint counts as slow for good, such as on older
	// hardware, rather than cold: 256 replies, 6 s at one slot and 24 ms each.
	acceptAfter = 16
	// maxSlowness bounds how much slower than its service an endpoint may be for good.
	maxSlowness = 8
	// slownessWeight is the weight of one reply when an endpoint turns out faster again.
	slownessWeight = 0.01
)

// slowStart limits a cold endpoint: one request at first, twice as many after each set of timely replies.
type slowStart struct {
	cold     bool
	level    int
	doublings int
	replies  int
	sum      time.Duration
	coldSets int // in a row
	// slowness is how many times slower than its service the endpoint is when warm, 0 for not slower.
	slowness float64
}

// factor is what a latency is divided by before it is compared with the service's.
func (s *slowStart) factor() float64 {
	return max(s.slowness, 1)
}

// lowerSlowness lowers the slowness of a warm endpoint that is faster than that.
func (s *slowStart) lowerSlowness(latency time.Duration, baseline *latencyMean) {
	if m := baseline.mean(); s.slowness > 0 && m > 0 {
		s.slowness += slownessWeight * (min(float64(latency)/float64(m), maxSlowness) - s.slowness)
	}
}

// restart starts over at one request. A relapse from a raised limit doubles the next sets, which bounds the number of
// requests that probe an endpoint beyond what it can sustain.
func (s *slowStart) restart() {
	if s.cold && s.level > 1 {
		s.doublings = min(s.doublings+1, maxDoublings)
	}
	s.cold, s.level, s.replies, s.sum = true, 1, 0, 0
}

// countReply counts a countReply; a limit that is reached ends the slow start.
func (s *slowStart) countReply(latency time.Duration, baseline *latencyMean, limit int) {
	s.replies++
	s.sum += latency
	if s.replies < setSize<<s.doublings {
		return
	}
	set := s.sum / time.Duration(s.replies)
	cold := baseline.isCold(time.Duration(float64(set) / s.factor()))
	baseline.addSet(set, s.replies)
	if cold {
		s.restart()
		s.coldSets++
		if s.coldSets < acceptAfter {
			return
		}
		s.slowness = min(float64(set)/float64(baseline.mean()), maxSlowness)
	}
	s.level, s.replies, s.sum, s.coldSets = s.level*2, 0, 0, 0
	if s.level >= limit {
		*s = slowStart{slowness: s.slowness}
	}
}
