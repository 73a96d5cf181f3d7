// Command kctstandin runs stand-ins for the platform and for endpoints.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"kingcupturn/io/kctfake"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "kctstandin <platform|endpoints> [flags]",
		Subcommands: []*ffcli.Command{platform(), endpoints()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "kctstandin:", err)
		os.Exit(1)
	}
}

// addressFlag declares a flag for an address in the form ip:port.
func addressFlag(set *flag.FlagSet, name, usage string) *netip.AddrPort {
	address := netip.MustParseAddrPort("127.0.0.1:7000")
	set.TextVar(&address, name, address, usage)
	return &address
}

func platform() *ffcli.Command {
	set := flag.NewFlagSet("platform", flag.ExitOnError)
	at := addressFlag(set, "listen", "address to listen on")
	seed := set.Uint64("seed", 1, "seed of the loss of replies")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "kctstandin platform [flags]", ShortHelp: "run the platform", FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			p := kctfake.NewPlatform(kctfake.WithPlatformAddress(*at), kctfake.WithPlatformSeed(*seed))
			listening, err := p.Start(ctx)
			if err != nil {
				return err
			}
			fmt.Println("platform", listening)
			<-ctx.Done()
			p.Stop()
			return nil
		},
	}
}

func endpoints() *ffcli.Command {
	set := flag.NewFlagSet("endpoints", flag.ExitOnError)
	at := addressFlag(set, "platform", "address of the platform")
	file := set.String("workload", "workload.json", "file that describes the endpoints")
	return &ffcli.Command{
		Name: "endpoints", ShortUsage: "kctstandin endpoints [flags]", ShortHelp: "run endpoints", FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			data, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			var w kctfake.Workload
			if err := json.Unmarshal(data, &w); err != nil {
				return eris.Wrapf(err, "workload %s", *file)
			}
			return runFleet(ctx, w, kctfake.NewRemotePlatform(*at))
		},
	}
}

// runFleet starts the endpoints, prints their identifiers and addresses, and stops them when the context ends.
func runFleet(ctx context.Context, w kctfake.Workload, p *kctfake.RemotePlatform) error {
	f, err := kctfake.StartFleet(context.WithoutCancel(ctx), w, p)
	if err != nil {
		return err
	}
	if err := p.Err(); err != nil {
		f.Stop()
		return err
	}
	for _, e := range f.Endpoints {
		fmt.Println(e.ID(), e.Registration().Address)
	}
	<-ctx.Done()
	f.Stop()
	return p.Err()
}
