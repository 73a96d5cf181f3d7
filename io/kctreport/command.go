package kctreport

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	kctport "kingcupturn"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// command holds the flags of the burn report command.
type command struct {
	stdout   io.Writer
	entries  addresses
	interval time.Duration
	count    int
	load     string
	save     string
	plot     string
	json     bool
}

// addresses is a repeatable flag of comma-separated addresses.
type addresses []netip.AddrPort

// String implements flag.Value.
func (a *addresses) String() string {
	var out []string
	for _, e := range *a {
		out = append(out, e.String())
	}
	return strings.Join(out, ",")
}

// Set implements flag.Value.
func (a *addresses) Set(text string) error {
	for field := range strings.SplitSeq(text, ",") {
		e, err := netip.ParseAddrPort(field)
		if err != nil {
			return eris.Wrapf(kctport.ErrInvalid, "entry is %q; allowed is ip:port", field)
		}
		*a = append(*a, e)
	}
	return nil
}

// New returns the burn command, which prints the burn report to stdout.
func New(stdout, stderr io.Writer) *ffcli.Command {
	c := &command{stdout: stdout}
	set := flag.NewFlagSet("burn", flag.ContinueOnError)
	set.SetOutput(stderr)
	set.Var(&c.entries, "entry", "caller address of an entry, ip:port; may be repeated or separated by commas")
	set.IntVar(&c.count, "count", 1, "how many times to read the metrics")
	set.DurationVar(&c.interval, "interval", 10*time.Second, "time between two reads")
	set.StringVar(&c.load, "samples", "", "file with saved samples, reported instead of or before reading entries")
	set.StringVar(&c.save, "save", "", "file to save the samples to")
	set.StringVar(&c.plot, "plot", "", "SVG file to draw missed objectives to")
	set.BoolVar(&c.json, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "burn --entry ip:port [--entry ip:port ...] [flags]",
		ShortHelp:  "compare services with their objectives",
		LongHelp: "Prints, per service and kind of request: objective, measured share, error budget left and burn\n" +
			"rates over 5 minutes and 1 hour; then tail latency, doubled lookups, weighted service, urgent\n" +
			"queries on time, and the exceptions in force with their reasons. A window reaches back only as\n" +
			"far as the samples, or to the start of an entry's process when that lies in the window.",
		FlagSet: set,
		Exec:    c.run,
	}
}

func (c *command) run(ctx context.Context, args []string) error {
	if len(args) > 0 || len(c.entries) == 0 && c.load == "" {
		return flag.ErrHelp
	}
	a, err := c.samples(ctx)
	if err != nil {
		return err
	}
	samples, config, err := a.decode()
	if err != nil {
		return err
	}
	if c.plot != "" {
		err := WriteFile(c.plot, func(w io.Writer) error { return WritePlot(w, samples) })
		if err != nil {
			return err
		}
	}
	r := Build(samples, config)
	if c.json {
		return r.WriteJSON(c.stdout)
	}
	return r.WriteText(c.stdout)
}

// samples loads saved samples, appends those read from entries, and saves all of them if requested.
func (c *command) samples(ctx context.Context) (*archive, error) {
	a := &archive{}
	if c.load != "" {
		raw, err := os.ReadFile(c.load)
		if err != nil {
			return nil, eris.Wrap(err, "read samples file")
		}
		if err := json.Unmarshal(raw, a); err != nil {
			return nil, eris.Wrapf(kctport.ErrInvalid, "samples in %s: %v", c.load, err)
		}
	}
	for i := range c.count {
		if len(c.entries) == 0 {
			break
		}
		if err := c.waitInterval(ctx, i); err != nil {
			return nil, err
		}
		if err := a.collect(ctx, c.entries, time.Now()); err != nil {
			return nil, err
		}
	}
	if c.save == "" {
		return a, nil
	}
	return a, WriteFile(c.save, func(w io.Writer) error { return json.NewEncoder(w).Encode(a) })
}

// waitInterval waits for the interval before each read except the first; read is its index.
func (c *command) waitInterval(ctx context.Context, read int) error {
	if read == 0 {
		return nil
	}
	select {
	case <-time.After(c.interval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WriteFile creates a file and calls write to fill it.
func WriteFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "close file")
}
