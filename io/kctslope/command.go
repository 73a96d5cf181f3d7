package kctslope

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/netip"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kcttimer"
)

// Number of stand-in endpoints in a short and in a full run.
const (
	shortEndpoints = 50
	fullEndpoints  = 288
)

type options struct {
	short    bool
	parts    string
	seed     uint64
	dir      string
	platform string
	workload bool
	// from is the slopes.json of an earlier run.
	from string
}

// New returns the slopes command.
func New(stdout, stderr io.Writer) *ffcli.Command {
	var o options
	set := flag.NewFlagSet("slopes", flag.ContinueOnError)
	set.SetOutput(stderr)
	set.BoolVar(&o.short, "short", false, "measure small sizes for a short time")
	set.StringVar(&o.parts, "parts", partNames(), "parts to run, separated by commas")
	set.Uint64Var(&o.seed, "seed", 1, "seed of the stand-ins and simulations")
	set.StringVar(&o.dir, "dir", "", "directory for slopes.json and an SVG file for each series")
	set.StringVar(&o.platform, "platform", "", "`ip:port` of a platform stand-in whose endpoints to use; starts its own in this process when empty")
	set.StringVar(&o.from, "from", "", "slopes.json of an earlier run; computes the target from it without measuring")
	set.BoolVar(&o.workload, "workload", false, "print the workload for kctstandin endpoints and exit")
	return &ffcli.Command{
		Name: "slopes", ShortUsage: "kingcupturn slopes [flags]",
		ShortHelp: "measure how the cost of an entry grows with the size of the deployment",
		FlagSet:   set,
		Exec: func(ctx context.Context, _ []string) error {
			return o.run(ctx, stdout, stderr)
		},
	}
}

func partNames() string {
	all := make([]string, len(parts))
	for i, p := range parts {
		all[i] = p.name
	}
	return strings.Join(all, ",")
}

func (o options) run(ctx context.Context, stdout, stderr io.Writer) error {
	if o.workload {
		return eris.Wrap(json.NewEncoder(stdout).Encode(Workload(fullEndpoints, o.seed)), "write workload")
	}
	if o.from != "" {
		all, err := readSeries(o.from)
		return errors.Join(err, writeNeeds(stdout, needs(all)))
	}
	selected, err := selectParts(o.parts)
	if err != nil {
		return err
	}
	m := &measurement{timer: kcttimer.New(), short: o.short, seed: o.seed, out: stderr}
	if m.endpointSet, err = o.endpointSet(ctx); err != nil {
		return err
	}
	defer m.endpointSet.stop()
	var all []Series
	var failed error
	for _, p := range selected {
		s, err := p.run(m, ctx)
		all = append(all, s...)
		failed = errors.Join(failed, eris.Wrapf(err, "part %s", p.name))
	}
	failed = errors.Join(failed, WriteText(stdout, all), writeNeeds(stdout, needs(all)))
	if o.dir != "" {
		failed = errors.Join(failed, writeFiles(o.dir, all))
	}
	return failed
}

func (o options) endpointSet(ctx context.Context) (endpointSet, error) {
	count := fullEndpoints
	if o.short {
		count = shortEndpoints
	}
	if o.platform == "" {
		return startEndpoints(ctx, count, o.seed)
	}
	address, err := netip.ParseAddrPort(o.platform)
	if err != nil {
		return endpointSet{}, eris.Wrapf(kctport.ErrInvalid, "platform is %q; allowed is ip:port", o.platform)
	}
	return findEndpoints(ctx, address, count)
}

// selectParts returns the parts in a comma-separated list, in the order of parts; an unknown name is an error.
func selectParts(list string) ([]part, error) {
	wanted := strings.Split(list, ",")
	for _, w := range wanted {
		if !slices.ContainsFunc(parts, func(p part) bool { return p.name == w }) {
			return nil, eris.Wrapf(kctport.ErrInvalid, "part is %q; allowed are %s", w, partNames())
		}
	}
	return slices.DeleteFunc(slices.Clone(parts), func(p part) bool { return !slices.Contains(wanted, p.name) }), nil
}
