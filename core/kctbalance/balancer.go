package kctbalance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	kctport "kingcupturn"
)

const (
	// otherZone is the preference for an endpoint of the entry's own zone: a crossing adds about 2 ms to a work of 7 to 20 ms, and its bytes are
	// paid for. Lower values cross often, higher ones wait for a slow endpoint of the own zone (docs/MEASUREMENTS.md).
	otherZone = 3.0
	// coldPenalty sends work to a cold endpoint only when the others are busy; cold endpoints work 1.6 times as long.
	coldPenalty = 4.0
	// jitter keeps entries with the same picture from choosing the same endpoint.
	jitter = 0.15
	// stuckFactor is how many usual latencies an attempt may be pending before its endpoint is taken to be paused.
	stuckFactor = 1.5
	// pendingWeight is the cost of one pending attempt, in usual latencies.
	pendingWeight = 0.6
	// loadWeight is the cost of a full endpoint, in usual latencies.
	loadWeight = 0.5
	// connectionShare is the part of an endpoint's connections that entries use together; the rest is for entries that are being replaced.
	connectionShare = 0.6
	// usualWeight is the weight of one latency in a route's usual latency.
	usualWeight = 0.05
	// firstUsual is the usual latency of a route before its first answers.
	firstUsual = 20 * time.Millisecond
)

// Balancer chooses endpoints; it is safe for concurrent use.
type Balancer struct {
	zone kctport.Zone
	cold ColdBounds

	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[kctport.InstanceID]*endpoint
	usual     map[string]time.Duration
	number    uint64
}

// Option changes a balancer at construction.
type Option func(*Balancer)

// WithColdBounds sets the bound on requests to cold endpoints.
func WithColdBounds(c ColdBounds) Option {
	return func(b *Balancer) { b.cold = c }
}

