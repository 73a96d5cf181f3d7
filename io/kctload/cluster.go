package kctload

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kctwire"

	"github.com/rotisserie/eris"
)

// Properties of a cluster that the design page does not specify.
const (
	// firstVersion and nextVersion are the software versions before and after a move.
	firstVersion = kctport.VersionName("v1")
	nextVersion  = kctport.VersionName("v2")
	// snapshot is the index snapshot that all endpoints hold.
	snapshot = kctport.Snapshot(1)
	// queueLength is the queue limit of an endpoint, above which it sheds requests.
	queueLength = 4
	// coldRequests is the number of requests after which an endpoint is warm.
	coldRequests = 8
	// listLag is the delay until a change appears in the platform's list of instances.
	listLag = time.Second
	// readyInterval is the time between readiness checks of an entry, readyTimeout the time for all entries to become ready.
	readyInterval = 50 * time.Millisecond
	readyTimeout  = 15 * time.Second
)

// EntrySpec holds the identity, addresses and variant of an entry daemon.
type EntrySpec struct {
	ID       kctport.InstanceID
	Zone     kctport.Zone
	Peer     netip.AddrPort
	Caller   netip.AddrPort
	Platform netip.AddrPort
	Variant  Variant
}

// Variant is the set of decisions that entries use; an experiment compares variants.
type Variant string

// VariantDefault uses the decisions of the tier, VariantBaseline round robin
// without hedges, VariantDirect the decisions of the tier without endpoint owners.
const (
	VariantDefault  Variant = "kept"
	VariantBaseline Variant = "baseline"
	VariantDirect   Variant = "direct"
)

// Daemon is a running entry daemon.
type Daemon interface {
	// Shutdown stops the daemon gracefully; Kill stops it at once and resets all connections.
	Shutdown(ctx context.Context) error
	Kill() error
}

// Starter starts an entry daemon in this process.
type Starter func(ctx context.Context, spec EntrySpec) (Daemon, error)

// clusterEntry is an entry daemon of a cluster.
type clusterEntry struct {
	Daemon
	spec   EntrySpec
	killed bool
}

// Cluster is a complete deployment in one process on loopback.
type Cluster struct {
	workload        Workload
	timer           kctport.Timer
	seed            uint64
	platformAddress netip.AddrPort
	platform        *kctfake.Platform

	// mu guards the fields below, which scenario steps change while the load reads them.
	mu      sync.Mutex
	fleets  []*kctfake.Fleet
	entries []*clusterEntry
	// warmup holds the counts of the endpoints before the measured load.
	warmup EndpointCounts
}

// StartCluster starts the platform, the endpoints and the entries of a workload and waits until the entries are ready; after an error it stops what it started.
func StartCluster(ctx context.Context, w Workload, seed uint64, timer kctport.Timer, start Starter, variant Variant) (*Cluster, error) {
	c := &Cluster{workload: w, timer: timer, seed: seed}
	c.platform = kctfake.NewPlatform(
		kctfake.WithPlatformSeed(seed),
		kctfake.WithPlatformFaults(kctwire.PlatformFaults{Lag: kctwire.Duration(listLag)}),
	)
	var err error
	if c.platformAddress, err = c.platform.Start(ctx); err != nil {
		return nil, err
	}
	if err := c.startAll(ctx, start, variant); err != nil {
		return nil, errors.Join(err, c.Stop(ctx))
	}
	return c, nil
}

func (c *Cluster) startAll(ctx context.Context, start Starter, variant Variant) error {
	if err := c.AddEndpoints(ctx, c.workload.Services, firstVersion); err != nil {
		return err
	}
	for i := range c.workload.Entries {
		if err := c.addEntry(ctx, i, start, variant); err != nil {
			return err
		}
	}
	return c.waitReady(ctx)
}

func (c *Cluster) addEntry(ctx context.Context, index int, start Starter, variant Variant) error {
	ports, err := kctloopback.FreePorts(2)
	if err != nil {
		return err
	}
	spec := EntrySpec{
		ID: kctport.InstanceID(fmt.Sprintf("entry-%d", index)), Zone: c.workload.Zones[index%len(c.workload.Zones)],
		Peer: ports[0], Caller: ports[1], Platform: c.platformAddress, Variant: variant,
	}
	d, err := start(ctx, spec)
	if err != nil {
		return err
	}
	c.entries = append(c.entries, &clusterEntry{Daemon: d, spec: spec})
	return nil
}

// AddEndpoints starts and registers endpoints of the services with the given software version.
func (c *Cluster) AddEndpoints(ctx context.Context, services []Service, version kctport.VersionName) error {
	w := kctfake.Workload{Seed: c.seed, Zones: c.workload.Zones}
	for _, s := range services {
		w.Services = append(w.Services, c.workload.standIn(s, version))
	}
	f, err := kctfake.StartFleet(ctx, w, c.platform)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleets = append(c.fleets, f)
	return nil
}

// standIn adds the delay between zones to every endpoint, as if all lookups crossed zones; loopback has no delay of its own.
func (w Workload) standIn(s Service, version kctport.VersionName) kctfake.Service {
	return kctfake.Service{
		Name: s.Name, Version: version, EndpointCount: s.EndpointCount, Shards: s.Shards, Snapshots: []kctport.Snapshot{snapshot},
		Slots: s.Slots, Queue: queueLength, Connections: s.Connections, ConnectDelay: kctwire.Duration(s.ConnectDelay),
		Base: kctwire.Duration(s.Base), Tail: kctwire.Duration(s.Tail), NetworkDelay: kctwire.Duration(w.ZoneDelay), Cold: coldRequests,
	}
}

// waitReady polls the entries until all are ready; it returns ErrTimeout after readyTimeout.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticks := c.timer.Subscribe(ctx, readyInterval)
	for _, e := range c.entries {
		for !isReady(ctx, e.spec.Caller) {
			select {
			case <-ticks:
			case <-ctx.Done():
				return eris.Wrapf(kctport.ErrTimeout, "entry %s not ready after %v", e.spec.ID, readyTimeout)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, at netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// Addresses returns the caller addresses of the entries that were not killed.
func (c *Cluster) Addresses() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []netip.AddrPort
	for _, e := range c.entries {
		if !e.killed {
			out = append(out, e.spec.Caller)
		}
	}
	return out
}

// Stop shuts down the entries, then the endpoints and the platform; it returns the joined errors of the entries.
func (c *Cluster) Stop(ctx context.Context) error {
	done := make(chan error)
	for _, e := range c.entries {
		go func() {
			if e.killed {
				done <- nil
				return
			}
			done <- e.Shutdown(ctx)
		}()
	}
	var failed error
	for range c.entries {
		failed = errors.Join(failed, <-done)
	}
	for _, f := range c.fleets {
		f.Stop()
	}
	c.platform.Stop()
	return failed
}

// endpoints returns the endpoints whose registration satisfies keep.
func (c *Cluster) endpoints(keep func(kctwire.Registration) bool) []*kctfake.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*kctfake.Endpoint
	for _, f := range c.fleets {
		for _, e := range f.Endpoints {
			if keep(e.Registration()) {
				out = append(out, e)
			}
		}
	}
	return out
}

// sumPartsRun returns the number of parts that the endpoints ran.
func sumPartsRun(endpoints []*kctfake.Endpoint) uint64 {
	var sum uint64
	for _, e := range endpoints {
		sum += e.Counts().Ran
	}
	return sum
}
