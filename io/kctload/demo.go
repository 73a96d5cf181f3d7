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

// demoLength is the measured load of the demo; with start and end the demo stays under a minute.
const demoLength = 45 * time.Second

// demoWarm is long enough for endpoints to get warm.
const demoWarm = 3 * time.Second

// zoneLimit is how long a zone that is taken out may still get new work, from the guarantees.
const zoneLimit = 5 * time.Second

// newDemo returns the demo command.
func newDemo(stdout, stderr io.Writer, timer kctport.Timer, start Starter) *ffcli.Command {
	set := flag.NewFlagSet("demo", flag.ContinueOnError)
	set.SetOutput(stderr)
	name := set.String("workload", "smokehouses", "smokehouses or patinha")
	seed := set.Uint64("seed", 1, "seed of the load and of the stand-ins")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "demo [--workload smokehouses|patinha] [--seed N]",
		ShortHelp: "run a whole deployment with faults on loopback for under a minute",
		LongHelp:  "Exits with 0 only when every invariant held and endpoints saw nothing doubled.",
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

// Demo runs the workload with a straggler, a zone out and back, and a version
// move; the error names what did not hold.
func Demo(ctx context.Context, w Workload, seed uint64, timer kctport.Timer, start Starter, out io.Writer) error {
	began := timer.Now()
	c, err := StartCluster(ctx, w.withSingle(), seed, timer, start, VariantDefault)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%s: %d entries, %d endpoints ready after %v\n", w.Name, len(c.members), len(c.endpoints(all)), timer.Now().Sub(began).Round(time.Millisecond))
	report, err := c.demo(ctx, out)
	err = errors.Join(err, c.Stop(ctx), report.WriteText(out))
	_, _ = fmt.Fprintf(out, "took %v\n", timer.Now().Sub(began).Round(time.Millisecond))
	return err
}

func (c *Cluster) demo(ctx context.Context, out io.Writer) (Report, error) {
	r, err := demoScenario(c.workload.Zones[1]).Run(ctx, c, demoWarm, demoLength, out)
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
	_, _ = fmt.Fprintf(out, "invariant violations: %.0f; requests above the capacity of a cold endpoint: %d, in the warm-up %d\n", violations, c.measured().ColdExcess, c.before.ColdExcess)
	return r, judgeDemo(r, violations, move)
}

func demoScenario(zone kctport.Zone) Scenario {
	q := &quietZone{zone: zone}
	const out = 6 * time.Second
	return Scenario{Name: "demo", Steps: []Step{
		{time.Second, "one straggler, 10 times slower", straggle(stragglerFactor)},
		{5 * time.Second, "straggler well again", straggle(1)},
		{out, fmt.Sprintf("zone %s out of service", zone), takeOut(zone)},
		{out + zoneLimit, "zone must get no new work from here", q.begin},
		{out + zoneLimit + time.Second, "no new work since", q.end},
		{out + zoneLimit + time.Second, fmt.Sprintf("zone %s back", zone), bringBack(zone)},
		{out + zoneLimit + 2*time.Second, "version move", startMove(noFault, moveLength)},
	}}
}

func judgeDemo(r Report, violations float64, move kctport.Move) error {
	if !r.Clean() || violations > 0 {
		return eris.Wrapf(kctport.ErrFailed, "wrong %d, lost %d, doubled %d, false %d, invariant violations %.0f",
			r.All.Wrong, r.All.Lost, r.All.Doubled, r.All.Misreported, violations)
	}
	if move.State == kctport.MoveReverted {
		return eris.Wrapf(kctport.ErrFailed, "the move of a good version was reverted: %s", move.Evidence)
	}
	return nil
}

// violations reads the counted violations of all live entries.
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
