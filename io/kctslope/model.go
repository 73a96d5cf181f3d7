package kctslope

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/core/kctcontrol"
	"kingcupturn/io/kctcodec"
)

// The target size of the design page.
const (
	targetMembers   = 4100
	targetEndpoints = 71000
	targetZones     = 17
	targetRegions   = 8
	// replicas is the number of endpoints of a service, as in the benchmarks of control.
	replicas = 300
	// tick is the period of control's ticks.
	tick = 100 * time.Millisecond
	// piggyback is the number of member changes in one probe.
	piggyback = 8
)

// model is the control state of one entry in a fleet that exists only in its inputs.
type model struct {
	clock    *clock
	peers    *quietPeers
	lists    *lists
	control  *kctcontrol.Controller
	members  []kctport.Member
	revision kctport.Revision
	counter  uint64
	steps    int
	cancel   context.CancelFunc
	done     <-chan error
	// settled returns when nothing that a step began is left.
	settled func()
}

func targetZone(n int) kctport.Zone {
	zone := n % targetZones
	return kctport.Zone(fmt.Sprintf("region%d-zone%02d", zone%targetRegions, zone))
}

// targetMember has names and addresses of the length that a large fleet has.
func targetMember(n int) kctport.Member {
	at := netip.AddrFrom4([4]byte{10, 100, byte(n >> 8), byte(n)})
	return kctport.Member{
		ID: kctport.InstanceID(fmt.Sprintf("entry-%05d", n)), Incarnation: kctport.Incarnation(0x9e3779b97f4a7c15 * uint64(n+1)), Zone: targetZone(n),
		Peer: netip.AddrPortFrom(at, 17100), Caller: netip.AddrPortFrom(at, 18100),
	}
}

func targetEndpoint(n int) kctport.Endpoint {
	return kctport.Endpoint{
		ID: kctport.InstanceID(fmt.Sprintf("endpoint-%05d", n)), Service: kctport.ServiceName(fmt.Sprintf("service-%03d", n/replicas)),
		Zone: targetZone(n), Version: "v1", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(101 + n>>16), byte(n >> 8), byte(n)}), 18000),
	}
}

// modelOption changes a model at construction.
type modelOption func(*model)

// withSettled waits with f after each step until all work that the step began has ended; otherwise replies to probes may come some steps
// late on a busy machine, and members are then found dead.
func withSettled(f func()) modelOption {
	return func(m *model) { m.settled = f }
}

// newModel starts control and gives it a fleet of the size as it stands some seconds after the start.
func newModel(ctx context.Context, members, endpoints int, opts ...modelOption) (*model, error) {
	m := &model{clock: newClock(), peers: &quietPeers{}, lists: &lists{next: make(chan bool)}, counter: 1, settled: func() {}}
	for _, o := range opts {
		o(m)
	}
	for n := range members {
		m.members = append(m.members, targetMember(n))
	}
	for n := range endpoints {
		m.lists.endpoints = append(m.lists.endpoints, targetEndpoint(n))
	}
	ports := kctcontrol.Ports{Timer: m.clock, Store: &quietStore{}, Directory: m.lists, Backend: quietBackend{}, Peers: m.peers}
	codec := kctcontrol.Codec{Encode: kctcodec.EncodeConfig, Decode: kctcodec.DecodeConfig}
	m.control = kctcontrol.New(m.members[0], ports, codec, 1)
	ctx, m.cancel = context.WithCancel(ctx)
	m.done = m.control.Run(ctx)
	if err := m.fill(ctx); err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

func (m *model) fill(ctx context.Context) error {
	for rest := m.members[1:]; len(rest) > 0; {
		some := rest[:min(piggyback, len(rest))]
		rest = rest[len(some):]
		if err := m.probed(ctx, some[0], some...); err != nil {
			return err
		}
	}
	if err := m.step(ctx); err != nil {
		return err
	}
	if err := m.list(ctx, 1); err != nil {
		return err
	}
	for r := range m.control.View().Replicas() {
		if err := m.report(ctx, r, warm(1), kctport.HealthOK, 0); err != nil {
			return err
		}
	}
	for range 30 {
		if err := m.step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *model) stop() {
	m.cancel()
	<-m.done
}

// step lets 100 ms pass; status calls come with every tenth step.
func (m *model) step(ctx context.Context) error {
	now := m.clock.advance(tick)
	m.steps++
	m.clock.ticks <- now
	if m.steps%int(pollPeriod/tick) == 0 {
		m.clock.polls <- now
	}
	// Control answers after it has taken the tick.
	_, err := m.control.Config(ctx)
	m.settled()
	return err
}

// probed delivers a probe of a member.
func (m *model) probed(ctx context.Context, from kctport.Member, changes ...kctport.Member) error {
	_, err := m.control.Probe(ctx, kctport.Probe{From: from, Revision: m.revision, Changes: changes})
	return err
}

// report delivers the owner's report about an endpoint, and copies of it that other entries passed on.
func (m *model) report(ctx context.Context, r *kctport.Replica, status kctport.Status, health kctport.Health, copies int) error {
	m.counter++
	reports := []kctport.EndpointReport{{Endpoint: r.Endpoint, Owner: r.Owner, Counter: m.counter, Status: status, Health: health}}
	for range 1 + copies {
		if err := m.control.Share(ctx, reports); err != nil {
			return err
		}
	}
	return nil
}

// list delivers readings of the list of endpoints.
func (m *model) list(ctx context.Context, readings int) error {
	for range readings {
		m.lists.next <- true
	}
	m.lists.next <- false
	return m.step(ctx)
}

// push delivers a configuration with the next revision.
func (m *model) push(ctx context.Context) error {
	m.revision++
	config := kctconfig.Default()
	config.Revision = m.revision
	config.Defaults.Objective += time.Duration(m.revision) * time.Microsecond
	_, err := m.control.Push(ctx, config)
	return err
}
