package kctload

import (
	"context"
	"fmt"
	"io"
	"time"

	kctport "kingcupturn"

	"github.com/rotisserie/eris"
)

// Step is a fault or an operator change during a load.
type Step struct {
	// Offset is the time from the start of the load.
	Offset time.Duration
	Name   string
	Do     func(ctx context.Context, c *Cluster) error
}

// Scenario is a sequence of steps in ascending order of offset.
type Scenario struct {
	Name  string
	Steps []Step
	// SingleService adds the single-service traffic that a move needs; MinLength is the shortest load for the scenario.
	SingleService bool
	MinLength     time.Duration
}

// Run first applies a warm-up load, in which endpoints become warm and entries record latencies, then the measured load with the steps in parallel.
// It returns the report of the measured load and writes progress to log, one line for each step.
func (s Scenario) Run(ctx context.Context, c *Cluster, warmupLength, length time.Duration, log io.Writer) (Report, error) {
	plan := Plan{
		Workload: c.workload, Seed: c.seed + 1, Length: warmupLength, Entries: c.Addresses(),
		Timer: c.timer, Oracle: c, RunCounter: c,
	}
	warmup, err := Run(ctx, plan)
	if err != nil {
		return Report{}, err
	}
	n := warmup.All.Counts
	_, _ = fmt.Fprintf(log, "warm-up: %d sent, %d whole, %d partial, %d not run, %d unknown, refusals by code %v\n",
		n.Sent, n.Complete, n.Partial, n.NotRun, n.Unknown, warmup.Codes)
	if !warmup.Clean() {
		return warmup, eris.Wrapf(kctport.ErrFailed, "warm-up: %+v, %v", n, warmup.Evidence)
	}
	c.warmup = c.endpointCounts()
	plan.Seed, plan.Length = c.seed, length
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stepsDone := make(chan error, 1)
	go func() { stepsDone <- s.runSteps(ctx, c, log) }()
	r, err := Run(ctx, plan)
	if err != nil {
		cancel()
		<-stepsDone
		return r, err
	}
	return r, <-stepsDone
}

// runSteps runs each step at its offset and stops at the first error.
func (s Scenario) runSteps(ctx context.Context, c *Cluster, log io.Writer) error {
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

// movedService returns the first service, whose endpoints the scenarios slow down, stop and move to another version.
func (c *Cluster) movedService() Service { return c.workload.Services[0] }

// takeZoneOut returns a step that takes a zone out of service.
func takeZoneOut(zone kctport.Zone) func(context.Context, *Cluster) error {
	return func(ctx context.Context, c *Cluster) error {
		return c.Change(ctx, kctport.ChangeRequest{Kind: kctport.TakeZoneOut, Zone: kctport.ZoneOut{Zone: zone, Reason: "load scenario"}})
	}
}

// returnZone returns a step that returns a zone to service.
func returnZone(zone kctport.Zone) func(context.Context, *Cluster) error {
	return func(ctx context.Context, c *Cluster) error {
		return c.Change(ctx, kctport.ChangeRequest{Kind: kctport.ReturnZone, Zone: kctport.ZoneOut{Zone: zone, Reason: "load scenario"}})
	}
}
