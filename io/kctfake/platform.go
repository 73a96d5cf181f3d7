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

// Platform is the stand-in of the platform's store with the endpoints that registered themselves there.
type Platform struct {
	address netip.AddrPort
	seed    uint64
	server  *server
	store   *kctadapter.StandIn

	mu     sync.Mutex
	faults kctwire.PlatformFaults
	// pending are registrations that the store doesn't show yet, the oldest first; listed are those that it shows.
	pending []registration
	listed  map[kctport.InstanceID]kctwire.Registration
}

// registration is one change of the list of endpoints.
type registration struct {
	at      time.Time
	id      kctport.InstanceID
	entry   kctwire.Registration
	removed bool
}

// PlatformOption sets up a Platform.
type PlatformOption func(*Platform)

// WithPlatformAddress sets the listening address.
func WithPlatformAddress(at netip.AddrPort) PlatformOption {
	return func(p *Platform) { p.address = at }
}

// WithPlatformSeed seeds the loss of replies.
func WithPlatformSeed(seed uint64) PlatformOption {
	return func(p *Platform) { p.seed = seed }
}

// WithPlatformFaults sets the switches that hold from the start.
func WithPlatformFaults(f kctwire.PlatformFaults) PlatformOption {
	return func(p *Platform) { p.faults = f }
}

// NewPlatform returns a platform that is not yet listening.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{address: loopback, listed: map[kctport.InstanceID]kctwire.Registration{}}
	for _, o := range opts {
		o(p)
	}
	p.store = kctadapter.NewStandIn(p.seed)
	p.SetFaults(p.faults)
	return p
}

// Start listens and serves until Stop or the end of the context.
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

// SetFaults replaces the switches.
func (p *Platform) SetFaults(f kctwire.PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.show()
	faults := kctadapter.StandInFaults{LostReplies: f.LostReplies, Delay: time.Duration(f.Delay)}
	if f.Outage {
		faults.Status = outageStatus
	}
	p.store.SetFaults(faults)
}

// Faults returns the switches.
func (p *Platform) Faults() kctwire.PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// CallCounts returns the numbers of calls since the start.
func (p *Platform) CallCounts() kctwire.CallCounts {
	return kctwire.CallCounts(p.store.CallCounts())
}

// Register writes the record of an endpoint, which the store shows after the lag.
func (p *Platform) Register(id kctport.InstanceID, r kctwire.Registration) {
	p.change(registration{at: time.Now(), id: id, entry: r})
}

// Remove deletes the record of an endpoint, which the store shows until the lag has passed.
func (p *Platform) Remove(id kctport.InstanceID) {
	p.change(registration{at: time.Now(), id: id, removed: true})
}

func (p *Platform) change(r registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, r)
	p.show()
	if lag := time.Duration(p.faults.Lag); lag > 0 {
		time.AfterFunc(lag, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.show()
		})
	}
}

// show writes the registrations that are older than the lag to the store; the caller holds the lock.
func (p *Platform) show() {
	until := time.Now().Add(-time.Duration(p.faults.Lag))
	for len(p.pending) > 0 && !p.pending[0].at.After(until) {
		r := p.pending[0]
		p.pending = p.pending[1:]
		if r.removed {
			delete(p.listed, r.id)
			p.store.RemoveEndpoint(r.id)
			continue
		}
		p.listed[r.id] = r.entry
		p.store.PutEndpoint(kctport.EndpointRecord{
			ID: r.id, Service: r.entry.Service, Zone: r.entry.Zone, Version: r.entry.Version, Address: r.entry.Address, Leaving: r.entry.Leaving,
		})
	}
}

// Endpoints returns the endpoints that the store shows, ordered by identifier.
func (p *Platform) Endpoints() []kctport.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.show()
	list := make([]kctport.Endpoint, 0, len(p.listed))
	for _, id := range slices.SortedFunc(maps.Keys(p.listed), func(a, b kctport.InstanceID) int { return strings.Compare(string(a), string(b)) }) {
		r := p.listed[id]
		list = append(list, kctport.Endpoint{ID: id, Service: r.Service, Zone: r.Zone, Version: r.Version, Address: r.Address, Leaving: r.Leaving})
	}
	return list
}
