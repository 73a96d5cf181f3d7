package kctbalance

import (
	"fmt"
	"time"

	kctport "kingcupturn"
)

const (
	// defaultDrain is how long an endpoint that leaves answers requests when the settings don't say.
	defaultDrain = 3 * time.Second
	// leavingShare is the part of that time in which an endpoint that leaves still gets requests, if all endpoints of its service leave.
	leavingShare = 0.8
	// replacementDelay is when an endpoint that left is expected to be replaced.
	replacementDelay = time.Second
	// maxPause bounds the pause that an endpoint may ask for. One that starts again has a new start time, which ends the pause.
	maxPause = time.Hour
	// noticeRetention is how long notices of endpoints that are no longer in the fleet state are kept: they may come back when their zone does.
	noticeRetention = 10 * time.Minute
)

// incarnation is one run of an endpoint.
type incarnation struct {
	id      kctport.InstanceID
	started time.Time
}

func incarnationOf(e *kctport.EndpointRecord) incarnation {
	return incarnation{e.ID, e.Started.Round(0).UTC()}
}

// notice is what an incarnation has said of itself in its answers. It is kept when the endpoint's other state is dropped.
type notice struct {
	// leavingAt is when this entry first heard that the endpoint leaves, zero when it does not.
	leavingAt   time.Time
	pausedUntil time.Time
	at          time.Time
}

// WithDrain sets how long an endpoint that leaves still answers requests.
func WithDrain(drain time.Duration) Option {
	return func(b *Balancer) { b.drain = drain }
}

// WithOnNotice calls f when an endpoint says that it leaves or asks for a pause.
func WithOnNotice(f func(endpoint kctport.InstanceID, text string)) Option {
	return func(b *Balancer) { b.onNotice = f }
}

// RecordNotice stores what an endpoint said of itself in an answer.
func (b *Balancer) RecordNotice(now time.Time, e *kctport.EndpointRecord, n kctport.Notice) {
	if n == (kctport.Notice{}) {
		return
	}
	b.mu.Lock()
	text := b.recordNotice(now, incarnationOf(e), n)
	b.mu.Unlock()
	if text != "" {
		b.onNotice(e.ID, text)
	}
}

// recordNotice returns the text of a notice that is new, empty otherwise; the caller holds the lock.
func (b *Balancer) recordNotice(now time.Time, i incarnation, n kctport.Notice) string {
	known, text := b.notices[i], ""
	if n.Leaving && known.leavingAt.IsZero() {
		known.leavingAt, text = now, "leaves"
	}
	pause := min(maxPause, n.Pause)
	if until := now.Add(pause); pause > 0 && until.After(known.pausedUntil) {
		if text == "" && !known.pausedUntil.After(now) {
			text = fmt.Sprintf("wants no requests for %v", pause)
		}
		known.pausedUntil = until
	}
	known.at = now
	b.notices[i] = known
	return text
}

// Barred returns the time for which an endpoint must get no requests for what it said in its answers, 0 for one that may get them, and the notice by which
// other entries learn of it.
func (b *Balancer) Barred(now time.Time, e *kctport.EndpointRecord) (time.Duration, kctport.Notice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.notices[incarnationOf(e)]
	return b.barred(now, e), kctport.Notice{Leaving: !n.leavingAt.IsZero(), Pause: max(0, n.pausedUntil.Sub(now))}
}

// barred is Barred for a caller that holds the lock.
func (b *Balancer) barred(now time.Time, e *kctport.EndpointRecord) time.Duration {
	if len(b.notices) == 0 {
		return 0
	}
	n := b.notices[incarnationOf(e)]
	wait := max(0, n.pausedUntil.Sub(now))
	if !n.leavingAt.IsZero() && now.Sub(n.leavingAt) >= time.Duration(leavingShare*float64(b.drain)) {
		wait = max(wait, replacementDelay)
	}
	return wait
}

// staying returns a service's endpoints without those that leave, or all of them when each one leaves; the caller holds the lock.
func (b *Balancer) staying(endpoints []*kctport.FleetEndpoint) []*kctport.FleetEndpoint {
	if len(b.notices) == 0 {
		return endpoints
	}
	kept := make([]*kctport.FleetEndpoint, 0, len(endpoints))
	for _, s := range endpoints {
		if b.notices[incarnationOf(&s.EndpointRecord)].leavingAt.IsZero() {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return endpoints
	}
	return kept
}

// ServiceBarred returns the time until an endpoint of a service may get requests when all have said that they take none, 0 otherwise.
func (b *Balancer) ServiceBarred(now time.Time, fleet *kctport.Fleet, service kctport.ServiceName) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	shortest := time.Duration(0)
	for i, s := range b.staying(fleet.Endpoints[service]) {
		wait := b.barred(now, &s.EndpointRecord)
		if wait == 0 {
			return 0
		}
		if i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// Notices returns the numbers of endpoints that said that they leave and of those that want no requests now.
func (b *Balancer) Notices(now time.Time) (leaving, paused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.notices {
		if !n.leavingAt.IsZero() {
			leaving++
		}
		if n.pausedUntil.After(now) {
			paused++
		}
	}
	return leaving, paused
}

// pruneNotices drops old notices of incarnations that are not in the fleet state; the caller holds the lock.
func (b *Balancer) pruneNotices(now time.Time, fleet *kctport.Fleet) {
	if len(b.notices) == 0 {
		return
	}
	current := map[incarnation]bool{}
	for _, list := range fleet.Endpoints {
		for _, s := range list {
			current[incarnationOf(&s.EndpointRecord)] = true
		}
	}
	for i, n := range b.notices {
		if !current[i] && now.Sub(n.at) > noticeRetention {
			delete(b.notices, i)
		}
	}
}
