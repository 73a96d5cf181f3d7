package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"k8s.io/klog/v2"

	"kingcupturn/io/kctlog"
	"kingcupturn/io/kctnode"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kctstop"
	"kingcupturn/io/kcttimer"
)

const serveName = "serve"

// serveCommand returns the command that runs an entry on the users' platform; with --check it only validates the settings. The
// command line begins with the command's name; its flags are read again when the settings are reloaded.
func serveCommand(commandLine []string, hangups <-chan os.Signal) *ffcli.Command {
	set := flag.NewFlagSet(serveName, flag.ContinueOnError)
	values := kctsetting.RegisterServing(set)
	check := set.Bool("check", false, "check the settings without starting")
	return &ffcli.Command{
		Name: serveName, ShortUsage: "kingcupturn serve --config FILE [flags]", ShortHelp: "run an entry on the users' platform",
		FlagSet: set, Options: kctsetting.ServingOptions(),
		Exec: func(ctx context.Context, args []string) error {
			settings, err := values.Check(args)
			if err != nil {
				return err
			}
			if *check {
				_, err := fmt.Printf("settings of %s are valid\n", settings.ID)
				return err
			}
			return serve(ctx, settings, configPath(set), commandLine[1:], hangups)
		},
	}
}

// configPath returns the path of the settings file, which ff reads from the flag or the environment.
func configPath(set *flag.FlagSet) string {
	return set.Lookup("config").Value.String()
}

const (
	// exitReserve is the part of the grace time that is reserved for exiting after the last log line.
	exitReserve = 200 * time.Millisecond
	// reloadTimeout bounds the wait for a reload once the entry itself has stopped.
	reloadTimeout = 50 * time.Millisecond
)

// serve runs an entry and reloads its settings on SIGHUP and when the file changes. Logging to standard output doesn't
// block the entry: lines are dropped instead.
func serve(ctx context.Context, settings kctsetting.Serving, path string, args []string, hangups <-chan os.Signal) error {
	log := kctlog.New(os.Stdout)
	if err := kctlog.Install(log); err != nil {
		return err
	}
	logContext, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLog()
	logDone := log.Run(logContext)
	stopping, begin := context.WithCancel(ctx)
	defer begin()
	limit, release := kctstop.After(stopping, kcttimer.New(), settings.Grace-exitReserve)
	defer release()
	node := kctnode.New(settings, kctnode.WithDroppedLines(log.Dropped))
	watchContext, stopWatch := context.WithCancel(ctx)
	watchDone := kctsetting.Watch(watchContext, kcttimer.New(), path, hangups, func(reason string) { reload(node, args, reason) })
	err := node.Run(ctx)
	stopWatch()
	begin()
	reloading, giveUp := context.WithTimeout(limit, reloadTimeout)
	defer giveUp()
	err = errors.Join(err, kctstop.Await(reloading, kctstop.On("reload", watchDone)))
	klog.Flush()
	stopLog()
	return errors.Join(err, kctstop.Await(limit, kctstop.On("log", logDone)))
}

// reload applies the settings file under the flags of the command line; invalid settings are logged and leave the old ones in force.
func reload(node *kctnode.Node, args []string, reason string) {
	settings, err := kctsetting.ParseServing(args)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; the old ones stay in force", "why", reason)
		return
	}
	node.Reload(settings)
}
