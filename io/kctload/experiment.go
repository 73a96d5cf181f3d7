package kctload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// Experiment compares the kept decisions with the plain baseline, scenario by scenario.
type Experiment struct {
	Workload  Workload
	Seed      uint64
	Warm      time.Duration
	Length    time.Duration
	Scenarios []Scenario
	Variants  []Variant
	Timer     kctport.Timer
	Start     Starter
	// Log gets the progress line by line.
	Log io.Writer
}

// Row is the result of one scenario with one variant.
type Row struct {
	Scenario string
	Variant  Variant
	Report   Report
	// Violations are those of invariants in the entries.
	Violations     float64
	EndpointCounts EndpointCounts
	// MovedShare is the share of the moved service's parts that its next version ran, and Move how the move ended.
	MovedShare float64
	Move       kctport.Move
	Err        error
}

// Scenarios returns all scenarios for a load of the given length; faults begin after a fifth of it.
func Scenarios(w Workload, length time.Duration) []Scenario {
	begin, end := length/5, length*4/5
	zone := w.Zones[1]
	failing := kctwire.BadVersion{FailureShare: 0.5}
	move := func(name string, bad kctwire.BadVersion) Scenario {
		return Scenario{Name: name, SingleService: true, MinLength: moveLength + 5*time.Second, Steps: []Step{
			{time.Second, "move starts", startMove(bad, moveLength)},
		}}
	}
	return []Scenario{
		{Name: "calm"},
		{Name: "straggler", Steps: []Step{{0, "one straggler", straggle(stragglerFactor)}}},
		{Name: "lost", Steps: []Step{{begin, "one server stops", lose}}},
		{Name: "zone", Steps: []Step{{begin, "zone out", takeOut(zone)}, {end, "zone back", bringBack(zone)}}},
		{Name: "store", Steps: []Step{{begin, "store out", outage(true)}, {end, "store back", outage(false)}}},
		{Name: "killed", Steps: []Step{{begin, "one entry killed", kill}}},
		move("good", noFault),
		move("bad", failing),
	}
}

// Run runs every scenario with every variant, each on a new cluster, one after the other.
// A scenario that fails leaves its error in its row.
func (e Experiment) Run(ctx context.Context) []Row {
	var rows []Row
	for _, s := range e.Scenarios {
		for _, v := range e.Variants {
			if ctx.Err() != nil {
				return rows
			}
			_, _ = fmt.Fprintf(e.Log, "%s, %s\n", s.Name, v)
			rows = append(rows, e.row(ctx, s, v))
		}
	}
	return rows
}

func (e Experiment) row(ctx context.Context, s Scenario, v Variant) Row {
	row := Row{Scenario: s.Name, Variant: v}
	w := e.Workload
	if s.SingleService {
		w = w.withSingle()
	}
	c, err := StartCluster(ctx, w, e.Seed, e.Timer, e.Start, v)
	if err != nil {
		row.Err = err
		return row
	}
	row.measure(ctx, c, func() (Report, error) { return s.Run(ctx, c, e.Warm, max(e.Length, s.MinLength), e.Log) })
	row.Err = errors.Join(row.Err, c.Stop(ctx))
	return row
}

// measure runs the load and reads what the cluster counted.
func (row *Row) measure(ctx context.Context, c *Cluster, run func() (Report, error)) {
	if row.Report, row.Err = run(); row.Err != nil {
		return
	}
	row.EndpointCounts = c.measured()
	if row.Violations, row.Err = c.violations(ctx); row.Err != nil {
		return
	}
	if next := c.next(); len(next) > 0 {
		service := c.endpoints(func(r kctwire.Registration) bool { return r.Service == c.moved().Name })
		row.MovedShare = float64(ran(next)) / float64(max(1, ran(service)))
		row.Move, row.Err = c.Move(ctx)
	}
}
