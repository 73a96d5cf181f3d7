// Command kingcupturn runs an entry daemon, the operator commands, the burn report, load tests and the demo.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"k8s.io/klog/v2"

	"kingcupturn/io/kctentry"
	"kingcupturn/io/kctload"
	"kingcupturn/io/kctoperator"
	"kingcupturn/io/kctreport"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kctsignal"
	"kingcupturn/io/kctslope"
)

func main() {
	// Libraries such as net/http use the standard logger.
	klog.CopyStandardLogTo("INFO")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	args := os.Args[1:]
	code := run(ctx, args, hangupsOf(args))
	klog.Flush()
	os.Exit(code)
}

// hangupsOf returns the hangups of an entry on the users' platform, which are received before its settings are read; other commands end at one.
func hangupsOf(args []string) <-chan os.Signal {
	if len(args) > 0 && args[0] == serveName {
		return kctsignal.Hangups()
	}
	kctsignal.Restore()
	return nil
}

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, hangups <-chan os.Signal) int {
	root := &ffcli.Command{
		Name:        "kingcupturn",
		ShortUsage:  "kingcupturn <command> [flags]",
		Subcommands: []*ffcli.Command{entryCommand(), serveCommand(args, hangups), checkCommand(), kctreport.New(os.Stdout, os.Stderr), kctslope.New(os.Stdout, os.Stderr)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	root.Subcommands = append(root.Subcommands, kctload.Commands(os.Stdout, os.Stderr)...)
	root.Subcommands = append(root.Subcommands, kctoperator.New(os.Stdout, os.Stderr)...)
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "kingcupturn:", err)
		return kctoperator.CodeUsage
	}
	if err == nil {
		err = root.Run(ctx)
	}
	if err == nil {
		return 0
	}
	if !errors.Is(err, flag.ErrHelp) {
		printError(err)
	}
	return kctoperator.Code(err)
}

// printTimeout bounds the wait for someone who reads standard error, so that a process that stops ends.
const printTimeout = 50 * time.Millisecond

// printError prints an error, unless nobody reads standard error.
func printError(err error) {
	printed := make(chan struct{})
	go func() {
		defer close(printed)
		fmt.Fprintln(os.Stderr, "kingcupturn:", err)
	}()
	select {
	case <-printed:
	case <-time.After(printTimeout):
	}
}

func entryCommand() *ffcli.Command {
	return settingsCommand("entry", "run an entry daemon", func(ctx context.Context, s kctsetting.Settings) error {
		debug.SetGCPercent(gcPercent)
		return kctentry.New(s).Run(ctx)
	})
}

// gcPercent keeps the memory of an entry with 4,100 members and 71,000 endpoints below 256 MB: 190 MB resident instead
// of 259 MB at the default of 100, at a cost of 0.3% of a core.
const gcPercent = 50

func checkCommand() *ffcli.Command {
	return settingsCommand("check", "check settings without starting", func(_ context.Context, s kctsetting.Settings) error {
		_, err := fmt.Printf("settings of %s are valid\n", s.ID)
		return err
	})
}

// settingsCommand returns a command that takes the settings as flags, from the file and from the environment.
func settingsCommand(name, help string, run func(context.Context, kctsetting.Settings) error) *ffcli.Command {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	values := kctsetting.Register(set)
	return &ffcli.Command{
		Name: name, ShortUsage: "kingcupturn " + name + " --settings FILE [flags]", ShortHelp: help,
		FlagSet: set, Options: kctsetting.Options(),
		Exec: func(ctx context.Context, args []string) error {
			settings, err := values.Check(args)
			if err != nil {
				return err
			}
			return run(ctx, settings)
		},
	}
}
