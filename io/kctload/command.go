package kctload

import (
	"context"
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctreport"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// defaultWarmup is long enough for each of 9 entries to send about 20 requests to each service, from whose latencies it computes the hedge delay.
const defaultWarmup = 10 * time.Second

// defaultLength is the length of the measured load of one row.
const defaultLength = 15 * time.Second

type experimentFlags struct {
	workload  string
	seed      uint64
	warm      time.Duration
	length    time.Duration
	scenarios string
	variants  string
	rate      float64
	entries   int
	dir       string
}

// newExperiment returns the experiment command.
func newExperiment(stdout, stderr io.Writer, timer kctport.Timer, start Starter) *ffcli.Command {
	var f experimentFlags
	set := flag.NewFlagSet("experiment", flag.ContinueOnError)
	set.SetOutput(stderr)
	set.StringVar(&f.workload, "workload", "smokehouses", "smokehouses or patinha")
	set.Uint64Var(&f.seed, "seed", 1, "seed of the load and of the stand-ins")
	set.DurationVar(&f.warm, "warm", defaultWarmup, "length of the load before the measured one")
	set.DurationVar(&f.length, "length", defaultLength, "length of the load of one row")
	set.StringVar(&f.scenarios, "scenario", "", "scenarios separated by commas; all when empty")
	set.StringVar(&f.variants, "decisions", string(VariantBaseline)+","+string(VariantDefault), "decisions to compare, separated by commas: kept, baseline, direct")
	set.Float64Var(&f.rate, "rate", 1, "factor on the request rates of the workload")
	set.IntVar(&f.entries, "entries", 0, "number of entries; that of the workload when 0")
	set.StringVar(&f.dir, "dir", "", "directory for a JSON, a CSV and an SVG file of each row")
	return &ffcli.Command{
		Name: "experiment", ShortUsage: "experiment [flags]",
		ShortHelp: "compare the decisions of the tier with a plain baseline, scenario by scenario",
		LongHelp:  "Scenarios: calm, straggler, lost, zone, store, killed, good, bad. Prints a markdown table.",
		FlagSet:   set,
		Exec: func(ctx context.Context, _ []string) error {
			e, err := f.experiment()
			if err != nil {
				return err
			}
			e.Timer, e.Start, e.Log = timer, start, stderr
			rows := e.Run(ctx)
			if err := f.writeFiles(rows); err != nil {
				return err
			}
			return WriteTable(stdout, rows, f.command)
		},
	}
}

func (f experimentFlags) experiment() (Experiment, error) {
	w, err := Builtin(f.workload)
	if err != nil {
		return Experiment{}, err
	}
	w = w.Scaled(1, f.rate)
	if f.entries > 0 {
		w.Entries = f.entries
	}
	e := Experiment{Workload: w, Seed: f.seed, Warm: f.warm, Length: f.length}
	wanted := strings.FieldsFunc(f.scenarios, func(r rune) bool { return r == ',' })
	for _, s := range Scenarios(w, f.length) {
		if len(wanted) == 0 || slices.Contains(wanted, s.Name) {
			e.Scenarios = append(e.Scenarios, s)
		}
	}
	if len(e.Scenarios) < max(1, len(wanted)) {
		return e, eris.Wrapf(kctport.ErrInvalid, "scenario is %q; allowed are calm, straggler, lost, zone, store, killed, good, bad", f.scenarios)
	}
	for v := range strings.SplitSeq(f.variants, ",") {
		if !slices.Contains([]Variant{VariantDefault, VariantBaseline, VariantDirect}, Variant(v)) {
			return e, eris.Wrapf(kctport.ErrInvalid, "decisions are %q; allowed are kept, baseline and direct", v)
		}
		e.Variants = append(e.Variants, Variant(v))
	}
	return e, nil
}

// command returns the command line that reproduces a row.
func (f experimentFlags) command(r Row) string {
	return fmt.Sprintf("kingcupturn experiment --workload %s --seed %d --warm %v --length %v --rate %g --entries %d --scenario %s --decisions %s",
		f.workload, f.seed, f.warm, f.length, f.rate, f.entries, r.Scenario, r.Variant)
}

// writeFiles writes a JSON, a CSV and an SVG file for each row.
func (f experimentFlags) writeFiles(rows []Row) error {
	if f.dir == "" {
		return nil
	}
	for _, r := range rows {
		for suffix, write := range map[string]func(io.Writer) error{
			"json": r.Report.WriteJSON, "csv": r.Report.WriteCSV, "svg": r.Report.WritePlot,
		} {
			name := fmt.Sprintf("%s-%d-%s-%s.%s", f.workload, f.seed, r.Scenario, r.Variant, suffix)
			if err := kctreport.WriteFile(filepath.Join(f.dir, name), write); err != nil {
				return err
			}
		}
	}
	return nil
}
