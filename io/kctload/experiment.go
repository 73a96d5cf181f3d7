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

// Experiment compares variants over a set of scenarios.
type Experiment struct {
	Workload  Workload
	Seed      uint64
	Warm      time.Duration
	Length    time.Duration
	Scenarios []Scenario
	Variants  []Variant
	Timer     kctport.Timer
	Start     Starter
	// Log receives a progress line for each row and each step.
	Log io.Writer
}

// Row is the result of one scenario with one variant.
type Row struct {
	Scenario string
	Variant  Variant
	Report   Report
	// Violations is the number of invariant violations that the entries counted.
	Violations     float64
	EndpointCounts EndpointCounts
	// MovedShare is the share of the moved service's parts that its next version ran, Move the move after the load.
	MovedShare float64
	Move       kctport.Move
	Err        error
}

// Scenarios returns all scenarios for a load of the given length; outages and stops begin after a fifth of it.
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
		{Name: "straggler", Steps: []Step{{0, "one straggler", setStraggler(stragglerFactor)}}},
		{Name: "lost", Steps: []Step{{begin, "one endpoint stops", removeEndpoint}}},
		{Name: "zone", Steps: []Step{{begin, "zone out", takeZoneOut(zone)}, {end, "zone back", returnZone(zone)}}},
		{Name: "store", Steps: []Step{{begin, "store out", setStoreOutage(true)}, {end, "store back", setStoreOutage(false)}}},
		{Name: "killed", Steps: []Step{{begin, "one entry killed", killEntry}}},
		move("good", noFault),
		move("bad", failing),
	}
}

// Run runs each scenario with each variant in sequence, each on a new cluster.
// The row of a failed scenario holds its error.
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
		w = w.withSingleService()
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

// measure runs the load and stores its report and the counts of the cluster in the row.
func (row *Row) measure(ctx context.Context, c *Cluster, run func() (Report, error)) {
	if row.Report, row.Err = run(); row.Err != nil {
		return
	}
	row.EndpointCounts = c.measuredCounts()
	if row.Violations, row.Err = c.violations(ctx); row.Err != nil {
		return
	}
	if nextVersionEndpoints := c.nextVersionEndpoints(); len(nextVersionEndpoints) > 0 {
		service := c.endpoints(func(r kctwire.Registration) bool { return r.Service == c.movedService().Name })
		row.MovedShare = float64(sumPartsRun(nextVersionEndpoints)) / float64(max(1, sumPartsRun(service)))
		row.Move, row.Err = c.Move(ctx)
	}
}
