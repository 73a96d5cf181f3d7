package kctburn

import "time"

// The windows of the burn rates.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

// Sample is the state of the counters of one process at a time.
type Sample struct {
	At time.Time
	// Total counts all requests and Good those that met the objective, since the process started.
	Total float64
	Good  float64
}

// Series holds samples of one process in the order of time.
type Series []Sample

// Counts are requests over a period, summed over processes.
type Counts struct {
	Total float64
	Good  float64
}

// Report is how a service stands against its objective over the samples given.
type Report struct {
	// Objective is the share of requests that must be good, and Measured the share that was.
	Objective float64
	Measured  float64
	Counts    Counts
	// BudgetLeft is the share of the error budget that is left; it is negative when overspent.
	BudgetLeft float64
	// ShortBurnRate and Long are the burn rates over the two windows.
	ShortBurnRate float64
	LongBurnRate  float64
}

// Evaluate reports on an objective share, 0 to 1, from the series of all processes that serve it.
func Evaluate(objective float64, all []Series, now time.Time) Report {
	r := Report{Objective: objective, Counts: Increase(all, time.Time{}, now)}
	r.Measured = r.Counts.share()
	r.BudgetLeft = 1 - rate(objective, r.Counts)
	r.ShortBurnRate = rate(objective, Increase(all, now.Add(-ShortWindow), now))
	r.LongBurnRate = rate(objective, Increase(all, now.Add(-LongWindow), now))
	return r
}

// Increase sums how far the counters rose from the first to the second time.
// Intervals between samples that reach out of that period are left out.
// A process that started after the first time counts from its first sample; a
// counter that fell belongs to a process that restarted and counts from zero.
func Increase(all []Series, from, to time.Time) Counts {
	var sum Counts
	for _, s := range all {
		for i := 1; i < len(s); i++ {
			if s[i-1].At.Before(from) || s[i].At.After(to) {
				continue
			}
			sum = sum.add(step(s[i-1], s[i]))
		}
	}
	return sum
}

func step(a, b Sample) Counts {
	if b.Total < a.Total || b.Good < a.Good {
		return Counts{Total: b.Total, Good: b.Good}
	}
	return Counts{Total: b.Total - a.Total, Good: b.Good - a.Good}
}

func (c Counts) add(o Counts) Counts {
	return Counts{Total: c.Total + o.Total, Good: c.Good + o.Good}
}

// share is 1 without requests: nothing was missed.
func (c Counts) share() float64 {
	if c.Total == 0 {
		return 1
	}
	return c.Good / c.Total
}

// rate is the share of bad requests over the share that the objective allows.
// An objective of 1 allows none, so any bad request gives the count of bad ones.
func rate(objective float64, c Counts) float64 {
	allowed := 1 - objective
	if allowed <= 0 {
		return c.Total - c.Good
	}
	return (1 - c.share()) / allowed
}
