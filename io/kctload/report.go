package kctload

import "time"

// Report is the result of one run of a load.
type Report struct {
	Workload string
	Seed     uint64
	Length   time.Duration
	// Skipped counts arrivals that were not sent because too many requests were under way.
	Skipped int
	// PartsRun are the parts that endpoints ran, PartsNeeded those that the answers needed.
	PartsRun    uint64
	PartsNeeded uint64
	All         Summary
	Kinds       []Summary
	Seconds     []SecondSummary
	// Codes counts refusals by their error code.
	Codes map[string]int
	// Evidence shows the first requests that were wrong, lost, doubled or falsely reported.
	Evidence []string
}

// Summary is the result of one kind of request.
type Summary struct {
	Name string
	Counts
	Quantiles Quantiles
	// Coverage is the mean share of parts answered, Ontime the share of urgent requests answered whole within their deadline.
	Coverage float64
	OnTime   float64
	Urgent   int
}

// Counts are numbers of requests by what became of them.
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
	// Misreported counts executions reported not run that ran, or answered that never ran.
	Misreported int
	// Broken counts connections that ended without an answer, Redials those that could not be made.
	Broken      int
	FailedDials int
}

// Quantiles are latencies of answers, counted from the intended arrival.
type Quantiles struct {
	P50  time.Duration
	P90  time.Duration
	P99  time.Duration
	P999 time.Duration
}

// SecondSummary is one second of the run by intended arrival.
type SecondSummary struct {
	Offset    time.Duration
	Sent      int
	Answered  int
	Quantiles Quantiles
}

// ExtraLoad is the extra load on endpoints: parts run over parts needed, minus 1; it is 0 when nothing was needed.
func (r Report) ExtraLoad() float64 {
	if r.PartsNeeded == 0 {
		return 0
	}
	return float64(r.PartsRun)/float64(r.PartsNeeded) - 1
}

// Clean reports whether nothing was wrong, lost, doubled or falsely reported.
func (r Report) Clean() bool {
	c := r.All.Counts
	return c.Wrong == 0 && c.Lost == 0 && c.Doubled == 0 && c.Misreported == 0
}
