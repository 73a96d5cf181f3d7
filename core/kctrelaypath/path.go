package kctrelaypath

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	kctport "kingcupturn"
)

// ejectionTime is how long a failed relaying entry gets no attempts; they go direct instead.
const ejectionTime = 2 * time.Second

// maxRelayedBody is the largest body in bytes of a request that is relayed. The relaying entry holds a request until its deadline, and a large body leaves no
// memory for others.
const maxRelayedBody = 32 << 10

// Path sends each attempt direct or through a relaying entry; it is safe for concurrent use.
type Path struct {
	self   kctport.InstanceID
	zone   kctport.Zone
	fleets kctport.Fleets
	direct kctport.Exchanger
	relay  kctport.Relay
	timer  kctport.Timer

	mu sync.Mutex
	// ejectedUntil holds the end of each failed entry's ejection.
	ejectedUntil map[kctport.InstanceID]time.Time
}

var _ kctport.Exchanger = (*Path)(nil)

// New returns the Path of the entry self.
func New(self kctport.EntryRecord, fleets kctport.Fleets, direct kctport.Exchanger, relay kctport.Relay, timer kctport.Timer) *Path {
	return &Path{
		self: self.ID, zone: self.Zone, fleets: fleets, direct: direct, relay: relay, timer: timer,
		ejectedUntil: map[kctport.InstanceID]time.Time{},
	}
}

// Open begins the attempts at a message.
func (p *Path) Open(ctx context.Context, m *kctport.Message) kctport.Exchange {
	return &exchange{path: p, ctx: ctx, message: m, direct: p.direct.Open(ctx, m)}
}

// exchange makes the attempts at one message.
type exchange struct {
	path    *Path
	ctx     context.Context
	message *kctport.Message
	direct  kctport.Exchange
}

// Send sends an attempt by the cheapest path. Repeats always go direct, so that an unresponsive entry can't delay both attempts.
func (x *exchange) Send(endpoint *kctport.EndpointRecord, o kctport.ExchangeOptions, done func(kctport.Response, error)) {
	p := x.path
	if o.Gathered && !o.Repeat && len(x.message.Body) <= maxRelayedBody && !p.servedInOwnZone(endpoint) {
		if via, ok := p.choose(endpoint.Zone); ok {
			go x.relay(via, endpoint, o, done)
			return
		}
	}
	x.direct.Send(endpoint, o, done)
}

// relay sends an attempt through an entry. One that this entry declined or didn't receive is then sent direct, while an endpoint that can't be reached from
// its own zone is an error for the caller.
func (x *exchange) relay(via kctport.EntryRecord, endpoint *kctport.EndpointRecord, o kctport.ExchangeOptions, done func(kctport.Response, error)) {
	r, err := x.path.relay.Exchange(x.ctx, via, endpoint, x.message, o)
	switch {
	case err == nil || x.ctx.Err() != nil:
	case errors.Is(err, kctport.ErrDeclined):
		x.direct.Send(endpoint, o, done)
		return
	case errors.Is(err, kctport.ErrNotRun) && errors.Is(err, kctport.ErrUnavailable):
		x.path.eject(via.ID)
		x.direct.Send(endpoint, o, done)
		return
	case errors.Is(err, kctport.ErrUnavailable):
		x.path.eject(via.ID)
	}
	done(r, err)
}

// servedInOwnZone reports whether the own zone has an endpoint of the service. An attempt then crosses zones only because that one is slow or
// busy, and a further hop would delay it more.
func (p *Path) servedInOwnZone(endpoint *kctport.EndpointRecord) bool {
	for _, f := range p.fleets.Fleet().Endpoints[endpoint.Service] {
		if f.Zone == p.zone {
			return true
		}
	}
	return endpoint.Zone == p.zone
}

// choose returns the entry of a zone through which this one relays, always the same one until it is ejected or no longer active, so that connections
// are reused.
func (p *Path) choose(zone kctport.Zone) (kctport.EntryRecord, bool) {
	var best kctport.EntryRecord
	var most uint64
	found := false
	now := p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.fleets.Fleet().Active {
		if e.Zone != zone || e.ID == p.self || e.Leaving || !e.Relay.IsValid() || p.ejectedUntil[e.ID].After(now) {
			continue
		}
		if s := score(p.self, e.ID); !found || s > most {
			best, most, found = e, s, true
		}
	}
	return best, found
}

// score ranks the entries of a zone by rendezvous hashing, differently for each requesting entry, which spreads the load evenly.
func score(a, b kctport.InstanceID) uint64 {
	h := fnv.New64a()
	// A hash's Write never fails.
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return h.Sum64()
}

func (p *Path) eject(id kctport.InstanceID) {
	now := p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, until := range p.ejectedUntil {
		if !until.After(now) {
			delete(p.ejectedUntil, other)
		}
	}
	p.ejectedUntil[id] = now.Add(ejectionTime)
}
