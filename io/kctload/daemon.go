package kctload

import (
	"context"
	"io"
	"time"

	"kingcupturn/io/kctentry"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kcttimer"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Settings of the entries of a cluster.
const (
	// addressLifetime is short, so that callers drop the address of a killed entry within the load.
	addressLifetime = 2 * time.Second
	bodyLimit       = 64 << 10
	// connectionLimit is the lowest limit in the built-in workloads, since an entry has one limit for all services.
	connectionLimit = 30
)

// Commands returns the demo and the experiment commands.
func Commands(stdout, stderr io.Writer) []*ffcli.Command {
	timer := kcttimer.New()
	return []*ffcli.Command{newDemo(stdout, stderr, timer, StartEntry), newExperiment(stdout, stderr, timer, StartEntry)}
}

// entryDaemon runs an entry of io/kctentry in its own goroutine.
type entryDaemon struct {
	entry  *kctentry.Entry
	cancel context.CancelFunc
	done   chan error
}

// StartEntry is a Starter that runs an entry of io/kctentry with the settings of the variant.
func StartEntry(ctx context.Context, spec EntrySpec) (Daemon, error) {
	settings := kctsetting.Settings{
		ID: spec.ID, Zone: spec.Zone, Peer: spec.Peer, Caller: spec.Caller, Platform: spec.Platform,
		Lifetime: addressLifetime, MaxConnections: connectionLimit, MaxBody: bodyLimit, Memory: kctguard.DefaultMemory, Files: kctguard.DefaultFiles,
		Ownership: "owner", Hedge: "adaptive", Picker: "load",
	}
	switch spec.Variant {
	case VariantBaseline:
		settings.Hedge, settings.Picker = "none", "robin"
	case VariantDirect:
		settings.Ownership = "direct"
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &entryDaemon{entry: kctentry.New(settings), cancel: cancel, done: make(chan error, 1)}
	go func() { d.done <- d.entry.Run(ctx) }()
	return d, nil
}

// Shutdown implements Daemon.
func (d *entryDaemon) Shutdown(ctx context.Context) error {
	d.cancel()
	select {
	case err := <-d.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill implements Daemon.
func (d *entryDaemon) Kill() error {
	d.entry.Kill()
	return <-d.done
}
