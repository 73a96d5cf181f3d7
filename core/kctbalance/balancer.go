package kctbalance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	kctport "kingcupturn"
)

const (
	// crossZoneCost is what an endpoint of another zone costs, in latencies of the route without waiting: crossing zones adds about 2 ms to 7 to 20 ms of
	// work, and cross-zone bytes are paid for. Lower values cross zones often, higher ones wait for a slow endpoint of the own zone.
	crossZoneCost = 2.0
	// coldPenalty is the factor for a cold endpoint, which gets requests only when the others are busy; a cold endpoint takes 1.6 times as long.
	coldPenalty = 4.0
	// lossPenalty is the factor by which an endpoint that refuses or fails all requests is worse than one that answers all: a repeat takes the place of
	// another extra attempt, of which there are few.
	lossPenalty = 15.0
	// scoreJitter keeps entries with the same fleet state from choosing the same endpoint.
	scoreJitter = 0.15
	// waitJitter is the same for the wait at an endpoint: what entries know of it is some milliseconds old, and all of them would choose the endpoint that had
	// the shortest queue.
	waitJitter = 0.7
	// loadWeight is the cost of a full endpoint that has no queue, in latencies, since endpoints slow down when they are nearly full.
	loadWeight = 0.5
	// connectionShare is the part of an endpoint's connections that all entries together use; the rest is for entries that are being replaced.
	connectionShare = 0.6
	// workWeight is the weight of one sample in a route's smoothed work (EWMA).
	workWeight = 0.05
	// initialWork is the work of a route before its first answers.
	initialWork = 20 * time.Millisecond
)

// Balancer chooses endpoints; it is safe for concurrent use.
type Balancer struct {
	self kctport.InstanceID
	zone kctport.Zone
	cold ColdBounds

	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[kctport.InstanceID]*endpoint
	// work holds the smoothed latency of each route without waiting.
	work     map[string]time.Duration
	services map[kctport.ServiceName]*serviceState
	// admissions counts the recent requests of each route.
	admissions map[string]*admissions
	number     uint64
	// limited is the number of endpoints that name a limit.
	limited int
	onLimit func(endpoint kctport.InstanceID, change string)
	// notices holds what endpoints said of themselves, drain is how long those that leave still answer.
	notices  map[incarnation]notice
	drain    time.Duration
	onNotice func(endpoint kctport.InstanceID, text string)
}

// Option configures a Balancer in New.
type Option func(*Balancer)

// WithColdBounds sets the bound on requests to cold endpoints.
func WithColdBounds(c ColdBounds) Option {
	return func(b *Balancer) { b.cold = c }
}

// WithOnLimit calls f when an endpoint names a limit, changes it or names it no longer.
func WithOnLimit(f func(endpoint kctport.InstanceID, change string)) Option {
	return func(b *Balancer) { b.onLimit = f }
}

// WithSelf sets the identifier of this entry, by which it knows its place among the active ones.
func WithSelf(self kctport.InstanceID) Option {
	return func(b *Balancer) { b.self = self }
}

