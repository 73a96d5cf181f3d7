package kctmove

import (
	"math"
	"slices"
	"time"
)

const (
	// comparePeriod is the shortest period that is evaluated.
	comparePeriod = 500 * time.Millisecond
	// enoughOldAttempts is the number of attempts at the old version that ends a period; with fewer it lasts for longPeriod.
	enoughOldAttempts = 20
	longPeriod        = time.Second
	// minOldAttempts is the least number of attempts at the old version for a comparison after longPeriod.
	minOldAttempts = 3
	// maxPeriod ends a period with too few attempts at the old version; latencies are then not evaluated.
	maxPeriod = 10 * time.Second
	// historyHalfLife is the half-life of the weight of earlier counts of the old version.
	historyHalfLife = 20 * time.Second
	// slowQuantile is the quantile of the old version's latencies above which a reply of either version counts as slow.
	slowQuantile = 0.9
	// minTimedWeight is the weighted number of the old version's latencies that the limit requires.
	minTimedWeight = 20
)

// history holds the old version's earlier counts, decayed by historyHalfLife.
type history struct {
	requests  float64
	failures  float64
	latencies [buckets]float64
}

// sourceCounts are the new version's counts from one source: an endpoint that this entry owns, or another entry.
type sourceCounts struct {
	source string
	counts counts
}

// period collects the counts of one cell until they are evaluated.
type period struct {
	old counts
	// new holds the new version's counts in the order of the sources' first attempts.
	new     []sourceCounts
	history history
	opened  time.Time
	updated time.Time
}

// of returns the counts of the old version, or those of one source for the new version.
func (p *period) of(isNew bool, source string) *counts {
	if !isNew {
		return &p.old
	}
	i := slices.IndexFunc(p.new, func(q sourceCounts) bool { return q.source == source })
	if i < 0 {
		i = len(p.new)
		p.new = append(p.new, sourceCounts{source: source})
	}
	return &p.new[i].counts
}

// tallies returns the new version's tally by source, with latencies in buckets after the limit as slow.
func (p *period) tallies(limit int) []sourceTally {
	out := make([]sourceTally, 0, len(p.new))
	for _, q := range p.new {
		out = append(out, sourceTally{q.source, q.counts.tally(limit)})
	}
	return out
}

// ended reports whether the period is evaluated now. Without traffic of the old version its history is the reference, as far as there is any.
func (p *period) ended(now time.Time, withoutOld bool) bool {
	age := now.Sub(p.opened)
	switch {
	case age < comparePeriod:
		return false
	case p.old.requests >= enoughOldAttempts:
		return true
	case withoutOld && p.history.requests >= enoughOldAttempts:
		return true
	case age >= longPeriod && p.old.requests >= minOldAttempts:
		return true
	}
	return age >= maxPeriod
}

// limit returns the last bucket that isn't slow, from the old version's history and current period, and false if they have too few latencies.
func (p *period) limit() (int, bool) {
	var weights [buckets]float64
	sum := 0.0
	for i, n := range p.old.latencies {
		weights[i] = p.history.latencies[i] + float64(n)
		sum += weights[i]
	}
	if sum < minTimedWeight {
		return 0, false
	}
	below := 0.0
	for i, w := range weights {
		if below += w; below >= slowQuantile*sum {
			return i, true
		}
	}
	return buckets - 1, true
}

// comparable reports whether the period has enough latencies of the old version; earlier ones aren't a reference, since the zone may have become
// slow in the meantime.
func (p *period) comparable() bool {
	return p.old.latencies.total() >= minOldAttempts
}

// slowHistory returns the weighted numbers of slow and timed attempts in the history, by the current limit.
func (p *period) slowHistory(limit int) (float64, float64) {
	slow, timed := 0.0, 0.0
	for i, w := range p.history.latencies {
		timed += w
		if i > limit {
			slow += w
		}
	}
	return slow, timed
}

// restart adds the counts of the old version to the history and opens the next period.
func (p *period) restart(now time.Time, withoutOld bool) {
	keep := math.Exp2(-now.Sub(p.updated).Seconds() / historyHalfLife.Seconds())
	p.history.requests = keep*p.history.requests + float64(p.old.requests)
	p.history.failures = keep*p.history.failures + float64(p.old.failures)
	// Latencies are kept until the period has a reference, at most for maxPeriod.
	pending := !withoutOld && !p.comparable() && now.Sub(p.opened) < maxPeriod
	for i, n := range p.old.latencies {
		p.history.latencies[i] *= keep
		if !pending {
			p.history.latencies[i] += float64(n)
		}
	}
	p.old.requests, p.old.failures, p.updated = 0, 0, now
	if pending {
		for i := range p.new {
			p.new[i].counts.requests, p.new[i].counts.failures = 0, 0
		}
		return
	}
	p.old, p.new, p.opened = counts{}, p.new[:0], now
}

// referenceRate returns the old version's rate: that of its history, or that of the current period if it is higher.
func referenceRate(hits, n int, historyHits, historyN float64) float64 {
	fromHistory := upperRate(historyHits, historyN)
	if hits == 0 && historyN >= enoughOldAttempts {
		return fromHistory
	}
	return max(fromHistory, upperRate(float64(hits), float64(n)))
}
