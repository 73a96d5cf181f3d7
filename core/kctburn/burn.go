package kctburn

import "time"

// Windows over which burn rates are computed.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

// Sample holds the counters of one process at one time.
type Sample struct {
	At time.Time
	// Total is the number of requests since the process started, and Good the number of those that met the objective.
	Total float64
	Good  float64
}

// Series holds the samples of one process, oldest first.
type Series []Sample

// Counts holds the numbers of all and of good requests over a period, summed over processes.
type Counts struct {
	Total float64
	Good  float64
}

// Report compares a service with its objective over a set of samples.
type Report struct {
	// Objective is the required share of good requests, 0 to 1, and Measured the actual one.
	Objective float64
	Measured  float64
	Counts    Counts
	// BudgetLeft is the remaining share of the error budget; it is negative when the budget is overspent.
	BudgetLeft float64
	// ShortBurnRate and LongBurnRate are the burn rates over ShortWindow and LongWindow.
	ShortBurnRate float64
	LongBurnRate  float64
}

// Evaluate compares the samples of all processes of a service with an objective, which is a share from 0 to 1.
func Evaluate(objective float64, all []Series, now time.Time) Report {
	r := Report{Objective: objective, Counts: Increase(all, time.Time{}, now)}
	r.Measured = r.Counts.goodShare()
	r.BudgetLeft = 1 - burnRate(objective, r.Counts)
	r.ShortBurnRate = burnRate(objective, Increase(all, now.Add(-ShortWindow), now))
	r.LongBurnRate = burnRate(objective, Increase(all, now.Add(-LongWindow), now))
	return r
}

// Increase returns the increase of the counters between two times, summed over processes.
// Intervals between samples that are not entirely between these times are left out.
// A process that started after from is counted from its first sample. A counter
// that decreased belongs to a process that restarted and is counted from zero.
func Increase(all []Series, from, to time.Time) Counts {
	var sum Counts
	for _, s := range all {
		for i := 1; i < len(s); i++ {
			if s[i-1].At.Before(from) || s[i].At.After(to) {
				continue
			}
			sum = sum.add(difference(s[i-1], s[i]))
		}
	}
	return sum
}

// difference returns the increase from one sample of a process to the next.
func difference(a, b Sample) Counts {
	if b.Total < a.Total || b.Good < a.Good {
		return Counts{Total: b.Total, Good: b.Good}
	}
	return Counts{Total: b.Total - a.Total, Good: b.Good - a.Good}
}

func (c Counts) add(o Counts) Counts {
	return Counts{Total: c.Total + o.Total, Good: c.Good + o.Good}
}

// goodShare returns the share of good requests, or 1 without requests, since none missed the objective.
func (c Counts) goodShare() float64 {
	if c.Total == 0 {
		return 1
	}
	return c.Good / c.Total
}

// burnRate returns the share of bad requests divided by the share that the objective allows.
// An objective of 1 allows none; the result is then the number of bad requests.
func burnRate(objective float64, c Counts) float64 {
	allowed := 1 - objective
	if allowed <= 0 {
		return c.Total - c.Good
	}
	return (1 - c.goodShare()) / allowed
}
