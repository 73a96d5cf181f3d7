package kctmove

import (
	"time"

	kctport "kingcupturn"
)

// The shares of the new version. The last stage keeps 5% on the old version as
// the reference for the comparison.
const (
	// shareWarming is below 1% to bound the cost of a fault that can't be distinguished from the slowness of cold endpoints.
	shareWarming = 0.009
	shareFirst   = 0.05
	shareDone    = 1.0
)

// stages are the shares after the first stage, once the version is good.
var stages = []float64{0.10, 0.25, 0.50, 0.95}

const (
	// maxMargin is the longest margin before the deadline; a change takes up to 8 s to be in force everywhere.
	maxMargin = 10 * time.Second
	// minDwell and maxMinDwell bound the shortest time in a stage, which covers one
	// comparison period and the push of the change, twice that in longer moves.
	minDwell    = time.Second
	maxMinDwell = 2 * time.Second
	// maxLowered is how long the share stays low on a suspicion that gets no further evidence.
	maxLowered = 30 * time.Second
	// The move's length divided by these bounds the margin, the times in a stage and the warm-up.
	marginDivisor   = 10
	shortestDivisor = 30
	dwellDivisor    = 12
	maxDwellDivisor = 8
	warmupDivisor   = 4
)

// plan is the schedule of a move, computed backwards from its deadline.
type plan struct {
	// end is when the share should reach 1.
	end time.Time
	// warmupLatest is when the first stage may begin even if too few replies show that the endpoints are warm.
	warmupLatest time.Time
	// dwell is the planned time in each stage after the first.
	dwell time.Duration
	// shortest is the shortest time in a stage.
	shortest time.Duration
	// warmup is how long the latencies of a new endpoint are ignored.
	warmup time.Duration
	// cold is how long the latencies of an endpoint that its owner reports as cold are ignored.
	cold time.Duration
}

// newPlan returns the plan with the longest possible first stage, so that a fault which appears only after minutes is found at a share of 5%.
func newPlan(m kctport.Move, policy kctport.Policy) plan {
	length := m.Deadline.Sub(m.Started)
	warmup := min(policy.Warmup, length/warmupDivisor)
	shortest := max(minDwell, min(length/shortestDivisor, maxMinDwell))
	p := plan{
		end:      m.Deadline.Add(-min(maxMargin, length/marginDivisor)),
		dwell:    max(shortest, min(max(length/dwellDivisor, warmup), length/maxDwellDivisor)),
		shortest: shortest,
		warmup:   warmup,
		cold:     max(maxColdFactor*warmup, policy.Warmup),
	}
	p.warmupLatest = m.Started.Add(p.latestFirstStageEnd().Sub(m.Started) / 2)
	return p
}

// firstStageEnd is the planned end of the first stage.
func (p plan) firstStageEnd() time.Time {
	return p.end.Add(-time.Duration(len(stages)) * p.dwell)
}

// latestFirstStageEnd is the latest end of the first stage with which the move finishes in time, at the shortest time in each stage.
func (p plan) latestFirstStageEnd() time.Time {
	return p.end.Add(-time.Duration(len(stages)) * p.shortest)
}

// nextStage returns the next share and the number of stages that remain, including that one.
func nextStage(share float64) (float64, int) {
	for i, s := range stages {
		if s > share {
			return s, len(stages) - i
		}
	}
	return shareDone, 0
}

// dwellAt returns how long to stay at a share: the planned time, or less near the end.
func (p plan) dwellAt(since time.Time, share float64) time.Duration {
	_, left := nextStage(share)
	spread := p.end.Sub(since) / time.Duration(left+1)
	return max(p.shortest, min(p.dwell, spread))
}
