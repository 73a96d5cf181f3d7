package kctmove

import (
	"math"
	"time"

	kctport "kingcupturn"
)

const (
	// maxRestarts bounds the warm-ups of one endpoint, so that a version which keeps restarting isn't treated as cold indefinitely.
	maxRestarts = 2
	// maxColdFactor bounds the time for which an endpoint may report itself as cold, in multiples of the warm-up.
	maxColdFactor = 2
)

// endpoint is the state of an endpoint of either version.
type endpoint struct {
	zone     kctport.Zone
	version  kctport.VersionName
	bootID   uint64
	restarts int
	usable   bool
	health   kctport.Health
	// warmupStart is when the endpoint became usable or, if this entry observes
	// its attempts, the time of the first one; it is zero if the endpoint was warm from the start.
	warmupStart time.Time
	served      bool
}

// recordAttempt starts the warm-up at the first attempt: an endpoint without
// traffic stays cold, and at a low share the first attempt may come late.
func (e *endpoint) recordAttempt(now time.Time) {
	if !e.served && !e.warmupStart.IsZero() {
		e.warmupStart = now
	}
	e.served = true
}

// updateEndpoints updates the endpoints of both versions; those of the old version in the first update count as warm.
func (m *trackedMove) updateEndpoints(now time.Time, replicas []*kctport.Replica) {
	initial := len(m.endpoints) == 0
	seen := make(map[kctport.InstanceID]bool, len(replicas))
	for _, r := range replicas {
		if r.Service != m.move.Service || r.Version != m.move.From && r.Version != m.move.To {
			continue
		}
		seen[r.ID] = true
		e := m.endpoints[r.ID]
		if e == nil {
			e = &endpoint{zone: r.Zone, version: r.Version, bootID: r.Status.BootID}
			m.endpoints[r.ID] = e
			if r.Version == m.move.To || !initial {
				e.warmupStart = now
			}
		}
		e.update(now, r)
	}
	for id := range m.endpoints {
		if !seen[id] {
			delete(m.endpoints, id)
		}
	}
}

func (e *endpoint) update(now time.Time, r *kctport.Replica) {
	if bootID := r.Status.BootID; bootID != 0 && bootID != e.bootID {
		if e.bootID != 0 && e.restarts < maxRestarts {
			e.restarts++
			e.warmupStart, e.served = now, false
		}
		e.bootID = bootID
	}
	// The warm-up begins when the endpoint becomes usable.
	if r.Usable && !e.usable && !e.warmupStart.IsZero() && e.restarts == 0 {
		e.warmupStart = now
	}
	e.usable, e.health, e.version, e.zone = r.Usable, r.Health, r.Version, r.Zone
}

// cold reports whether the endpoint's latencies are no evidence yet.
//
// An endpoint that its owner reports as cold gets more time, up to a limit,
// since a version that never becomes warm is bad.
func (e *endpoint) cold(now time.Time, p plan) bool {
	if e.warmupStart.IsZero() {
		return e.health == kctport.HealthCold
	}
	age := now.Sub(e.warmupStart)
	return age < p.warmup || e.health == kctport.HealthCold && age < p.cold
}

// countReady counts the usable and the warm endpoints of the new version.
func (m *trackedMove) countReady(now time.Time) (int, int) {
	usable, warm := 0, 0
	for _, e := range m.endpoints {
		if e.version != m.move.To || !e.usable {
			continue
		}
		usable++
		if !e.cold(now, m.plan) {
			warm++
		}
	}
	return usable, warm
}

// usableZones counts the zones with usable endpoints of the new version.
func (m *trackedMove) usableZones() int {
	zones := map[kctport.Zone]bool{}
	for _, e := range m.endpoints {
		if e.version == m.move.To && e.usable {
			zones[e.zone] = true
		}
	}
	return len(zones)
}

const (
	// warmFractionDecay is the weight that the earlier replies keep after one more; four timed replies make a version warm.
	warmFractionDecay = 0.7
	// minWarmFraction is the share of replies from warm endpoints at which the version counts as warm.
	minWarmFraction = 2.0 / 3
)

// warmFraction is the weighted share of the new version's replies that came
// from warm endpoints. The holder of the move needs it for the endpoints that
// other entries own. The weights decay by reply, since with decay by time a
// service with few requests would never reach the minimum.
type warmFraction float64

func (w *warmFraction) add(replies, timed int) {
	if replies <= 0 {
		return
	}
	keep := math.Pow(warmFractionDecay, float64(replies))
	*w = warmFraction(keep*float64(*w) + (1-keep)*float64(timed)/float64(replies))
}

func (w warmFraction) warm() bool {
	return w >= minWarmFraction
}
