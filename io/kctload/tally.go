package kctload

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax and histogramDigits give latencies up to a minute with three digits.
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
	// evidenceLimit bounds the pieces of evidence in a report.
	evidenceLimit = 20
)

// tally adds up results; one goroutine owns it.
type tally struct {
	plan    Plan
	skipped int
	all     *count
	kinds   []*count
	keys    []result
	needed  uint64
	// evidence of wrong and lost requests, the first few.
	evidence []string
	codes    map[string]int
}

// count adds up the results of one kind or of all.
type count struct {
	Counts
	latency  *hdrhistogram.Histogram
	coverage float64
	queries  int
	urgent   int
	ontime   int
	buckets  []bucket
}

// bucket counts answers over one second of intended arrival time, for the plot.
type bucket struct {
	latency  *hdrhistogram.Histogram
	sent, ok int
}

func newCount() *count {
	return &count{latency: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func newTally(p Plan) *tally {
	t := &tally{plan: p, all: newCount(), codes: map[string]int{}}
	for range p.Workload.Kinds {
		t.kinds = append(t.kinds, newCount())
	}
	return t
}

func (t *tally) add(r result) {
	k := t.plan.Workload.Kinds[r.arrival.Kind]
	t.all.add(r, k)
	t.kinds[r.arrival.Kind].add(r, k)
	t.needed += uint64(r.coverage.Total)
	if r.code != "" {
		t.codes[r.code]++
	}
	if r.key != "" {
		t.keys = append(t.keys, r)
	}
	if k.Execute && r.verdict == verdictWhole {
		t.needed++
	}
	if r.verdict == verdictWrong || r.verdict == verdictLost {
		t.note("%s %q at %v: %s", k.Name, r.arrival.Text, r.arrival.Offset, r.evidence)
	}
}

func (t *tally) note(format string, args ...any) {
	if len(t.evidence) < evidenceLimit {
		t.evidence = append(t.evidence, fmt.Sprintf(format, args...))
	}
}

func (c *count) add(r result, k Kind) {
	c.Sent++
	c.Broken += r.broken
	c.FailedDials += r.redials
	c.classify(r.verdict)
	answered := r.verdict == verdictWhole || r.verdict == verdictPartial
	if answered {
		// A value above the histogram's range is recorded at its end.
		_ = c.latency.RecordValue(min(r.latency.Microseconds(), histogramMax))
	}
	if answered && !k.Execute {
		c.queries++
		c.coverage += float64(r.coverage.Answered) / float64(max(1, r.coverage.Total))
	}
	if r.arrival.Urgent && !k.Execute {
		c.urgent++
		if r.verdict == verdictWhole && r.latency <= k.Deadline {
			c.ontime++
		}
	}
	c.bucket(r, answered)
}

func (c *count) classify(v verdict) {
	switch v {
	case verdictWhole:
		c.Answered++
		c.Complete++
	case verdictPartial:
		c.Answered++
		c.Partial++
	case verdictNotRun:
		c.NotRun++
	case verdictUnknown:
		c.Unknown++
	case verdictWrong:
		c.Wrong++
	case verdictLost:
		c.Lost++
	}
}

func (c *count) bucket(r result, answered bool) {
	i := int(r.arrival.Offset / time.Second)
	for len(c.buckets) <= i {
		c.buckets = append(c.buckets, bucket{latency: hdrhistogram.New(1, histogramMax, histogramDigits)})
	}
	b := &c.buckets[i]
	b.sent++
	if answered {
		b.ok++
		_ = b.latency.RecordValue(min(r.latency.Microseconds(), histogramMax))
	}
}

// settle compares the outcomes of executions with what endpoints ran.
func (t *tally) settle() {
	if t.plan.RunCounter == nil {
		return
	}
	for _, r := range t.keys {
		runs := t.plan.RunCounter.Runs(r.key)
		for _, c := range []*count{t.all, t.kinds[r.arrival.Kind]} {
			if runs > 1 {
				c.Doubled++
			}
			if r.verdict == verdictNotRun && runs > 0 || r.verdict == verdictWhole && runs == 0 {
				c.Misreported++
			}
		}
		if runs > 1 || r.verdict == verdictNotRun && runs > 0 || r.verdict == verdictWhole && runs == 0 {
			t.note("key %s ran %d times, reported %v", r.key, runs, r.verdict)
		}
	}
}

func (t *tally) report(ran uint64) Report {
	t.settle()
	r := Report{
		Workload: t.plan.Workload.Name, Seed: t.plan.Seed, Length: t.plan.Length,
		Skipped: t.skipped, PartsNeeded: t.needed, PartsRun: ran,
		All: t.all.summary("all"), Evidence: t.evidence, Codes: t.codes,
	}
	for i, c := range t.kinds {
		r.Kinds = append(r.Kinds, c.summary(t.plan.Workload.Kinds[i].Name))
	}
	for i, b := range t.all.buckets {
		r.Seconds = append(r.Seconds, SecondSummary{Offset: time.Duration(i) * time.Second, Sent: b.sent, Answered: b.ok, Quantiles: quantiles(b.latency)})
	}
	return r
}

func (c *count) summary(name string) Summary {
	s := Summary{Name: name, Counts: c.Counts, Quantiles: quantiles(c.latency), Coverage: 1, OnTime: 1, Urgent: c.urgent}
	if c.queries > 0 {
		s.Coverage = c.coverage / float64(c.queries)
	}
	if c.urgent > 0 {
		s.OnTime = float64(c.ontime) / float64(c.urgent)
	}
	return s
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percentile float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9)}
}
