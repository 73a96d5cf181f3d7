package kctpath

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	kctport "kingcupturn"
)

// restTime is how long an entry that failed is not asked again; its endpoints are then reached straight.
const restTime = 2 * time.Second

// Path chooses the way of each attempt; it is safe for concurrent use.
type Path struct {
	self   kctport.InstanceID
	zone   kctport.Zone
	fleets kctport.Fleets
	direct kctport.Exchanger
	relay  kctport.Relay
	timer  kctport.Timer

	mu sync.Mutex
	// resting has the entries that failed and until when they are not asked.
	resting map[kctport.InstanceID]time.Time
}

var _ kctport.Exchanger = (*Path)(nil)

// New returns the paths of an entry.
func New(self kctport.EntryRecord, fleets kctport.Fleets, direct kctport.Exchanger, relay kctport.Relay, timer kctport.Timer) *Path {
	return &Path{
		self: self.ID, zone: self.Zone, fleets: fleets, direct: direct, relay: relay, timer: timer,
		resting: map[kctport.InstanceID]time.Time{},
	}
}

// Exchange sends an attempt by the way that costs least. What an entry has not sent for reasons of its own goes straight, while an endpoint
// that can't be reached from its own zone is left to the caller; repeats always go straight, so that a silent entry can't hold up both attempts.
func (p *Path) Exchange(ctx context.Context, server *kctport.EndpointRecord, m *kctport.Message, o kctport.ExchangeOptions) (kctport.Response, error) {
	if !o.Gathered || o.Repeat || p.atHome(server) {
		return p.direct.Exchange(ctx, server, m, o)
	}
	via, ok := p.choose(server.Zone)
	if !ok {
		return p.direct.Exchange(ctx, server, m, o)
	}
	r, err := p.relay.Exchange(ctx, via, server, m, o)
	switch {
	case err == nil || ctx.Err() != nil:
		return r, err
	case errors.Is(err, kctport.ErrDeclined):
		return p.direct.Exchange(ctx, server, m, o)
	case errors.Is(err, kctport.ErrNotRun) && errors.Is(err, kctport.ErrUnavailable):
		p.rest(via.ID)
		return p.direct.Exchange(ctx, server, m, o)
	case errors.Is(err, kctport.ErrUnavailable):
		p.rest(via.ID)
	}
	return r, err
}

// atHome reports whether the own zone has an endpoint of the service. Then an attempt crosses zones only because that one is slow or busy,
// and one more hop would make it later still.
func (p *Path) atHome(server *kctport.EndpointRecord) bool {
	for _, f := range p.fleets.Fleet().Endpoints[server.Service] {
		if f.Zone == p.zone {
			return true
		}
	}
	return server.Zone == p.zone
}

// choose returns the entry of a zone through which this one sends, always the same one while it works, so that connections stay in use.
func (p *Path) choose(zone kctport.Zone) (kctport.EntryRecord, bool) {
	var best kctport.EntryRecord
	var most uint64
	found := false
	now := p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.fleets.Fleet().Active {
		if e.Zone != zone || e.ID == p.self || e.Leaving || !e.Relay.IsValid() || p.resting[e.ID].After(now) {
			continue
		}
		if s := score(p.self, e.ID); !found || s > most {
			best, most, found = e, s, true
		}
	}
	return best, found
}

// score ranks the entries of a zone for each asking entry differently (rendezvous hashing), which spreads them evenly.
func score(a, b kctport.InstanceID) uint64 {
	h := fnv.New64a()
	// Writing to a hash doesn't fail.
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return h.Sum64()
}

func (p *Path) rest(id kctport.InstanceID) {
	now := p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, until := range p.resting {
		if !until.After(now) {
			delete(p.resting, other)
		}
	}
	p.resting[id] = now.Add(restTime)
}
