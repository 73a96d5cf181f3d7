package kctslope

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
	"kingcupturn/io/kctentry"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kctwire"
	kctadapter "kingcupturn/platform"
)

const (
	// readyInterval and readyTimeout are the poll interval and the limit of a wait for the state of a fleet.
	readyInterval = 20 * time.Millisecond
	readyTimeout  = 60 * time.Second
	// bodyLimit, in bytes, connections and lifetime are settings of the entries.
	bodyLimit   = 64 << 10
	connections = 30
	lifetime    = 2 * time.Second
)

// fleetSize is the size of a deployment and its rate of changes.
type fleetSize struct {
	members   int
	endpoints int
	services  int
	zones     int
	// changes is the number of configuration changes per second.
	changes int
	// history is the number of earlier changes in the configuration document.
	history int
}

// daemon is a running entry.
type daemon struct {
	entry    *kctentry.Entry
	settings kctsetting.Settings
	done     chan error
	killed   bool
}

// fleet is a fake platform and entries, all in this process.
type fleet struct {
	timer    kctport.Timer
	size     fleetSize
	platform *kctfake.Platform
	store    netip.AddrPort
	daemons  []*daemon
}

// startFleet starts entries with the first endpoints of source and waits until the fleet is ready.
func startFleet(ctx context.Context, timer kctport.Timer, source endpointSet, size fleetSize) (*fleet, error) {
	f := &fleet{timer: timer, size: size, platform: kctfake.NewPlatform()}
	var err error
	if f.store, err = f.platform.Start(ctx); err != nil {
		return nil, err
	}
	if err := f.configure(ctx); err != nil {
		f.platform.Stop()
		return nil, err
	}
	for n, e := range source.list[:size.endpoints] {
		f.platform.Register(e.ID, kctwire.Registration{
			Service: serviceName(n % size.services), Zone: zoneName(n % size.zones), Version: e.Version, Address: e.Address,
		})
	}
	for n := range size.members {
		if err := f.startEntry(ctx, n); err != nil {
			return nil, errors.Join(err, f.stop())
		}
	}
	if err := f.waitUntil(ctx, f.ready); err != nil {
		return nil, errors.Join(eris.Wrapf(err, "fleet %+v", size), f.stop())
	}
	return f, nil
}

// configure writes the first configuration document; without one, entries read the store twice a second.
func (f *fleet) configure(ctx context.Context) error {
	data, err := kctcodec.EncodeConfig(configDocument(f.size.history, 0))
	if err != nil {
		return err
	}
	client := kctadapter.NewRecords(f.store)
	defer client.Close()
	_, err = client.Write(ctx, "config", data, 0, "")
	return err
}

func zoneName(n int) kctport.Zone { return kctport.Zone(fmt.Sprintf("zone%d", n)) }

func (f *fleet) startEntry(ctx context.Context, n int) error {
	ports, err := kctloopback.FreePorts(2)
	if err != nil {
		return err
	}
	s := kctsetting.Settings{
		ID: kctport.InstanceID(fmt.Sprintf("entry-%03d", n)), Zone: zoneName(n % f.size.zones),
		Peer: ports[0], Caller: ports[1], Platform: f.store, Lifetime: lifetime,
		MaxConnections: connections, MaxBody: bodyLimit, Memory: kctguard.DefaultMemory, Files: kctguard.DefaultFiles, Ownership: "owner", Hedge: "adaptive", Picker: "load",
	}
	d := &daemon{entry: kctentry.New(s), settings: s, done: make(chan error, 1)}
	go func() { d.done <- d.entry.Run(ctx) }()
	f.daemons = append(f.daemons, d)
	return nil
}

// ready reports whether every entry lists all members and all endpoints as usable.
func (f *fleet) ready() bool {
	for _, d := range f.daemons {
		v := d.entry.View()
		usable := 0
		for r := range v.Replicas() {
			if r.Usable {
				usable++
			}
		}
		if len(v.Members) != f.size.members || usable != f.size.endpoints {
			return false
		}
	}
	return true
}

// waitUntil polls a condition until it holds, and returns kctport.ErrTimeout after readyTimeout.
func (f *fleet) waitUntil(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticks := f.timer.Subscribe(ctx, readyInterval)
	for !condition() {
		select {
		case <-ticks:
		case <-ctx.Done():
			return eris.Wrap(kctport.ErrTimeout, "fleet did not reach the expected state")
		}
	}
	return nil
}

// stop kills the entries without draining, since no requests are left, and stops the platform.
func (f *fleet) stop() error {
	var failed error
	for _, d := range f.daemons {
		failed = errors.Join(failed, d.kill())
	}
	f.platform.Stop()
	return failed
}

func (d *daemon) kill() error {
	if d.killed {
		return nil
	}
	d.killed = true
	d.entry.Kill()
	return <-d.done
}

// pause waits for d, or returns the context's error if the context ends first.
func pause(ctx context.Context, timer kctport.Timer, d time.Duration) error {
	select {
	case <-timer.After(ctx, d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
