package kctmove

import (
	"math"
	"time"

	kctport "kingcupturn"
)

const (
	// maxRestarts bounds the warm-ups of one endpoint, so that a version which keeps restarting isn't cold for ever.
	maxRestarts = 2
	// maxColdParts bounds the time in multiples of the warm-up for which an endpoint may say that it is cold.
	maxColdParts = 2
)

// endpoint is an endpoint of either version.
type endpoint struct {
	zone     kctport.Zone
	version  kctport.VersionName
	boot     uint64
	restarts int
	usable   bool
	health   kctport.Health
	// warming is when the endpoint became usable or, where its attempts are
	// observed, got its first one; it is zero for one that was warm from the start.
	warming time.Time
	served  bool
}

// serve starts the warm-up at the first attempt, since without traffic an
// endpoint stays cold: at a low share the first attempt may come late.
func (e *endpoint) serve(now time.Time) {
	if !e.served && !e.warming.IsZero() {
		e.warming = now
	}
	e.served = true
}

// refresh takes the endpoint table; endpoints of the old version that were there first are taken as warm.
func (m *tracked) refresh(now time.Time, replicas []*kctport.Replica) {
	first := len(m.endpoints) == 0
	seen := make(map[kctport.InstanceID]bool, len(replicas))
	for _, r := range replicas {
		if r.Service != m.move.Service || r.Version != m.move.From && r.Version != m.move.To {
			continue
		}
		seen[r.ID] = true
		e := m.endpoints[r.ID]
		if e == nil {
			e = &endpoint{zone: r.Zone, version: r.Version, boot: r.Status.BootID}
			m.endpoints[r.ID] = e
			if r.Version == m.move.To || !first {
				e.warming = now
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
	if boot := r.Status.BootID; boot != 0 && boot != e.boot {
		if e.boot != 0 && e.restarts < maxRestarts {
			e.restarts++
			e.warming, e.served = now, false
		}
		e.boot = boot
	}
	// The warm-up begins when the endpoint becomes usable.
	if r.Usable && !e.usable && !e.warming.IsZero() && e.restarts == 0 {
		e.warming = now
	}
	e.usable, e.health, e.version, e.zone = r.Usable, r.Health, r.Version, r.Zone
}

// cold reports whether the endpoint's latencies are no evidence yet.
//
// An endpoint whose owner sees it as cold gets longer, but not without end:
// a version that never gets warm is bad.
func (e *endpoint) cold(now time.Time, p plan) bool {
	if e.warming.IsZero() {
		return e.health == kctport.HealthCold
	}
	age := now.Sub(e.warming)
	return age < p.warm || e.health == kctport.HealthCold && age < p.cold
}

// ready counts the usable and the warm endpoints of the new version.
func (m *tracked) ready(now time.Time) (int, int) {
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

const (
	// warmthKeep is the weight that one reply leaves to the earlier ones; four timed replies make a version warm.
	warmthKeep = 0.7
	// warmShare of the replies must come from warm endpoints.
	warmShare = 2.0 / 3
)

// warmth is the weighted share of the new version's replies that came from
// warm endpoints. The entry that holds the move learns from it when the
// endpoints that others own are warm. Weights go by replies, since by time a
// service with few requests would never gather enough of them.
type warmth float64

func (w *warmth) add(replies, timed int) {
	if replies <= 0 {
		return
	}
	keep := math.Pow(warmthKeep, float64(replies))
	*w = warmth(keep*float64(*w) + (1-keep)*float64(timed)/float64(replies))
}

func (w warmth) warm() bool {
	return w >= warmShare
}
