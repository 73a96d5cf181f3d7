package kctfake

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
	kctadapter "kingcupturn/platform"
)

// Platform is a stand-in for the platform's store with the records of registered endpoints.
type Platform struct {
	address netip.AddrPort
	seed    uint64
	server  *server
	store   *kctadapter.StandIn

	mu     sync.Mutex
	faults kctwire.PlatformFaults
	// pending holds the changes that the store does not show yet, the oldest first; listed holds the records that it shows.
	pending []listChange
	listed  map[kctport.InstanceID]kctwire.Registration
}

// listChange registers or removes one endpoint.
type listChange struct {
	at      time.Time
	id      kctport.InstanceID
	record  kctwire.Registration
	removed bool
}

// PlatformOption configures a Platform.
type PlatformOption func(*Platform)

// WithPlatformAddress sets the listening address.
func WithPlatformAddress(at netip.AddrPort) PlatformOption {
	return func(p *Platform) { p.address = at }
}

// WithPlatformSeed sets the seed of lost replies.
func WithPlatformSeed(seed uint64) PlatformOption {
	return func(p *Platform) { p.seed = seed }
}

// WithPlatformFaults sets the faults that are injected from the start.
func WithPlatformFaults(f kctwire.PlatformFaults) PlatformOption {
	return func(p *Platform) { p.faults = f }
}

// NewPlatform returns a platform that does not listen yet.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{address: loopback, listed: map[kctport.InstanceID]kctwire.Registration{}}
	for _, o := range opts {
		o(p)
	}
	p.store = kctadapter.NewStandIn(p.seed)
	p.SetFaults(p.faults)
	return p
}

// Start listens and serves until Stop or the end of the context; it returns the listening address.
func (p *Platform) Start(ctx context.Context) (netip.AddrPort, error) {
	l, at, err := listen(ctx, p.address)
	if err != nil {
		return at, err
	}
	p.server = serve(ctx, l, p.handler(), nil)
	context.AfterFunc(ctx, p.server.close)
	return at, nil
}

// Stop closes the listener and all connections.
func (p *Platform) Stop() {
	if p.server != nil {
		p.server.close()
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f kctwire.PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.applyDue()
	faults := kctadapter.StandInFaults{LostReplies: f.LostReplies, Delay: time.Duration(f.Delay)}
	if f.Outage {
		faults.Status = outageStatus
	}
	p.store.SetFaults(faults)
}

// Faults returns the injected faults.
func (p *Platform) Faults() kctwire.PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// CallCounts returns the numbers of calls since the start.
func (p *Platform) CallCounts() kctwire.CallCounts {
	return kctwire.CallCounts(p.store.CallCounts())
}

// Register writes the record of an endpoint; the store shows it after the lag.
func (p *Platform) Register(id kctport.InstanceID, r kctwire.Registration) {
	p.addChange(listChange{at: time.Now(), id: id, record: r})
}

// Remove deletes the record of an endpoint; the store shows it until the lag has passed.
func (p *Platform) Remove(id kctport.InstanceID) {
	p.addChange(listChange{at: time.Now(), id: id, removed: true})
}

func (p *Platform) addChange(r listChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, r)
	p.applyDue()
	if lag := time.Duration(p.faults.Lag); lag > 0 {
		time.AfterFunc(lag, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.applyDue()
		})
	}
}

// applyDue applies the changes that are older than the lag to the store; p.mu must be held.
func (p *Platform) applyDue() {
	until := time.Now().Add(-time.Duration(p.faults.Lag))
	for len(p.pending) > 0 && !p.pending[0].at.After(until) {
		r := p.pending[0]
		p.pending = p.pending[1:]
		if r.removed {
			delete(p.listed, r.id)
			p.store.RemoveEndpoint(r.id)
			continue
		}
		p.listed[r.id] = r.record
		p.store.PutEndpoint(kctport.EndpointRecord{
			ID: r.id, Service: r.record.Service, Zone: r.record.Zone, Version: r.record.Version, Address: r.record.Address, Leaving: r.record.Leaving,
		})
	}
}

// Endpoints returns the endpoints that the store shows, ordered by identifier.
func (p *Platform) Endpoints() []kctport.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyDue()
	list := make([]kctport.Endpoint, 0, len(p.listed))
	for _, id := range slices.SortedFunc(maps.Keys(p.listed), func(a, b kctport.InstanceID) int { return strings.Compare(string(a), string(b)) }) {
		r := p.listed[id]
		list = append(list, kctport.Endpoint{ID: id, Service: r.Service, Zone: r.Zone, Version: r.Version, Address: r.Address, Leaving: r.Leaving})
	}
	return list
}

// Copy returns the current state of the store, for Restore.
func (p *Platform) Copy() kctadapter.StandInCopy {
	return p.store.Copy()
}

// Restore lets the store come back from an older copy.
func (p *Platform) Restore(older kctadapter.StandInCopy) {
	p.store.Restore(older)
}
