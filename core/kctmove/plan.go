package kctmove

import (
	"time"

	kctport "kingcupturn"
)

// The shares of the new version.
const (
	// shareWarming is below 1% to bound the cost of a fault that can't be distinguished from the slowness of cold endpoints.
	shareWarming = 0.009
	// shareFirst is the share of the first stage, in which the version is judged before it gets load; a service with few requests gets up to
	// maxShareFirst, so that firstRate requests a second reach the version.
	shareFirst    = 0.05
	maxShareFirst = 0.2
	firstRate     = 5.0
	shareDone     = 1.0
)

// stages are the shares between the first stage and the whole, in which the version is judged under load.
var stages = []float64{0.25, 0.50}

const (
	// spreadTime is how long a decision of the holder takes until all entries have it, and stepTime how long until the holder itself can make the next one.
	spreadTime = 300 * time.Millisecond
	stepTime   = 350 * time.Millisecond
	// minMargin and maxMargin bound the time before the deadline at which the end of a move is decided, which leaves time to write it twice.
	minMargin = 300 * time.Millisecond
	maxMargin = time.Second
	// minFinal and maxFinal bound the time with the whole share before the end is decided: all entries must have the share, and the requests at the old
	// version must end, since its endpoints may then stop at once.
	minFinal = 800 * time.Millisecond
	maxFinal = 3 * time.Second
	// minDwell and maxMinDwell bound the shortest time in a stage, which covers the spread of the change and one comparison period.
	minDwell    = time.Second
	maxMinDwell = 2 * time.Second
	// minLowered and maxLowered bound how long the share stays low on a suspicion that gets no further evidence.
	minLowered = 5 * time.Second
	maxLowered = 30 * time.Second
	// The move's length divided by these bounds the margin, the times in a stage and the warm-up.
	marginDivisor   = 60
	shortestDivisor = 30
	maxDwellDivisor = 8
	loweredDivisor  = 10
	warmupDivisor   = 4
)

// Exposure bounds the requests that a version gets until the deadline of its move, since it may turn out to be bad until then.
type Exposure struct {
	// Share is the greatest part of the requests of the service, 0 to 1, and Slack the number of requests beyond it.
	Share float64
	Slack float64
}

// DefaultExposure is the bound of the users' deployments.
var DefaultExposure = Exposure{Share: 0.1, Slack: 50}

const (
	// exposureMargin is the part of the bound that is planned with; the rest is for requests on their way and for a rate that falls.
	exposureMargin = 0.75
	// firstPart and finalPart are the parts of it for the first stage and for the whole share.
	firstPart = 0.3
	finalPart = 0.4
)

// plan is the schedule of a move, computed backwards from its deadline.
type plan struct {
	// end is when the end of the move is decided, and lastChance when it is decided even on a suspicion.
	end, lastChance time.Time
	// stages are the shares between the first stage and the whole.
	stages []float64
	// first is the share of the first stage.
	first float64
	// final is the planned time with the whole share, minFinal the shortest.
	final time.Duration
	// warmupLatest is when the first stage may begin even if too few replies show that the endpoints are warm.
	warmupLatest time.Time
	// dwell is the planned time in each stage after the first, and shortest the shortest.
	dwell, shortest time.Duration
	// warmup is how long the latencies of a new endpoint are ignored.
	warmup time.Duration
	// lowered is how long the share stays low on a suspicion that gets no further evidence.
	lowered time.Duration
	// cold is how long the latencies of an endpoint that its owner reports as cold are ignored.
	cold time.Duration
}

// newPlan returns the plan with the longest possible first stage, so that a fault which appears only after minutes is found at a low share. The version may
// turn out to be bad at any moment, so that the whole plan keeps to the bound on its requests at a rate of requests a second, 0 when not known. Short moves
// of busy services have fewer stages for it.
func newPlan(m kctport.Move, policy kctport.Policy, rate float64, e Exposure) plan {
	length := m.Deadline.Sub(m.Started)
	margin := max(minMargin, min(length/marginDivisor, maxMargin))
	p := plan{
		end: m.Deadline.Add(-margin - spreadTime), lastChance: m.Deadline.Add(-margin),
		shortest: max(minDwell, min(length/shortestDivisor, maxMinDwell)), warmup: min(policy.Warmup, length/warmupDivisor),
		lowered: max(minLowered, min(length/loweredDivisor, maxLowered)),
	}
	p.cold = max(maxColdFactor*p.warmup, policy.Warmup)
	// The bound as a time with all requests.
	bound := e.Share * length.Seconds()
	if rate > 0 {
		bound += e.Slack / rate
	}
	bound *= exposureMargin
	p.final = seconds(min(max(finalPart*bound, minFinal.Seconds()), maxFinal.Seconds()))
	p.stages = stages
	for len(p.stages) > 0 && p.final.Seconds()+sum(p.stages)*p.shortest.Seconds() > (1-firstPart)*bound {
		p.stages = p.stages[:len(p.stages)-1]
	}
	p.first = shareFirst
	if rate > 0 {
		p.first = min(max(shareFirst, firstRate/rate), maxShareFirst)
	}
	p.warmupLatest = m.Started.Add(p.latestFirstStageEnd().Sub(m.Started) / 2)
	if firstStage := p.latestFirstStageEnd().Sub(m.Started) - p.warmup; firstStage > 0 {
		left := bound - p.final.Seconds() - sum(p.stages)*p.shortest.Seconds()
		p.first = max(2*shareWarming, min(p.first, min(firstPart*bound, left)/firstStage.Seconds()))
		bound -= p.first * firstStage.Seconds()
	}
	p.dwell = p.shortest
	if len(p.stages) > 0 {
		p.dwell = max(p.shortest, min(seconds((bound-p.final.Seconds())/sum(p.stages)), length/maxDwellDivisor))
	}
	return p
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func sum(shares []float64) float64 {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	return total
}

// firstStageEnd is the planned end of the first stage.
func (p plan) firstStageEnd() time.Time {
	return p.end.Add(-p.final - stepTime - time.Duration(len(p.stages))*(p.dwell+stepTime))
}

// latestFirstStageEnd is the latest end of the first stage with which the move finishes in time, at the shortest time in each stage.
func (p plan) latestFirstStageEnd() time.Time {
	return p.end.Add(-minFinal - stepTime - time.Duration(len(p.stages))*(p.shortest+stepTime))
}

// isFirstStage reports whether a share is that of the first stage.
func isFirstStage(share float64) bool {
	return share > shareWarming && share < stages[0]
}

// nextStage returns the share after another one, and the number of stages that follow that one.
func (p plan) nextStage(share float64) (float64, int) {
	for i, s := range p.stages {
		if s > share {
			return s, len(p.stages) - i
		}
	}
	return shareDone, 0
}

// nextInTime returns the share after another one, without the stages for which it is too late.
func (p plan) nextInTime(now time.Time, share float64) float64 {
	next, following := p.nextStage(share)
	for following > 0 && now.Add(p.shortest+minFinal+2*stepTime).After(p.end) {
		next, following = p.nextStage(next)
	}
	return next
}

// dwellAt returns how long to stay at a share of the stages after the first: the planned time, or less when the move is late.
func (p plan) dwellAt(since time.Time, share float64) time.Duration {
	_, following := p.nextStage(share)
	spread := p.end.Add(-p.final).Sub(since) / time.Duration(following+1)
	return max(p.shortest, min(p.dwell, spread))
}
