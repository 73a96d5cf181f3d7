package kctmove

import "math"

const (
	// badScore is the log-likelihood ratio at which a version is bad; the odds of a false verdict are about e^-12.
	badScore = 12.0
	// suspicionScore is the log-likelihood ratio at which the share is lowered until the test is decided.
	suspicionScore = 5.0
	// releaseScore is the log-likelihood ratio below which a lowered share may rise again.
	releaseScore = 1.5
	// goodScore is the log-likelihood ratio at which a version is good; Wald's bound for accepting
	// a bad one is then 5%, and the test for a bad version continues in all later stages.
	goodScore = -3.0
	// doubtScore is the log-likelihood ratio of a slight fault up to which a version with few requests gets more of them.
	doubtScore = 2.5
	// maxFailureIncrement and maxSlowIncrement bound what one cell adds in one period, so that
	// one endpoint's pause of a second doesn't decide the test.
	maxFailureIncrement = 6.0
	maxSlowIncrement    = 3.0

	// fullIncrementOld is the number of the old version's latencies in a period that allows the full maxSlowIncrement.
	fullIncrementOld = 10
	// minOtherShare is the share of the evidence that must come from sources other than the strongest one.
	minOtherShare = 0.25

	// minHistoryFailures is the weighted number of the old version's earlier failures in a cell from which they are its own reference.
	minHistoryFailures = 0.5
	// failureFloor is the least failure rate assumed of the old version.
	failureFloor = 0.005
	// slowFloor is the least rate of slow replies assumed of the old version.
	slowFloor = 0.08
	maxRate   = 0.9
)

// The alternative hypotheses: the first finds slight faults, the second finds a
// gross fault with half as many requests.
var (
	// failureRises are the rises of the failure rate that make a version bad.
	failureRises = [...]float64{0.05, 0.4}
	// slowOdds are the ratios of the odds of a slow reply that make a version bad.
	slowOdds = [...]float64{4, 20}
)

// score is the evidence of one test on one route, or on all routes.
type score struct {
	// bad is the log-likelihood ratio since the evidence last favoured the version.
	bad float64
	// good is the log-likelihood ratio since the start of the move.
	good float64
	// tallies sums the counts since then, for operators.
	tallies tallyPair
	// sources splits bad by source.
	sources map[string]float64
}

// increment is the log-likelihood ratio of one source's counts.
type increment struct {
	source string
	ratio  float64
}

// add adds the increments of one cell and period, scaled so that their sum is at most bound.
func (s *score) add(increments []increment, bound float64, p tallyPair) {
	sum := 0.0
	for _, t := range increments {
		sum += t.ratio
	}
	scale := 1.0
	if sum > bound {
		scale = bound / sum
	}
	s.good += scale * sum
	s.bad += scale * sum
	s.tallies.add(p)
	if s.bad <= 0 || s.sources == nil {
		s.sources = map[string]float64{}
	}
	if s.bad <= 0 {
		s.bad, s.tallies = 0, tallyPair{}
		return
	}
	for _, t := range increments {
		s.sources[t.source] += scale * t.ratio
	}
}

// confirmed returns bad, or 0 if the evidence comes from one source only, which
// points to a slow or broken endpoint; singleSource accepts such evidence.
func (s *score) confirmed(singleSource bool) float64 {
	top := 0.0
	for _, x := range s.sources {
		top = max(top, x)
	}
	if !singleSource && s.bad-top < minOtherShare*s.bad {
		return 0
	}
	return s.bad
}

// logLikelihoodRatio returns the log-likelihood ratio of rate high against rate low for hits among n attempts.
func logLikelihoodRatio(hits, n int, low, high float64) float64 {
	return float64(hits)*math.Log(high/low) + float64(n-hits)*math.Log((1-high)/(1-low))
}

// failureIncrements tests the new version's failures for a rise above the old version's rate.
func failureIncrements(sources []sourceTally, rate, rise float64) []increment {
	rate = min(max(rate, failureFloor), maxRate)
	high := min(rate+rise, (1+rate)/2)
	increments := make([]increment, 0, len(sources))
	for _, p := range sources {
		increments = append(increments, increment{p.source, logLikelihoodRatio(p.tally.failures, p.tally.requests, rate, high)})
	}
	return increments
}

// slowIncrements tests the new version's slow replies for odds that are factor times those of the old version's rate.
func slowIncrements(sources []sourceTally, rate, factor float64) []increment {
	rate = min(max(rate, slowFloor), maxRate)
	odds := factor * rate / (1 - rate)
	high := odds / (1 + odds)
	increments := make([]increment, 0, len(sources))
	for _, p := range sources {
		increments = append(increments, increment{p.source, logLikelihoodRatio(p.tally.slow, p.tally.timed, rate, high)})
	}
	return increments
}

// upperRate returns a rate estimated from counts plus one standard error, so that random variation of the
// old version's counts isn't evidence against the new one.
func upperRate(hits, n float64) float64 {
	if n < 1 {
		return 0
	}
	p := (hits + 0.5) / (n + 1)
	return p + math.Sqrt(p*(1-p)/n)
}
