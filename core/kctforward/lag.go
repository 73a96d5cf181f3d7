package kctforward

import (
	"sync/atomic"
	"time"
)

const (
	// lagRise and lagFall are the weights of one sample in the smoothed lag: an answer that is late for want of time costs more than a few parts.
	lagRise = 0.3
	lagFall = 0.03
	// maxLagShare bounds the lag that answers allow for, as a part of the objective.
	maxLagShare = 0.4
)

// lag is how long this entry takes, on its processor, from the time at which an answer is due until the answer is merged: little on a whole processor, and
// many milliseconds for hundreds of parts on a fifth of one.
type lag struct {
	smoothed atomic.Int64
}

// record adds the lag of one answer.
func (l *lag) record(sample time.Duration) {
	old := time.Duration(l.smoothed.Load())
	weight := lagFall
	if sample > old {
		weight = lagRise
	}
	l.smoothed.Store(int64(old + time.Duration(weight*float64(sample-old))))
}

// allowance returns the time by which an answer must be due earlier.
func (l *lag) allowance(objective time.Duration) time.Duration {
	return min(time.Duration(l.smoothed.Load()), time.Duration(maxLagShare*float64(objective)))
}
