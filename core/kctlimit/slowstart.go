package kctlimit

import "time"

const (
	// setSize is the number of replies whose mean latency is compared with the service's. Half of the exponentially
	// distributed replies of an endpoint that is four times slower are within the normal range, but only one in 280 sets
	// of 16; as many sets of a warm endpoint are outside it.
	setSize = 16
	// maxDoublings bounds how often the set size doubles because the endpoint was still cold at a raised limit.
	maxDoublings = 3
	// acceptAfter is the number of consecutive cold sets after which an endpoint counts as permanently slow, such as on
	// older hardware, rather than cold: 256 replies, 6 s at one slot and 24 ms each.
	acceptAfter = 16
	// maxSlowness bounds the slowness of a permanently slow endpoint.
	maxSlowness = 8
	// slownessWeight is the weight of one reply when the slowness is adjusted.
	slownessWeight = 0.01
)

// slowStart limits the requests in flight at a cold endpoint: one at first, twice as many after each set of timely replies.
type slowStart struct {
	cold      bool
	level     int
	doublings int
	replies   int
	sum       time.Duration
	coldSets  int // consecutive
	// slowness is the warm endpoint's latency as a multiple of its service's mean, 0 when it is not slower.
	slowness float64
}

// factor returns the divisor of a latency before it is compared with the service's mean, at least 1.
func (s *slowStart) factor() float64 {
	return max(s.slowness, 1)
}

// adjustSlowness moves the slowness of a permanently slow endpoint towards that of a reply.
func (s *slowStart) adjustSlowness(latency time.Duration, baseline *latencyMean) {
	if m := baseline.mean(); s.slowness > 0 && m > 0 {
		s.slowness += slownessWeight * (min(float64(latency)/float64(m), maxSlowness) - s.slowness)
	}
}

// restart begins again at one request. After a restart from a raised limit the next sets are twice as long, which bounds
// the number of requests that exceed the endpoint's capacity.
func (s *slowStart) restart() {
	if s.cold && s.level > 1 {
		s.doublings = min(s.doublings+1, maxDoublings)
	}
	s.cold, s.level, s.replies, s.sum = true, 1, 0, 0
}

// countReply records a reply; slow start ends when the level reaches the limit.
func (s *slowStart) countReply(latency time.Duration, baseline *latencyMean, limit int) {
	s.replies++
	s.sum += latency
	if s.replies < setSize<<s.doublings {
		return
	}
	set := s.sum / time.Duration(s.replies)
	isCold := baseline.isCold(time.Duration(float64(set) / s.factor()))
	baseline.addSet(set, s.replies)
	if isCold {
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
