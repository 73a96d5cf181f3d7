package kctbalance

import (
	"math"
	"time"

	kctport "kingcupturn"
)

const (
	// waitShare is the part of the time that a route allows which its attempts may wait behind others, beside their work. A short queue keeps endpoints busy;
	// a longer one makes requests late without more of them being served.
	waitShare  = 0.65
	looseShare = 1.0
	// minWaitLimit is the least limit of the wait, in latencies of the service's requests.
	minWaitLimit = 0.5
	// routeRetention is how long a route without requests counts among those of a service.
	routeRetention = 5 * time.Second
	// fairShare is the served part of a route's requests, relative to that of another one, below which the other one leaves it room.
	fairShare = 0.85
	// scarceShare is the refused part of a route's requests from which waits are kept short, and requests do without full shards as far as they may.
	scarceShare = 0.05
	// refusedHalfLife is how fast the requests of a route are forgotten.
	refusedHalfLife = time.Second
)

// serviceState is what the balancer knows of a service as a whole.
type serviceState struct {
	// work is the smoothed latency without waiting over the routes that use the service.
	work time.Duration
	// routes holds the routes that use it.
	routes map[string]routeUse
	// emptyAt is when its endpoints last had no token left, fullAt when they last had too long a queue.
	emptyAt time.Time
	fullAt  time.Time
}

// routeUse is the use of a service by a route.
type routeUse struct {
	last time.Time
	// allowed is the time within which its requests are to be answered.
	allowed time.Duration
}

// service returns the state of a service; the caller holds the lock.
func (b *Balancer) service(name kctport.ServiceName) *serviceState {
	s := b.services[name]
	if s == nil {
		s = &serviceState{routes: map[string]routeUse{}}
		b.services[name] = s
	}
	return s
}

// waitLimit returns how long an attempt of a route may be expected to wait behind others. A route that allows long waits leaves no room to one that allows
// only short ones; when much more of the other's requests are refused for that, both get the same limit. The caller holds the lock.
func (b *Balancer) waitLimit(now time.Time, s *serviceState, route string) time.Duration {
	share := looseShare
	if b.refusesRequests(now, s) {
		share = waitShare
	}
	own := func(name string) time.Duration {
		return time.Duration(share*float64(s.routes[name].allowed)) - b.routeWork(name)
	}
	limit, served := own(route), 1-b.refusedShare(now, route)
	for name, use := range s.routes {
		if now.Sub(use.last) > routeRetention {
			delete(s.routes, name)
		} else if fair := (1 - b.refusedShare(now, name)) / served; name != route && fair < fairShare {
			limit = min(limit, time.Duration(fair*float64(own(name))))
		}
	}
	return max(limit, time.Duration(minWaitLimit*float64(s.work)))
}

// admissions counts the requests of a route, weighted by age.
type admissions struct {
	requests float64
	// refused are the requests that were refused because endpoints were full.
	refused float64
	at      time.Time
}

// decay reduces the weight of earlier requests.
func (a *admissions) decay(now time.Time) {
	weight := a.weight(now)
	a.requests, a.refused, a.at = a.requests*weight, a.refused*weight, now
}

// weight returns the weight that the counted requests have by now.
func (a *admissions) weight(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(a.at)) / float64(refusedHalfLife))
}

// RecordAdmission counts a request of a route, which was admitted or was refused because endpoints are full.
func (b *Balancer) RecordAdmission(now time.Time, route string, admitted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.admissions[route]
	if a == nil {
		a = &admissions{at: now}
		b.admissions[route] = a
	}
	a.decay(now)
	a.requests++
	if !admitted {
		a.refused++
	}
}

// RefusedShare returns the share of a route's recent requests that were refused because endpoints were full, 0 to 1.
func (b *Balancer) RefusedShare(now time.Time, route string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusedShare(now, route)
}

// refusedShare returns the share of a route's recent requests that were refused; the caller holds the lock.
func (b *Balancer) refusedShare(now time.Time, route string) float64 {
	a := b.admissions[route]
	if a == nil || a.refused == 0 {
		return 0
	}
	weight := a.weight(now)
	// The shares of few or old requests say little.
	return a.refused * weight / (a.requests*weight + 1)
}

// Outlook is what one more attempt at a service can be expected to take at the endpoint where it takes least.
type Outlook struct {
	// Work is the time that the endpoint works on it, Wait the time that it waits there behind others.
	Work time.Duration
	Wait time.Duration
	// Limit is the wait from which the service takes no more requests.
	Limit time.Duration
	// Scarce is set when the wait was too long recently and requests were refused for that, so that others should do without the service as far as they may.
	Scarce bool
	// Closed is the time until an endpoint may be used again, 0 when one may be now; the fields above are then unknown.
	Closed time.Duration
}

// Outlook returns what an attempt at a service can be expected to take now. allowed is the time within which the request of the route is to be answered.
func (b *Balancer) Outlook(now time.Time, fleet *kctport.Fleet, service kctport.ServiceName, route string, allowed time.Duration) Outlook {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.service(service)
	state.routes[route] = routeUse{last: now, allowed: allowed}
	connections := Connections(fleet, service)
	best, stalled := Outlook{Closed: -1}, time.Duration(0)
	// An endpoint that would be late without any wait counts only when all are such: the others are then busy, and the request would be late for that.
	inTime := false
	for _, s := range b.staying(fleet.Endpoints[service]) {
		e := b.endpoint(s)
		closed := max(e.misdirectedUntil.Sub(now), e.ejectedUntil.Sub(now), b.barred(now, &s.EndpointRecord))
		if b.isColdClosed(now, fleet, s, e) {
			closed = max(closed, e.cold.next.Sub(now))
		}
		if closed > 0 {
			if best.Closed < 0 || closed < best.Closed {
				best.Closed = closed
			}
			continue
		}
		work, wait, stall := b.expected(now, s, e, route, connections)
		isBetter := best.Closed != 0 || work+wait+stall < best.Work+best.Wait+stalled
		if usual := work <= allowed; usual != inTime {
			isBetter = usual || best.Closed != 0
		}
		if isBetter {
			best, stalled, inTime = Outlook{Work: work, Wait: wait}, stall, work <= allowed
		}
	}
	if best.Closed != 0 {
		best.Closed = max(0, best.Closed)
		return best
	}
	best.Limit = b.waitLimit(now, state, route)
	if best.Wait > best.Limit {
		state.fullAt = now
	}
	best.Scarce = !state.fullAt.IsZero() && now.Sub(state.fullAt) < scarceTime && b.refusesRequests(now, state)
	return best
}

// refusesRequests reports whether requests of a route that uses the service are refused; the caller holds the lock.
func (b *Balancer) refusesRequests(now time.Time, s *serviceState) bool {
	for name := range s.routes {
		if b.refusedShare(now, name) > scarceShare {
			return true
		}
	}
	return false
}

// expected returns how long an endpoint can be expected to work on an attempt, how long the attempt waits behind others before, and how long the endpoint
// has not answered although it should have; the caller holds the lock.
func (b *Balancer) expected(now time.Time, s *kctport.FleetEndpoint, e *endpoint, route string, connections int) (work, wait, stall time.Duration) {
	ratio := e.latencyRatio(now)
	work = time.Duration(ratio * float64(b.routeWork(route)))
	mixed := b.service(s.Service).work
	if mixed == 0 {
		mixed = b.routeWork(route)
	}
	wait = time.Duration(ratio * e.waitFactor(now, connections) * float64(mixed))
	if longest := e.longestPending(now); float64(longest) > pausedFactor*float64(work+wait) {
		stall = longest
	}
	return work, wait, stall
}
