package kctload

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the highest latency in µs (one minute), histogramDigits the number of significant digits.
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
	// evidenceLimit is the number of evidence lines in a report at most.
	evidenceLimit = 20
)

// tally aggregates the results of a load; it is not safe for concurrent use.
type tally struct {
	plan    Plan
	skipped int
	all     *aggregate
	kinds   []*aggregate
	// executions are the results that have an idempotency key.
	executions  []result
	partsNeeded uint64
	// evidence describes the first wrong, lost, doubled and misreported requests.
	evidence []string
	codes    map[string]int
}

// aggregate sums the results of one kind or of all.
type aggregate struct {
	Counts
	latency  *hdrhistogram.Histogram
	coverage float64
	queries  int
	urgent   int
	onTime   int
	buckets  []bucket
}

// bucket sums the results of one second of intended arrival time, for the plot.
type bucket struct {
	latency       *hdrhistogram.Histogram
	sent, answers int
}

func newAggregate() *aggregate {
	return &aggregate{latency: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func newTally(p Plan) *tally {
	t := &tally{plan: p, all: newAggregate(), codes: map[string]int{}}
	for range p.Workload.Kinds {
		t.kinds = append(t.kinds, newAggregate())
	}
	return t
}

func (t *tally) add(r result) {
	k := t.plan.Workload.Kinds[r.arrival.Kind]
	t.all.add(r, k)
	t.kinds[r.arrival.Kind].add(r, k)
	t.partsNeeded += uint64(r.coverage.Total)
	if r.code != "" {
		t.codes[r.code]++
	}
	if r.key != "" {
		t.executions = append(t.executions, r)
	}
	if k.Execute && r.outcome == outcomeComplete {
		t.partsNeeded++
	}
	if r.outcome == outcomeWrong || r.outcome == outcomeLost {
		t.addEvidence("%s %q at %v: %s", k.Name, r.arrival.Text, r.arrival.Offset, r.evidence)
	}
}

func (t *tally) addEvidence(format string, args ...any) {
	if len(t.evidence) < evidenceLimit {
		t.evidence = append(t.evidence, fmt.Sprintf(format, args...))
	}
}

func (c *aggregate) add(r result, k Kind) {
	c.Sent++
	c.Broken += r.broken
	c.FailedDials += r.failedDials
	c.classify(r.outcome)
	answered := r.outcome == outcomeComplete || r.outcome == outcomePartial
	if answered {
		// A latency above the histogram's range is recorded as the highest value.
		_ = c.latency.RecordValue(min(r.latency.Microseconds(), histogramMax))
	}
	if answered && !k.Execute {
		c.queries++
		c.coverage += float64(r.coverage.Answered) / float64(max(1, r.coverage.Total))
	}
	if r.arrival.Urgent && !k.Execute {
		c.urgent++
		if r.outcome == outcomeComplete && r.latency <= k.Deadline {
			c.onTime++
		}
	}
	c.bucket(r, answered)
}

func (c *aggregate) classify(v outcome) {
	switch v {
	case outcomeComplete:
		c.Answered++
		c.Complete++
	case outcomePartial:
		c.Answered++
		c.Partial++
	case outcomeNotRun:
		c.NotRun++
	case outcomeUnknown:
		c.Unknown++
	case outcomeWrong:
		c.Wrong++
	case outcomeLost:
		c.Lost++
	}
}

func (c *aggregate) bucket(r result, answered bool) {
	i := int(r.arrival.Offset / time.Second)
	for len(c.buckets) <= i {
		c.buckets = append(c.buckets, bucket{latency: hdrhistogram.New(1, histogramMax, histogramDigits)})
	}
	b := &c.buckets[i]
	b.sent++
	if answered {
		b.answers++
		_ = b.latency.RecordValue(min(r.latency.Microseconds(), histogramMax))
	}
}

// reconcileRuns compares the outcome of each execution with the number of times that endpoints ran it.
func (t *tally) reconcileRuns() {
	if t.plan.RunCounter == nil {
		return
	}
	for _, r := range t.executions {
		runs := t.plan.RunCounter.Runs(r.key)
		for _, c := range []*aggregate{t.all, t.kinds[r.arrival.Kind]} {
			if runs > 1 {
				c.Doubled++
			}
			if r.outcome == outcomeNotRun && runs > 0 || r.outcome == outcomeComplete && runs == 0 {
				c.Misreported++
			}
		}
		if runs > 1 || r.outcome == outcomeNotRun && runs > 0 || r.outcome == outcomeComplete && runs == 0 {
			t.addEvidence("key %s ran %d times, reported %v", r.key, runs, r.outcome)
		}
	}
}

func (t *tally) report(partsRun uint64) Report {
	t.reconcileRuns()
	r := Report{
		Workload: t.plan.Workload.Name, Seed: t.plan.Seed, Length: t.plan.Length,
		Skipped: t.skipped, PartsNeeded: t.partsNeeded, PartsRun: partsRun,
		All: t.all.summary("all"), Evidence: t.evidence, Codes: t.codes,
	}
	for i, c := range t.kinds {
		r.Kinds = append(r.Kinds, c.summary(t.plan.Workload.Kinds[i].Name))
	}
	for i, b := range t.all.buckets {
		r.Seconds = append(r.Seconds, SecondSummary{Offset: time.Duration(i) * time.Second, Sent: b.sent, Answered: b.answers, Quantiles: quantiles(b.latency)})
	}
	return r
}

func (c *aggregate) summary(name string) Summary {
	s := Summary{Name: name, Counts: c.Counts, Quantiles: quantiles(c.latency), Coverage: 1, OnTime: 1, Urgent: c.urgent}
	if c.queries > 0 {
		s.Coverage = c.coverage / float64(c.queries)
	}
	if c.urgent > 0 {
		s.OnTime = float64(c.onTime) / float64(c.urgent)
	}
	return s
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percentile float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9)}
}
