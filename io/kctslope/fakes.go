package kctslope

import (
	"context"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
)

// fakePeers answers at once without a network and counts the messages and reports that control sends.
type fakePeers struct {
	kctport.Peers
	probes  atomic.Uint64
	shares  atomic.Uint64
	reports atomic.Uint64
	pushes  atomic.Uint64
}

// Probe implements kctport.Peers.
func (p *fakePeers) Probe(_ context.Context, to kctport.Member, _ kctport.Probe) (kctport.ProbeReply, error) {
	p.probes.Add(1)
	return kctport.ProbeReply{From: to}, nil
}

// Push implements kctport.Peers.
func (p *fakePeers) Push(_ context.Context, _ kctport.Member, config kctport.Config) (kctport.Revision, error) {
	p.pushes.Add(1)
	return config.Revision, nil
}

// Pull implements kctport.Peers.
func (*fakePeers) Pull(context.Context, kctport.Member) (kctport.Config, error) {
	return kctport.Config{}, kctport.ErrUnavailable
}

// Report implements kctport.Peers.
func (*fakePeers) Report(context.Context, kctport.Member, []kctport.MoveReport) error { return nil }

// Release implements kctport.Peers.
func (*fakePeers) Release(context.Context, kctport.Member, kctport.Release) error { return nil }

// Share implements kctport.Peers.
func (p *fakePeers) Share(_ context.Context, _ kctport.Member, reports []kctport.EndpointReport) error {
	p.shares.Add(1)
	p.reports.Add(uint64(len(reports)))
	return nil
}

// fakeStore has no document: the first read returns kctport.ErrNotFound, later ones block until the context ends.
type fakeStore struct {
	kctport.Store
	wasRead atomic.Bool
}

// Read implements kctport.Store.
func (s *fakeStore) Read(ctx context.Context, _ string) (kctport.Record, error) {
	if !s.wasRead.Swap(true) {
		return kctport.Record{}, kctport.ErrNotFound
	}
	<-ctx.Done()
	return kctport.Record{}, ctx.Err()
}

// Watch implements kctport.Store; it blocks until the context ends.
func (*fakeStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (kctport.Record, error) {
	<-ctx.Done()
	return kctport.Record{}, ctx.Err()
}

// Grant implements kctport.Store; it blocks, so that the model's entry is never announced: its clock would renew a lease without a pause.
func (*fakeStore) Grant(ctx context.Context, _ time.Duration) (kctport.Lease, error) {
	<-ctx.Done()
	return "", ctx.Err()
}

// fakeBackend reports every endpoint as warm with one snapshot.
type fakeBackend struct{ kctport.Backend }

// Status implements kctport.Backend.
func (fakeBackend) Status(context.Context, kctport.Endpoint) (kctport.Status, error) {
	return warmStatus(1), nil
}

// Disconnect implements kctport.Backend.
func (fakeBackend) Disconnect(kctport.InstanceID) {}

// warmStatus returns the status of an endpoint that has loaded its snapshot.
func warmStatus(boot uint64) kctport.Status {
	return kctport.Status{BootID: boot, Slots: 4, Holdings: []kctport.Holding{{Snapshot: 1, Shard: 0, Shards: 1}}}
}

// directory is a fake kctport.Directory that answers each read on a signal from the model.
type directory struct {
	endpoints []kctport.Endpoint
	// reads receives true to answer a read with the list and false to fail it, which shows that control has taken the results of earlier reads.
	reads chan bool
}

// Announce implements kctport.Directory.
func (*directory) Announce(context.Context, kctport.Member, kctport.Lease) error {
	return nil
}

// Instances implements kctport.Directory.
func (d *directory) Instances(ctx context.Context) ([]kctport.Endpoint, []kctport.Member, error) {
	select {
	case ok := <-d.reads:
		if ok {
			return d.endpoints, nil, nil
		}
		return nil, nil, kctport.ErrUnavailable
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
}