// New returns a balancer for an entry of the zone; the seed determines its random choices.
func New(zone kctport.Zone, seed uint64, opts ...Option) *Balancer {
	b := &Balancer{
		zone: zone, cold: ColdBounds{defaultOvershoot, defaultColdSlack}, random: rand.New(rand.NewPCG(seed, seed)),
		endpoints: map[kctport.InstanceID]*endpoint{}, work: map[string]time.Duration{}, services: map[kctport.ServiceName]*serviceState{}, admissions: map[string]*admissions{},
		onLimit: func(kctport.InstanceID, string) {}, notices: map[incarnation]notice{}, drain: defaultDrain, onNotice: func(kctport.InstanceID, string) {},
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Criteria limit which endpoints an attempt may use.
type Criteria struct {
	Service kctport.ServiceName
	Route   string
	// Tried lists the endpoints to which the request has been sent.
	Tried []kctport.InstanceID
	// MaxWait is how long the attempt may wait for an endpoint that names a limit.
	MaxWait time.Duration
}

// Attempt is one request that was sent to an endpoint.
type Attempt struct {
	Endpoint *kctport.FleetEndpoint
	// Connections is this entry's share of the endpoint's connections.
	Connections int
	// Wait is the time for which the attempt must wait, so that the endpoint gets no more than it takes.
	Wait   time.Duration
	route  string
	number uint64
	start  time.Time
	// wait is the part of the expected time that the attempt waits at the endpoint, as a factor of the endpoint's work.
	wait float64
}

// Started returns when the endpoint was chosen.
func (a *Attempt) Started() time.Time {
	return a.start
}

// Start chooses an endpoint and counts the attempt as pending; nil means that no endpoint may get a request now.
func (b *Balancer) Start(now time.Time, fleet *kctport.Fleet, criteria Criteria) *Attempt {
	rule := fleet.Rules.Services[criteria.Service]
	b.mu.Lock()
	defer b.mu.Unlock()
	spacing := b.cold.spacing(rule.ColdRate, fleet)
	own := connections(rule, fleet.ConnectionShares)
	var best, ejected *kctport.FleetEndpoint
	var bestScore, shortest float64
	for _, s := range b.candidates(fleet, criteria) {
		if slices.Contains(criteria.Tried, s.ID) {
			continue
		}
		e := b.endpoint(s)
		if e.misdirectedUntil.After(now) || b.barred(now, &s.EndpointRecord) > 0 || b.isColdClosed(now, fleet, s, e) {
			continue
		}
		delay, ok := b.limitWait(now, fleet, s, e, criteria)
		if !ok {
			continue
		}
		if wait := e.ejectedUntil.Sub(now); wait > 0 {
			if ejected == nil || wait.Seconds() < shortest {
				ejected, shortest = s, wait.Seconds()
			}
			continue
		}
		score := b.score(now, s, e, criteria.Route, own) + float64(delay)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		// With only ejected endpoints left, use the one whose ejection ends first.
		best = ejected
	}
	if best == nil {
		return nil
	}
	e := b.endpoint(best)
	if best.ColdUntil.After(now) {
		e.cold.advance(now, spacing)
	}
	a := &Attempt{Endpoint: best, Connections: own, route: criteria.Route, start: now}
	if e.limiter != nil {
		a.Wait, _ = b.limitWait(now, fleet, best, e, criteria)
		e.limiter.tokens--
	}
	b.number++
	a.number = b.number
	a.wait = e.waitFactor(now, own)
	e.pending[a.number] = now
	return a
}

// candidates lists the endpoints of the version chosen for the attempt, or all of them when the service has no running move. Second attempts
// use the old version, so that the new one gets no more than its share. The caller holds the lock.
func (b *Balancer) candidates(fleet *kctport.Fleet, criteria Criteria) []*kctport.FleetEndpoint {
	endpoints := b.staying(fleet.Endpoints[criteria.Service])
	m, ok := fleet.Moves[criteria.Service]
	if !ok || m.Share == 0 || m.Share == 1 {
		return endpoints
	}
	isNew := len(criteria.Tried) == 0 && b.random.Float64() < m.Share
	kept := make([]*kctport.FleetEndpoint, 0, len(endpoints))
	for _, s := range endpoints {
		if (s.Version == m.To) == isNew {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return endpoints
	}
	return kept
}

// Connections returns this entry's share of the connections to each endpoint of a service, at least one.
func Connections(fleet *kctport.Fleet, service kctport.ServiceName) int {
	return connections(fleet.Rules.Services[service], fleet.ConnectionShares)
}

func connections(rule kctport.ServiceRule, shares int) int {
	return max(1, int(float64(rule.Connections)*connectionShare/float64(max(1, shares))))
}

// endpoint returns the state of the endpoint's current incarnation; the caller holds the lock.
func (b *Balancer) endpoint(s *kctport.FleetEndpoint) *endpoint {
	e := b.endpoints[s.ID]
	if e == nil || !e.started.Equal(s.Started) {
		if e != nil {
			b.forget(s.ID, e)
		}
		e = newEndpoint(s)
		b.endpoints[s.ID] = e
	}
	return e
}

// isColdClosed reports whether a cold endpoint gets no request of this entry now; the caller holds the lock.
func (b *Balancer) isColdClosed(now time.Time, fleet *kctport.Fleet, s *kctport.FleetEndpoint, e *endpoint) bool {
	if !s.ColdUntil.After(now) {
		return false
	}
	e.cold.begin(now, s.ColdUntil, b.cold.spacing(fleet.Rules.Services[s.Service].ColdRate, fleet), b.random.Float64())
	return !e.cold.open(now)
}

// forget drops the state of an endpoint; the caller holds the lock.
func (b *Balancer) forget(id kctport.InstanceID, e *endpoint) {
	if e.limiter != nil {
		b.limited--
	}
	delete(b.endpoints, id)
}

// score is the expected time of an attempt in nanoseconds, times the factors that speak against the endpoint; the caller holds the lock.
func (b *Balancer) score(now time.Time, s *kctport.FleetEndpoint, e *endpoint, route string, connections int) float64 {
	work, wait, stall := b.expected(now, s, e, route, connections)
	score := float64(work)*(1+loadWeight*min(1, e.load(now))) + float64(wait)*(1+waitJitter*b.random.Float64()) + float64(stall)
	score *= 1 + lossPenalty*e.lossShare(now)
	if s.Zone != b.zone {
		score += crossZoneCost * float64(b.routeWork(route))
	}
	if s.ColdUntil.After(now) {
		score *= coldPenalty
	}
	return score * (1 + scoreJitter*b.random.Float64())
}

// routeWork returns the time that a request of a route takes at a usual endpoint without waiting; the caller holds the lock.
func (b *Balancer) routeWork(route string) time.Duration {
	if w := b.work[route]; w > 0 {
		return w
	}
	return initialWork
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Latency is the time until the answer was complete, 0 without one.
	Latency time.Duration
	// Failed is set when the endpoint failed or did not answer, but not when it refused the request or the caller disconnected.
	Failed bool
	// Refused is set when the endpoint turned the request away for want of capacity.
	Refused bool
	// Misdirected is set when another endpoint answered at the address.
	Misdirected bool
	Load        *kctport.Load
	// RateLimit is the limit that the endpoint named in its answer, nil without one.
	RateLimit *float64
	// Notice is what the endpoint said of itself in its answer.
	Notice kctport.Notice
}

// Finish removes the attempt from the pending ones and records its outcome.
func (b *Balancer) Finish(now time.Time, a *Attempt, o Outcome) {
	if !o.Misdirected {
		b.RecordNotice(now, &a.Endpoint.EndpointRecord, o.Notice)
	}
	if change := b.finish(now, a, o); change != "" {
		b.onLimit(a.Endpoint.ID, change)
	}
}

// finish returns the text of a limit that the endpoint named or ended, empty without a change.
func (b *Balancer) finish(now time.Time, a *Attempt, o Outcome) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoints[a.Endpoint.ID]
	if e == nil {
		return ""
	}
	delete(e.pending, a.number)
	if !e.started.Equal(a.Endpoint.Started) {
		return ""
	}
	e.recordLoad(now, o.Load)
	change := b.recordLimit(now, e, o)
	switch {
	case o.Misdirected:
		e.misdirectedUntil = now.Add(misdirectedTime)
	case o.Refused:
		e.recordLoss(now, 1)
	case o.Failed:
		e.recordLoss(now, 1)
		e.recordFailure(now, a.start)
	case o.Latency > 0:
		e.recordSuccess()
		e.recordLoss(now, 0)
		b.recordWork(now, a, e, o.Latency)
	}
	return change
}

// recordWork records the latency of an attempt, less the part that was expected to be waiting; the caller holds the lock.
func (b *Balancer) recordWork(now time.Time, a *Attempt, e *endpoint, latency time.Duration) {
	work := b.routeWork(a.route)
	sample := float64(latency) / (1 + a.wait)
	e.recordLatency(now, sample/float64(work))
	capped := min(sample, maxRatio*float64(work))
	work += time.Duration(workWeight * (capped - float64(work)))
	b.work[a.route] = work
	service := b.service(a.Endpoint.Service)
	if service.work == 0 {
		service.work = work
	}
	service.work += time.Duration(workWeight * float64(work-service.work))
	e.work = time.Duration(e.ratio * float64(service.work))
}

// Ejected lists the endpoints that get no requests after failures or a misdirected answer, for operators.
func (b *Balancer) Ejected(now time.Time) []kctport.InstanceID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []kctport.InstanceID
	for id, e := range b.endpoints {
		if e.ejectedUntil.After(now) || e.misdirectedUntil.After(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Prune drops the state of endpoints that are no longer in the fleet state and of routes that are no longer in the rules.
func (b *Balancer) Prune(now time.Time, fleet *kctport.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pruneNotices(now, fleet)
	current := map[kctport.InstanceID]bool{}
	for _, list := range fleet.Endpoints {
		for _, s := range list {
			current[s.ID] = true
		}
	}
	for id, e := range b.endpoints {
		if !current[id] && len(e.pending) == 0 {
			b.forget(id, e)
		}
	}
	for name := range b.services {
		if len(fleet.Endpoints[name]) == 0 {
			delete(b.services, name)
		}
	}
	if fleet.Rules == nil {
		return
	}
	routes := map[string]bool{}
	for _, r := range fleet.Rules.Routes {
		routes[r.Name] = true
	}
	for name := range b.work {
		if !routes[name] {
			delete(b.work, name)
		}
	}
	for name := range b.admissions {
		if !routes[name] {
			delete(b.admissions, name)
		}
	}
}
