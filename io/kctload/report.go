package kctload

import "time"

// Report is the result of one load.
type Report struct {
	Workload string
	Seed     uint64
	Length   time.Duration
	// Skipped counts arrivals that were not sent because Plan.MaxInflight requests were in flight.
	Skipped int
	// PartsRun counts the parts that endpoints ran, PartsNeeded those that the answers required.
	PartsRun    uint64
	PartsNeeded uint64
	All         Summary
	Kinds       []Summary
	Seconds     []SecondSummary
	// Codes counts refusals by their error code.
	Codes map[string]int
	// Evidence describes the first requests that were wrong, lost, doubled or misreported.
	Evidence []string
}

// Summary is the result of one kind of request, or of all.
type Summary struct {
	Name string
	Counts
	Quantiles Quantiles
	// Coverage is the mean share of parts answered, OnTime the share of urgent requests with a complete answer within their deadline; both are 0 to 1.
	Coverage float64
	OnTime   float64
	Urgent   int
}

// Counts holds the number of requests by outcome; Answered is the sum of Complete and Partial.
type Counts struct {
	Sent     int
	Answered int
	Complete int
	Partial  int
	NotRun   int
	Unknown  int
	Wrong    int
	Lost     int
	Doubled  int
	// Misreported counts executions that were reported as not run but ran, or were answered but never ran.
	Misreported int
	// Broken counts connections that ended without an answer, FailedDials those that could not be made.
	Broken      int
	FailedDials int
}

// Quantiles are latencies of answers, measured from the intended arrival.
type Quantiles struct {
	P50  time.Duration
	P90  time.Duration
	P99  time.Duration
	P999 time.Duration
}

// SecondSummary is the result of the requests whose intended arrival is within one second of the load.
type SecondSummary struct {
	Offset    time.Duration
	Sent      int
	Answered  int
	Quantiles Quantiles
}

// ExtraLoad returns the ratio of parts run to parts needed, minus 1; it is 0 if no part was needed.
func (r Report) ExtraLoad() float64 {
	if r.PartsNeeded == 0 {
		return 0
	}
	return float64(r.PartsRun)/float64(r.PartsNeeded) - 1
}

// Clean reports whether no request was wrong, lost, doubled or misreported.
func (r Report) Clean() bool {
	c := r.All.Counts
	return c.Wrong == 0 && c.Lost == 0 && c.Doubled == 0 && c.Misreported == 0
}
