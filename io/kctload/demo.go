package kctload

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctreport"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// demoLength is the length of the measured load; the demo takes less than a minute with start and stop.
const demoLength = 45 * time.Second

// demoWarmup is the length of the warm-up load, long enough for endpoints to become warm.
const demoWarmup = 3 * time.Second

// zoneOutGrace is the time for which a zone that is taken out may still get new work, as documented for operators.
const zoneOutGrace = 5 * time.Second

// newDemo returns the demo command.
func newDemo(stdout, stderr io.Writer, timer kctport.Timer, start Starter) *ffcli.Command {
	set := flag.NewFlagSet("demo", flag.ContinueOnError)
	set.SetOutput(stderr)
	name := set.String("workload", "smokehouses", "smokehouses or patinha")
	seed := set.Uint64("seed", 1, "seed of the load and of the stand-ins")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "demo [--workload smokehouses|patinha] [--seed N]",
		ShortHelp: "run a complete deployment with faults on loopback for under a minute",
		LongHelp:  "Exits with 0 only if no invariant was violated, no request was wrong, lost, doubled or misreported, and the version was not reverted.",
		FlagSet:   set,
		Exec: func(ctx context.Context, _ []string) error {
			w, err := Builtin(*name)
			if err != nil {
				return err
			}
			return Demo(ctx, w, *seed, timer, start, stdout)
		},
	}
}

// Demo runs the workload with a straggler, a zone taken out and returned, and a
// version move. The error wraps kctport.ErrFailed and names the failed check.
func Demo(ctx context.Context, w Workload, seed uint64, timer kctport.Timer, start Starter, out io.Writer) error {
	began := timer.Now()
	c, err := StartCluster(ctx, w.withSingleService(), seed, timer, start, VariantDefault)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%s: %d entries, %d endpoints ready after %v\n", w.Name, len(c.entries), len(c.endpoints(anyEndpoint)), timer.Now().Sub(began).Round(time.Millisecond))
	report, err := c.demo(ctx, out)
	err = errors.Join(err, c.Stop(ctx), report.WriteText(out))
	_, _ = fmt.Fprintf(out, "took %v\n", timer.Now().Sub(began).Round(time.Millisecond))
	return err
}

func (c *Cluster) demo(ctx context.Context, out io.Writer) (Report, error) {
	r, err := demoScenario(c.workload.Zones[1]).Run(ctx, c, demoWarmup, demoLength, out)
	if err != nil {
		return r, err
	}
	violations, err := c.violations(ctx)
	if err != nil {
		return r, err
	}
	move, err := c.Move(ctx)
	if err != nil {
		return r, err
	}
	_, _ = fmt.Fprintf(out, "move of %s to %s: %s at share %.2f, %s\n", move.Service, move.To, move.State, move.Share, move.Evidence)
	_, _ = fmt.Fprintf(out, "invariant violations: %.0f; requests above the capacity of a cold endpoint: %d, in the warm-up %d\n", violations, c.measuredCounts().ColdExcess, c.warmup.ColdExcess)
	return r, checkDemo(r, violations, move)
}

func demoScenario(zone kctport.Zone) Scenario {
	check := &idleZoneCheck{zone: zone}
	const zoneOutAt = 6 * time.Second
	return Scenario{Name: "demo", Steps: []Step{
		{time.Second, "one straggler, 10 times slower", setStraggler(stragglerFactor)},
		{5 * time.Second, "straggler back to normal speed", setStraggler(1)},
		{zoneOutAt, fmt.Sprintf("zone %s out of service", zone), takeZoneOut(zone)},
		{zoneOutAt + zoneOutGrace, "zone must get no new work from here", check.recordParts},
		{zoneOutAt + zoneOutGrace + time.Second, "no new work since", check.requireNoNewParts},
		{zoneOutAt + zoneOutGrace + time.Second, fmt.Sprintf("zone %s back", zone), returnZone(zone)},
		{zoneOutAt + zoneOutGrace + 2*time.Second, "version move", startMove(noFault, moveLength)},
	}}
}

func checkDemo(r Report, violations float64, move kctport.Move) error {
	if !r.Clean() || violations > 0 {
		return eris.Wrapf(kctport.ErrFailed, "wrong %d, lost %d, doubled %d, false %d, invariant violations %.0f",
			r.All.Wrong, r.All.Lost, r.All.Doubled, r.All.Misreported, violations)
	}
	if move.State == kctport.MoveReverted {
		return eris.Wrapf(kctport.ErrFailed, "the move of a good version was reverted: %s", move.Evidence)
	}
	return nil
}

// violations returns the number of invariant violations that the running entries counted.
func (c *Cluster) violations(ctx context.Context) (float64, error) {
	samples, config, err := kctreport.Read(ctx, c.Addresses(), c.timer.Now())
	if err != nil {
		return 0, err
	}
	return kctreport.Build(samples, config).Violations, nil
}

var _ interface {
	Oracle
	RunCounter
} = (*Cluster)(nil)
