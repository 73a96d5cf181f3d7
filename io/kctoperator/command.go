package kctoperator

import (
	"context"
	"crypto/rand"
	"flag"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kcttimer"
)

const (
	// defaultTimeout bounds a command with all its calls; an accepted change is in force within 8 s.
	defaultTimeout = 30 * time.Second
	// defaultCallTimeout bounds one call, so that an unresponsive entry leaves time to try the next one.
	defaultCallTimeout = 10 * time.Second
)

// cli holds the dependencies and flag values that all commands share.
type cli struct {
	stdout io.Writer
	stderr io.Writer
	timer  kctport.Timer
	http   *http.Client
	newID  func() string

	entries     addresses
	author      string
	timeout     time.Duration
	callTimeout time.Duration
	json        bool
	wait        bool
}

// Option configures the commands.
type Option func(*cli)

// WithTimer sets the clock; the default is the real clock.
func WithTimer(timer kctport.Timer) Option {
	return func(t *cli) { t.timer = timer }
}

// WithIdentifiers sets the generator of change identifiers, which must be unique; the default is random text.
func WithIdentifiers(next func() string) Option {
	return func(t *cli) { t.newID = next }
}

// New returns the operator commands; Code maps their errors to exit codes.
func New(stdout, stderr io.Writer, opts ...Option) []*ffcli.Command {
	t := &cli{
		stdout: stdout, stderr: stderr, timer: kcttimer.New(), newID: rand.Text,
		// A reused connection would hide whether an entry can still be reached.
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, o := range opts {
		o(t)
	}
	return []*ffcli.Command{
		t.group("default", "show or set the defaults of all services", t.defaultSet(), t.defaultShow()),
		t.group("exception", "list, add or remove exceptions from the defaults", t.exceptionAdd(), t.exceptionList(), t.exceptionRemove()),
		t.group("zone", "take an availability zone out of service or back", t.zoneOut(), t.zoneIn(), t.zoneList()),
		t.group("move", "move a service's traffic to another version", t.moveStart(), t.moveShow()),
		t.history(),
	}
}

// group returns a command that has only subcommands.
func (t *cli) group(name, help string, commands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: name + " <command> [flags]", ShortHelp: help, Subcommands: commands,
		FlagSet: t.flags(name),
		Exec:    func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// commandSpec describes a command without subcommands.
type commandSpec struct {
	name, usage, help, long string
	// arguments is the number of positional arguments.
	arguments int
	set       *flag.FlagSet
	run       func(ctx context.Context, args []string) error
}

// command returns the ffcli command of a spec with the shared flags; flags may come before and after the arguments.
func (t *cli) command(l commandSpec) *ffcli.Command {
	l.set.Var(&t.entries, "entry", "address of an entry, ip:port; may be repeated, the next is tried when one can't be reached")
	l.set.DurationVar(&t.timeout, "timeout", defaultTimeout, "longest time for the command")
	l.set.DurationVar(&t.callTimeout, "call", defaultCallTimeout, "longest time for one call")
	l.set.BoolVar(&t.json, "json", false, "print JSON")
	return &ffcli.Command{
		Name: l.name, ShortUsage: l.usage + " --entry ip:port [flags]", ShortHelp: l.help, LongHelp: l.long, FlagSet: l.set,
		Exec: func(ctx context.Context, args []string) error {
			arguments, err := parseInterleaved(l.set, args)
			if err != nil {
				return err
			}
			if len(arguments) != l.arguments {
				return eris.Wrapf(errUsage, "%s takes %d arguments, got %d; usage: %s", l.name, l.arguments, len(arguments), l.usage)
			}
			if len(t.entries) == 0 {
				return eris.Wrap(errUsage, "--entry ip:port is required")
			}
			return l.run(ctx, arguments)
		},
	}
}

// changeFlags returns the flag set of a command that submits a change.
func (t *cli) changeFlags(name string) *flag.FlagSet {
	set := t.flags(name)
	set.StringVar(&t.author, "author", os.Getenv("USER"), "name kept in the history")
	set.BoolVar(&t.wait, "wait", false, "return only when every live entry has the change in force")
	return set
}

func (t *cli) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(t.stderr)
	return set
}

// parseInterleaved parses flags between and after the arguments and returns the arguments.
func parseInterleaved(set *flag.FlagSet, args []string) ([]string, error) {
	var arguments []string
	for len(args) > 0 {
		arguments = append(arguments, args[0])
		if err := set.Parse(args[1:]); err != nil {
			return nil, eris.Wrapf(errUsage, "%v", err)
		}
		args = set.Args()
	}
	return arguments, nil
}

// addresses is the value of a repeatable address flag.
type addresses []netip.AddrPort

// String returns the addresses separated by commas.
func (a *addresses) String() string {
	texts := make([]string, 0, len(*a))
	for _, e := range *a {
		texts = append(texts, e.String())
	}
	return strings.Join(texts, ",")
}

// Set appends one or more addresses separated by commas.
func (a *addresses) Set(text string) error {
	for field := range strings.SplitSeq(text, ",") {
		e, err := netip.ParseAddrPort(field)
		if err != nil {
			return eris.Wrapf(kctport.ErrInvalid, "entry %q: must be ip:port", field)
		}
		*a = append(*a, e)
	}
	return nil
}
