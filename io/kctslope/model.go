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
	// endpointsPerService matches the benchmarks of control.
	endpointsPerService = 300
	// tickPeriod is the period of control's ticks.
	tickPeriod = 100 * time.Millisecond
	// changesPerProbe is the number of member changes in one probe.
	changesPerProbe = 8
)

// model is the control state of one entry; the rest of its fleet is simulated by the inputs to control.
type model struct {
	clock     *clock
	peers     *fakePeers
	directory *directory
	control   *kctcontrol.Controller
	members   []kctport.Member
	revision  kctport.Revision
	counter   uint64
	steps     int
	cancel    context.CancelFunc
	done      <-chan error
	// stepWait blocks until all work that a step started has ended.
	stepWait func()
}

func targetZone(n int) kctport.Zone {
	zone := n % targetZones
	return kctport.Zone(fmt.Sprintf("region%d-zone%02d", zone%targetRegions, zone))
}

// targetMember returns member n, with names and addresses as long as in a large fleet.
func targetMember(n int) kctport.Member {
	address := netip.AddrFrom4([4]byte{10, 100, byte(n >> 8), byte(n)})
	return kctport.Member{
		ID: kctport.InstanceID(fmt.Sprintf("entry-%05d", n)), Incarnation: kctport.Incarnation(0x9e3779b97f4a7c15 * uint64(n+1)), Zone: targetZone(n),
		Peer: netip.AddrPortFrom(address, 17100), Caller: netip.AddrPortFrom(address, 18100),
	}
}

func targetEndpoint(n int) kctport.Endpoint {
	return kctport.Endpoint{
		ID: kctport.InstanceID(fmt.Sprintf("endpoint-%05d", n)), Service: kctport.ServiceName(fmt.Sprintf("service-%03d", n/endpointsPerService)),
		Zone: targetZone(n), Version: "v1", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(101 + n>>16), byte(n >> 8), byte(n)}), 18000),
	}
}

// modelOption configures a model.
type modelOption func(*model)

// withStepWait calls f after each step to wait until all work that the step started has ended; without it, replies to probes may arrive
// some steps late on a busy machine, and control then declares members dead.
func withStepWait(f func()) modelOption {
	return func(m *model) { m.stepWait = f }
}

// newModel starts control and delivers the members, endpoints and reports of a fleet as of about 3 s after its start.
func newModel(ctx context.Context, members, endpoints int, opts ...modelOption) (*model, error) {
	m := &model{clock: newClock(), peers: &fakePeers{}, directory: &directory{reads: make(chan bool)}, counter: 1, stepWait: func() {}}
	for _, o := range opts {
		o(m)
	}
	for n := range members {
		m.members = append(m.members, targetMember(n))
	}
	for n := range endpoints {
		m.directory.endpoints = append(m.directory.endpoints, targetEndpoint(n))
	}
	ports := kctcontrol.Ports{Timer: m.clock, Store: &fakeStore{}, Directory: m.directory, Backend: fakeBackend{}, Peers: m.peers}
	codec := kctcontrol.Codec{Encode: kctcodec.EncodeConfig, Decode: kctcodec.DecodeConfig}
	m.control = kctcontrol.New(m.members[0], ports, codec, 1)
	ctx, m.cancel = context.WithCancel(ctx)
	m.done = m.control.Run(ctx)
	if err := m.populate(ctx); err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

func (m *model) populate(ctx context.Context) error {
	for remaining := m.members[1:]; len(remaining) > 0; {
		batch := remaining[:min(changesPerProbe, len(remaining))]
		remaining = remaining[len(batch):]
		if err := m.deliverProbe(ctx, batch[0], batch...); err != nil {
			return err
		}
	}
	if err := m.step(ctx); err != nil {
		return err
	}
	if err := m.readInstances(ctx, 1); err != nil {
		return err
	}
	for r := range m.control.View().Replicas() {
		if err := m.deliverReport(ctx, r, warmStatus(1), kctport.HealthOK, 0); err != nil {
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

// step advances the clock by 100 ms and ticks control; every tenth step also triggers status calls.
func (m *model) step(ctx context.Context) error {
	now := m.clock.advance(tickPeriod)
	m.steps++
	m.clock.ticks <- now
	if m.steps%int(pollPeriod/tickPeriod) == 0 {
		m.clock.polls <- now
	}
	// Control answers only after it has handled the tick.
	_, err := m.control.Config(ctx)
	m.stepWait()
	return err
}

// deliverProbe delivers a probe from a member.
func (m *model) deliverProbe(ctx context.Context, from kctport.Member, changes ...kctport.Member) error {
	_, err := m.control.Probe(ctx, kctport.Probe{From: from, Revision: m.revision, Changes: changes})
	return err
}

// deliverReport delivers the owner's report about an endpoint and the given number of copies, as sent by other entries.
func (m *model) deliverReport(ctx context.Context, r *kctport.Replica, status kctport.Status, health kctport.Health, copies int) error {
	m.counter++
	reports := []kctport.EndpointReport{{Endpoint: r.Endpoint, Owner: r.Owner, Counter: m.counter, Status: status, Health: health}}
	for range 1 + copies {
		if err := m.control.Share(ctx, reports); err != nil {
			return err
		}
	}
	return nil
}

// readInstances makes control read the list of endpoints count times and runs a step.
func (m *model) readInstances(ctx context.Context, count int) error {
	for range count {
		m.directory.reads <- true
	}
	m.directory.reads <- false
	return m.step(ctx)
}

// pushConfig pushes a configuration with the next revision to control.
func (m *model) pushConfig(ctx context.Context) error {
	m.revision++
	config := kctconfig.Default()
	config.Revision = m.revision
	config.Defaults.Objective += time.Duration(m.revision) * time.Microsecond
	_, err := m.control.Push(ctx, config)
	return err
}
