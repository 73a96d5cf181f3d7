package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"k8s.io/klog/v2"

	"kingcupturn/io/kctlog"
	"kingcupturn/io/kctnode"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kcttimer"
)

// serveCommand runs an entry on the users' platform; with --check it only checks the settings.
func serveCommand() *ffcli.Command {
	set := flag.NewFlagSet("serve", flag.ContinueOnError)
	values := kctsetting.RegisterServing(set)
	check := set.Bool("check", false, "check the settings without starting")
	return &ffcli.Command{
		Name: "serve", ShortUsage: "kingcupturn serve --config FILE [flags]", ShortHelp: "run an entry on the users' platform",
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
			return serve(ctx, settings, configPath(set))
		},
	}
}

// configPath is the file that the settings came from; ff reads its name from the flag or the environment.
func configPath(set *flag.FlagSet) string {
	return set.Lookup("config").Value.String()
}

// serve logs to standard output, which never blocks the program, and reloads its settings.
func serve(ctx context.Context, settings kctsetting.Serving, path string) error {
	log := kctlog.New(os.Stdout)
	klog.LogToStderr(false)
	klog.SetOutput(log)
	lines, stop := context.WithCancel(context.WithoutCancel(ctx))
	written := log.Run(lines)
	node := kctnode.New(settings, kctnode.WithDroppedLines(log.Dropped))
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	watching, unwatch := context.WithCancel(ctx)
	watched := kctsetting.Watch(watching, kcttimer.New(), path, hangups, func(why string) { reload(node, path, why) })
	err := node.Run(ctx)
	unwatch()
	<-watched
	klog.Flush()
	stop()
	<-written
	return err
}

// reload keeps the settings in force when the new ones can't be used.
func reload(node *kctnode.Node, path, why string) {
	settings, err := kctsetting.ParseServing([]string{"--config", path})
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; the old ones stay in force", "why", why, "file", path)
		return
	}
	node.Reload(settings)
}
