package kctload

import (
	"context"
	"fmt"
	"io"
	"time"

	kctport "kingcupturn"

	"github.com/rotisserie/eris"
)

// Step is one event during a load.
type Step struct {
	// Offset is the time since the start of the load.
	Offset time.Duration
	Name   string
	Do     func(ctx context.Context, c *Cluster) error
}

// Scenario is a sequence of events in the order of time.
type Scenario struct {
	Name  string
	Steps []Step
	// SingleService asks for the traffic on one service that a move needs, Least for a load of at least that length.
	SingleService bool
	MinLength     time.Duration
}

// Run warms the cluster up with a load, in which endpoints get warm and entries learn latencies, then runs the load with the scenario beside it and
// returns the report; progress goes to the log line by line.
func (s Scenario) Run(ctx context.Context, c *Cluster, warm, length time.Duration, log io.Writer) (Report, error) {
	plan := Plan{
		Workload: c.workload, Seed: c.seed + 1, Length: warm, Entries: c.Addresses(),
		Timer: c.timer, Oracle: c, RunCounter: c,
	}
	before, err := Run(ctx, plan)
	if err != nil {
		return Report{}, err
	}
	n := before.All.Counts
	_, _ = fmt.Fprintf(log, "warm-up: %d sent, %d whole, %d partial, %d not run, %d unknown, refusals by code %v\n",
		n.Sent, n.Complete, n.Partial, n.NotRun, n.Unknown, before.Codes)
	if !before.Clean() {
		return before, eris.Wrapf(kctport.ErrFailed, "warm-up: %+v, %v", n, before.Evidence)
	}
	c.before = c.strain()
	plan.Seed, plan.Length = c.seed, length
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stepped := make(chan error, 1)
	go func() { stepped <- s.play(ctx, c, log) }()
	r, err := Run(ctx, plan)
	if err != nil {
		cancel()
		<-stepped
		return r, err
	}
	return r, <-stepped
}

// play does the steps at their times; the first error ends it.
func (s Scenario) play(ctx context.Context, c *Cluster, log io.Writer) error {
	start := c.timer.Now()
	for _, step := range s.Steps {
		if err := c.waitUntil(ctx, start.Add(step.Offset)); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(log, "%6.1fs %s\n", c.timer.Now().Sub(start).Seconds(), step.Name)
		if err := step.Do(ctx, c); err != nil {
			return eris.Wrapf(err, "%s: %s", s.Name, step.Name)
		}
	}
	return nil
}

func (c *Cluster) waitUntil(ctx context.Context, at time.Time) error {
	delay := at.Sub(c.timer.Now())
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-c.timer.After(ctx, delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// moved is the service that scenarios move, slow and stop.
func (c *Cluster) moved() Service { return c.workload.Services[0] }

// takeOut and bringBack change the service state of a zone.
func takeOut(zone kctport.Zone) func(context.Context, *Cluster) error {
	return func(ctx context.Context, c *Cluster) error {
		return c.Change(ctx, kctport.ChangeRequest{Kind: kctport.TakeZoneOut, Zone: kctport.ZoneOut{Zone: zone, Reason: "load scenario"}})
	}
}

func bringBack(zone kctport.Zone) func(context.Context, *Cluster) error {
	return func(ctx context.Context, c *Cluster) error {
		return c.Change(ctx, kctport.ChangeRequest{Kind: kctport.ReturnZone, Zone: kctport.ZoneOut{Zone: zone, Reason: "load scenario"}})
	}
}