// New returns a balancer for an entry of the zone; the seed drives the choice between endpoints that are alike.
func New(zone kctport.Zone, seed uint64, opts ...Option) *Balancer {
	b := &Balancer{
		zone: zone, cold: ColdBounds{defaultOvershoot, defaultColdSlack}, random: rand.New(rand.NewPCG(seed, seed)),
		endpoints: map[kctport.InstanceID]*endpoint{}, usual: map[string]time.Duration{},
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Criteria is what one attempt may use.
type Criteria struct {
	Service kctport.ServiceName
	Route   string
	// Tried lists endpoints that this request was sent to.
	Tried []kctport.InstanceID
}

// Attempt is one request on its way to an endpoint.
type Attempt struct {
	Endpoint *kctport.FleetEndpoint
	// Connections is this entry's share of the endpoint's connections.
	Connections int
	route       string
	number      uint64
	start       time.Time
}

// Start chooses an endpoint and counts the attempt as pending; nil means that none may get work now.
func (b *Balancer) Start(now time.Time, fleet *kctport.Fleet, choice Criteria) *Attempt {
	rule := fleet.Rules.Services[choice.Service]
	b.mu.Lock()
	defer b.mu.Unlock()
	spacing := b.cold.spacing(rule.ColdRate, fleet.LimitShares)
	var best, resting *kctport.FleetEndpoint
	var bestScore, soonest float64
	for _, s := range b.candidates(fleet, choice) {
		if slices.Contains(choice.Tried, s.ID) {
			continue
		}
		e := b.endpoint(s)
		if e.gone.After(now) || s.ColdUntil.After(now) && !e.cold.open(now) {
			continue
		}
		if wait := e.rest.Sub(now); wait > 0 {
			if resting == nil || wait.Seconds() < soonest {
				resting, soonest = s, wait.Seconds()
			}
			continue
		}
		if score := b.score(now, s, e, choice.Route); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		// An ejected endpoint is still better than none.
		best = resting
	}
	if best == nil {
		return nil
	}
	e := b.endpoint(best)
	if best.ColdUntil.After(now) {
		e.cold.pass(now, spacing)
	}
	b.number++
	e.pending[b.number] = now
	return &Attempt{Endpoint: best, Connections: Connections(fleet, choice.Service), route: choice.Route, number: b.number, start: now}
}

// candidates lists the endpoints of the version whose turn it is; a service that doesn't move has one version. Second attempts go to the old
// version, so that the new one gets no more than its share. The caller holds the lock.
func (b *Balancer) candidates(fleet *kctport.Fleet, choice Criteria) []*kctport.FleetEndpoint {
	servers := fleet.Endpoints[choice.Service]
	m, ok := fleet.Moves[choice.Service]
	if !ok || m.Share == 0 || m.Share == 1 {
		return servers
	}
	isNew := len(choice.Tried) == 0 && b.random.Float64() < m.Share
	kept := make([]*kctport.FleetEndpoint, 0, len(servers))
	for _, s := range servers {
		if (s.Version == m.To) == isNew {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return servers
	}
	return kept
}

// Connections is this entry's share of the connections of each endpoint of a service.
func Connections(fleet *kctport.Fleet, service kctport.ServiceName) int {
	return connections(fleet.Rules.Services[service], fleet.ActiveShares)
}

// connections is this entry's share of an endpoint's connections, at least one.
func connections(rule kctport.ServiceRule, sharers int) int {
	return max(1, int(float64(rule.Connections)*connectionShare/float64(max(1, sharers))))
}

// endpoint returns the state of a server's current life; the caller holds the lock.
func (b *Balancer) endpoint(s *kctport.FleetEndpoint) *endpoint {
	e := b.endpoints[s.ID]
	if e == nil || !e.started.Equal(s.Started) {
		e = newEndpoint(s.Started)
		b.endpoints[s.ID] = e
	}
	return e
}

// score estimates the latency of an attempt in usual latencies; the caller holds the lock.
func (b *Balancer) score(now time.Time, s *kctport.FleetEndpoint, e *endpoint, route string) float64 {
	usual := b.usualOf(route)
	score := e.decayed(now) * (1 + pendingWeight*float64(len(e.pending)) + loadWeight*e.reported(now))
	if waited := float64(e.oldest(now)) / float64(usual); waited > stuckFactor {
		score += waited
	}
	if e.failures > 0 {
		score *= 1 + float64(e.failures)
	}
	if s.Zone != b.zone {
		score *= otherZone
	}
	if s.ColdUntil.After(now) {
		score *= coldPenalty
	}
	return score * (1 + jitter*b.random.Float64())
}

func (b *Balancer) usualOf(route string) time.Duration {
	if u := b.usual[route]; u > 0 {
		return u
	}
	return firstUsual
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Latency is the time until the complete answer, 0 without one.
	Latency time.Duration
	// Failed is set when the endpoint failed or was silent, not when it refused or the caller left.
	Failed bool
	// Misdirected is set when another endpoint answered at the address.
	Misdirected bool
	Load        *kctport.Load
}

// Finish takes the attempt off the pending ones and learns from it.
func (b *Balancer) Finish(now time.Time, a *Attempt, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoints[a.Endpoint.ID]
	if e == nil {
		return
	}
	delete(e.pending, a.number)
	if !e.started.Equal(a.Endpoint.Started) {
		return
	}
	e.report(now, o.Load)
	switch {
	case o.Misdirected:
		e.gone = now.Add(goneTime)
	case o.Failed:
		e.failed(now)
	case o.Latency > 0:
		e.succeeded()
		usual := b.usualOf(a.route)
		e.learn(now, float64(o.Latency)/float64(usual))
		capped := min(o.Latency, time.Duration(maxSlowness)*usual)
		b.usual[a.route] = usual + time.Duration(usualWeight*float64(capped-usual))
	}
}

// Ejected lists the endpoints that rest after failures, for operators.
func (b *Balancer) Ejected(now time.Time) []kctport.InstanceID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []kctport.InstanceID
	for id, e := range b.endpoints {
		if e.rest.After(now) || e.gone.After(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Prune drops endpoints that the picture no longer has and routes that the rules no longer name.
func (b *Balancer) Prune(fleet *kctport.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[kctport.InstanceID]bool{}
	for _, servers := range fleet.Endpoints {
		for _, s := range servers {
			known[s.ID] = true
		}
	}
	for id, e := range b.endpoints {
		if !known[id] && len(e.pending) == 0 {
			delete(b.endpoints, id)
		}
	}
	if fleet.Rules == nil {
		return
	}
	routes := map[string]bool{}
	for _, r := range fleet.Rules.Routes {
		routes[r.Name] = true
	}
	for name := range b.usual {
		if !routes[name] {
			delete(b.usual, name)
		}
	}
}
