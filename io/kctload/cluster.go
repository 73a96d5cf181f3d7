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
	"kingcupturn/io/kctwire"

	"github.com/rotisserie/eris"
)

// Properties of a cluster that the design page leaves open.
const (
	// firstVersion and nextVersion are the software versions of a move.
	firstVersion = kctport.VersionName("v1")
	nextVersion  = kctport.VersionName("v2")
	// snapshot is the one that all endpoints hold.
	snapshot = kctport.Snapshot(1)
	// queueLength is the number of requests that wait at an endpoint before it sheds.
	queueLength = 4
	// coldRequests is the number of requests until an endpoint is warm.
	coldRequests = 8
	// listLag is the age of the platform's list of instances.
	listLag = time.Second
	// readyEvery and readyLimit bound the wait for entries to become ready.
	readyEvery = 50 * time.Millisecond
	readyLimit = 15 * time.Second
)

// EntrySpec is what an entry daemon is started with.
type EntrySpec struct {
	ID       kctport.InstanceID
	Zone     kctport.Zone
	Peer     netip.AddrPort
	Caller   netip.AddrPort
	Platform netip.AddrPort
	Variant  Variant
}

// Variant is a set of decisions to compare.
type Variant string

// The variants of an experiment: the kept decisions, the plain ones (round
// robin, no hedge), and the kept ones without owners of endpoints.
const (
	VariantDefault  Variant = "kept"
	VariantBaseline Variant = "baseline"
	VariantDirect   Variant = "direct"
)

// Daemon is a running entry daemon.
type Daemon interface {
	// Shutdown stops gracefully; Kill stops at once and resets all connections.
	Shutdown(ctx context.Context) error
	Kill() error
}

// Starter starts an entry daemon in this process.
type Starter func(ctx context.Context, spec EntrySpec) (Daemon, error)

// member is an entry of a cluster.
type member struct {
	Daemon
	spec   EntrySpec
	killed bool
}

// Cluster is a whole deployment in one process on loopback.
type Cluster struct {
	workload Workload
	timer    kctport.Timer
	seed     uint64
	store    netip.AddrPort
	platform *kctfake.Platform

	// mu guards the fields below: a scenario changes them while a load reads them.
	mu      sync.Mutex
	fleets  []*kctfake.Fleet
	members []*member
	// before is what the endpoints counted before the measured load.
	before EndpointCounts
}

// StartCluster starts platform, endpoints and entries of a workload and waits until the entries are ready.
func StartCluster(ctx context.Context, w Workload, seed uint64, timer kctport.Timer, start Starter, variant Variant) (*Cluster, error) {
	c := &Cluster{workload: w, timer: timer, seed: seed}
	c.platform = kctfake.NewPlatform(
		kctfake.WithPlatformSeed(seed),
		kctfake.WithPlatformFaults(kctwire.PlatformFaults{Lag: kctwire.Duration(listLag)}),
	)
	var err error
	if c.store, err = c.platform.Start(ctx); err != nil {
		return nil, err
	}
	if err := c.fill(ctx, start, variant); err != nil {
		return nil, errors.Join(err, c.Stop(ctx))
	}
	return c, nil
}

func (c *Cluster) fill(ctx context.Context, start Starter, variant Variant) error {
	if err := c.AddEndpoints(ctx, c.workload.Services, firstVersion); err != nil {
		return err
	}
	for i := range c.workload.Entries {
		if err := c.addEntry(ctx, i, start, variant); err != nil {
			return err
		}
	}
	return c.ready(ctx)
}

func (c *Cluster) addEntry(ctx context.Context, index int, start Starter, variant Variant) error {
	ports, err := kctfake.FreePorts(2)
	if err != nil {
		return err
	}
	spec := EntrySpec{
		ID: kctport.InstanceID(fmt.Sprintf("entry-%d", index)), Zone: c.workload.Zones[index%len(c.workload.Zones)],
		Peer: ports[0], Caller: ports[1], Platform: c.store, Variant: variant,
	}
	d, err := start(ctx, spec)
	if err != nil {
		return err
	}
	c.members = append(c.members, &member{Daemon: d, spec: spec})
	return nil
}

// AddEndpoints starts servers of the services with a software version and registers them.
func (c *Cluster) AddEndpoints(ctx context.Context, services []Service, version kctport.VersionName) error {
	w := kctfake.Workload{Seed: c.seed, Zones: c.workload.Zones}
	for _, s := range services {
		w.Services = append(w.Services, c.workload.standin(s, version))
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

// standin gives each server the delay between zones, as if every lookup crossed one: loopback has none.
func (w Workload) standin(s Service, version kctport.VersionName) kctfake.Service {
	return kctfake.Service{
		Name: s.Name, Version: version, Servers: s.Servers, Shards: s.Shards, Snapshots: []kctport.Snapshot{snapshot},
		Slots: s.Slots, Queue: queueLength, Connections: s.Connections, Connect: kctwire.Duration(s.Connect),
		Base: kctwire.Duration(s.Base), Tail: kctwire.Duration(s.Tail), NetworkDelay: kctwire.Duration(w.ZoneDelay), Cold: coldRequests,
	}
}

// ready polls until every entry reports that it is ready.
func (c *Cluster) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	ticks := c.timer.Subscribe(ctx, readyEvery)
	for _, m := range c.members {
		for !isReady(ctx, m.spec.Caller) {
			select {
			case <-ticks:
			case <-ctx.Done():
				return eris.Wrapf(kctport.ErrTimeout, "entry %s not ready after %v", m.spec.ID, readyLimit)
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

// Addresses are the caller addresses of the entries that were not killed.
func (c *Cluster) Addresses() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []netip.AddrPort
	for _, m := range c.members {
		if !m.killed {
			out = append(out, m.spec.Caller)
		}
	}
	return out
}

// Stop shuts the entries down and then stops endpoints and platform; the errors of the entries are joined.
func (c *Cluster) Stop(ctx context.Context) error {
	done := make(chan error)
	for _, m := range c.members {
		go func() {
			if m.killed {
				done <- nil
				return
			}
			done <- m.Shutdown(ctx)
		}()
	}
	var failed error
	for range c.members {
		failed = errors.Join(failed, <-done)
	}
	for _, f := range c.fleets {
		f.Stop()
	}
	c.platform.Stop()
	return failed
}

// endpoints lists the endpoints that meet the condition.
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

// ran adds up the parts that the endpoints ran.
func ran(endpoints []*kctfake.Endpoint) uint64 {
	var sum uint64
	for _, e := range endpoints {
		sum += e.Counts().Ran
	}
	return sum
}
