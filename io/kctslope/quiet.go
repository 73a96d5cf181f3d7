package kctslope

import (
	"context"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
)

// quietPeers answer at once without a network and count what control sends.
type quietPeers struct {
	kctport.Peers
	probes  atomic.Uint64
	shares  atomic.Uint64
	reports atomic.Uint64
	pushes  atomic.Uint64
}

// Probe implements kctport.Peers.
func (p *quietPeers) Probe(_ context.Context, to kctport.Member, _ kctport.Probe) (kctport.ProbeReply, error) {
	p.probes.Add(1)
	return kctport.ProbeReply{From: to}, nil
}

// Push implements kctport.Peers.
func (p *quietPeers) Push(_ context.Context, _ kctport.Member, config kctport.Config) (kctport.Revision, error) {
	p.pushes.Add(1)
	return config.Revision, nil
}

// Pull implements kctport.Peers.
func (*quietPeers) Pull(context.Context, kctport.Member) (kctport.Config, error) {
	return kctport.Config{}, kctport.ErrUnavailable
}

// Report implements kctport.Peers.
func (*quietPeers) Report(context.Context, kctport.Member, []kctport.MoveReport) error { return nil }

// Release implements kctport.Peers.
func (*quietPeers) Release(context.Context, kctport.Member, kctport.Release) error { return nil }

// Share implements kctport.Peers.
func (p *quietPeers) Share(_ context.Context, _ kctport.Member, reports []kctport.EndpointReport) error {
	p.shares.Add(1)
	p.reports.Add(uint64(len(reports)))
	return nil
}

// quietStore has no document: the first read says so, later ones wait for the end.
type quietStore struct {
	kctport.Store
	asked atomic.Bool
}

// Read implements kctport.Store.
func (s *quietStore) Read(ctx context.Context, _ string) (kctport.Record, error) {
	if !s.asked.Swap(true) {
		return kctport.Record{}, kctport.ErrNotFound
	}
	<-ctx.Done()
	return kctport.Record{}, ctx.Err()
}

// Watch implements kctport.Store; nothing changes.
func (*quietStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (kctport.Record, error) {
	<-ctx.Done()
	return kctport.Record{}, ctx.Err()
}

// Grant implements kctport.Store; the model's entry stays unannounced, since its clock would renew a lease without a pause.
func (*quietStore) Grant(ctx context.Context, _ time.Duration) (kctport.Lease, error) {
	<-ctx.Done()
	return "", ctx.Err()
}

// quietBackend reports every endpoint as warm with one snapshot.
type quietBackend struct{ kctport.Backend }

// Status implements kctport.Backend.
func (quietBackend) Status(context.Context, kctport.Endpoint) (kctport.Status, error) {
	return warm(1), nil
}

// Disconnect implements kctport.Backend.
func (quietBackend) Disconnect(kctport.InstanceID) {}

// warm is the status of an endpoint that has loaded.
func warm(boot uint64) kctport.Status {
	return kctport.Status{BootID: boot, Slots: 4, Holdings: []kctport.Holding{{Snapshot: 1, Shard: 0, Shards: 1}}}
}

// lists hands out the list of endpoints each time it is told to.
type lists struct {
	endpoints []kctport.Endpoint
	// next takes true for a reading of the list and false for a failure, which shows that earlier readings were taken.
	next chan bool
}

// Announce implements kctport.Directory.
func (*lists) Announce(context.Context, kctport.Member, kctport.Lease) error {
	return nil
}

// Instances implements kctport.Directory.
func (l *lists) Instances(ctx context.Context) ([]kctport.Endpoint, []kctport.Member, error) {
	select {
	case ok := <-l.next:
		if ok {
			return l.endpoints, nil, nil
		}
		return nil, nil, kctport.ErrUnavailable
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
}
