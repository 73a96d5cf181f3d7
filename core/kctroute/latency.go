package kctroute

import (
	"math"
	"sync"
	"time"

	kctport "kingcupturn"
)

const (
	// endpointWeight is the weight of one attempt in the smoothed latency of an endpoint. It is high so that three attempts
	// are enough to avoid a straggler.
	endpointWeight = 0.3
	// serviceWeight is the weight of one attempt in the smoothed latency of a service. Latencies are clipped at serviceClip
	// times the average, so that one straggler among three endpoints doesn't dominate it.
	serviceWeight = 0.02
	serviceClip   = 2
	// halfLife is the time in which the deviation of an endpoint's latency from that of its service decays by half, so that
	// a former straggler is tried again.
	halfLife = 5 * time.Second
	// A replica in another zone is preferred when the latency in the own zone exceeds otherZoneFactor times its latency plus
	// otherZoneSlack.
	otherZoneFactor = 2
	otherZoneSlack  = 2 * time.Millisecond
)

// latencies are the smoothed latencies of endpoints and services, measured by the attempts of this entry.
type latencies struct {
	endpoints sync.Map // kctport.InstanceID to *estimate
	services  sync.Map // kctport.ServiceName to *estimate
}

// estimate is an exponentially weighted moving average.
type estimate struct {
	mu      sync.Mutex
	latency time.Duration
	at      time.Time
}

func (e *estimate) read() (time.Duration, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latency, e.at
}

// record records an attempt; one that was given up took at least the latency, so it can only raise the estimates.
func (l *latencies) record(r *kctport.Replica, latency time.Duration, givenUp bool, now time.Time) {
	before := l.expected(r, now)
	if givenUp && latency <= before {
		return
	}
	s := loadEstimate(&l.services, r.Service)
	s.mu.Lock()
	if s.latency == 0 {
		s.latency = latency
	}
	s.latency += time.Duration(serviceWeight * float64(min(latency, serviceClip*s.latency)-s.latency))
	s.mu.Unlock()
	if before == 0 {
		before = latency
	}
	e := loadEstimate(&l.endpoints, r.ID)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latency, e.at = before+time.Duration(endpointWeight*float64(latency-before)), now
}

// expected returns the expected latency of an endpoint: its smoothed latency, which decays to that of its service; 0 before
// any attempt at the service.
func (l *latencies) expected(r *kctport.Replica, now time.Time) time.Duration {
	s, ok := l.services.Load(r.Service)
	if !ok {
		return 0
	}
	typical, _ := s.(*estimate).read()
	e, ok := l.endpoints.Load(r.ID)
	if !ok {
		return typical
	}
	own, at := e.(*estimate).read()
	decay := math.Exp2(-max(now.Sub(at), 0).Seconds() / halfLife.Seconds())
	return typical + time.Duration(decay*float64(own-typical))
}

func loadEstimate[K comparable](m *sync.Map, key K) *estimate {
	e, ok := m.Load(key)
	if !ok {
		e, _ = m.LoadOrStore(key, new(estimate))
	}
	return e.(*estimate)
}
