package kctbalance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctmember"
)

const (
	// limitOvershoot, limitSlack and limitWindow are the users' bound on an endpoint that names a limit: over all entries together it may get, in
	// any window, one and a half times what the limit allows and 5 requests.
	limitOvershoot = 1.5
	limitSlack     = 5.0
	limitWindow    = 4 * time.Second
	// limitSafety leaves room for the bursts of all entries at the same moment, and for entries that disagree on who is active.
	limitSafety = 0.75
	// limitBurst is the time whose tokens an entry may accumulate.
	limitBurst = 500 * time.Millisecond
	// probeShare is the part of a limit for entries that have no share of it; they learn from these requests that it has ended.
	probeShare = 0.1
	// scarceTime is how long a service counts as scarce after its endpoints had no token left.
	scarceTime = 2 * time.Second
	// limitLogRatio is the factor by which a limit must change for the change to be reported.
	limitLogRatio = 1.25
)

// limiter is this entry's share of the rate limit that an endpoint names, a token bucket. Tokens below 0 are promised to attempts that wait.
type limiter struct {
	// limit is the number of requests a second that the endpoint takes from all entries together.
	limit  float64
	tokens float64
	at     time.Time
	// own is this entry's share, computed once for each fleet state and limit: ranking thousands of entries takes 0.5 ms.
	own      share
	ownFleet *kctport.Fleet
	ownLimit float64
}

// share is the part of an endpoint's limit that one entry may use.
type share struct {
	// rate is in requests a second, capacity in requests.
	rate     float64
	capacity float64
}

// ownShare returns this entry's share of the endpoint's limit; the caller holds the lock.
func (b *Balancer) ownShare(fleet *kctport.Fleet, id kctport.InstanceID, l *limiter) share {
	if l.ownFleet != fleet || l.ownLimit != l.limit {
		l.own, l.ownFleet, l.ownLimit = b.limitShare(fleet, id, l.limit), fleet, l.limit
	}
	return l.own
}

// recordLimit stores the limit that an answer names, or ends it after a success without one; it returns the text of the change, if any. The caller
// holds the lock.
func (b *Balancer) recordLimit(now time.Time, e *endpoint, o Outcome) string {
	switch {
	case o.Misdirected:
		return ""
	case o.RateLimit != nil && e.limiter == nil:
		b.limited++
		// Entries learn a limit at about the same time. Each begins at a random point of its interval between two requests.
		e.limiter = &limiter{limit: *o.RateLimit, tokens: -b.random.Float64(), at: now}
	case o.RateLimit != nil:
		old := e.limiter.limit
		e.limiter.limit = *o.RateLimit
		if old <= *o.RateLimit*limitLogRatio && *o.RateLimit <= old*limitLogRatio {
			return ""
		}
	case o.Latency > 0 && e.limiter != nil:
		b.limited--
		e.limiter = nil
		return "none"
	default:
		return ""
	}
	return fmt.Sprintf("%g requests a second", *o.RateLimit)
}

// limitWait returns how long an attempt must wait for the endpoint's limit, and false when that is longer than it may; the caller holds the lock.
func (b *Balancer) limitWait(now time.Time, fleet *kctport.Fleet, s *kctport.FleetEndpoint, e *endpoint, criteria Criteria) (time.Duration, bool) {
	if e.limiter == nil {
		return 0, true
	}
	own := b.ownShare(fleet, s.ID, e.limiter)
	e.limiter.refill(now, own)
	wait := e.limiter.wait(own)
	return wait, wait <= criteria.MaxWait
}

// refill adds the tokens since the last call.
func (l *limiter) refill(now time.Time, s share) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.tokens, l.at = min(s.capacity, l.tokens+s.rate*elapsed.Seconds()), now
	}
}

// wait returns the time until there is a token.
func (l *limiter) wait(s share) time.Duration {
	missing := 1 - l.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / s.rate * float64(time.Second))
}

// limitShare divides the limit of an endpoint among the active entries. When that would leave an entry less than one request a second, only so many
// entries share it, chosen by rendezvous hashing: each entry that may send needs a token of its own, and many tokens together exceed a small limit.
func (b *Balancer) limitShare(fleet *kctport.Fleet, id kctport.InstanceID, limit float64) share {
	total := limitSafety * (limitOvershoot*limit + limitSlack/limitWindow.Seconds())
	entries := max(1, len(fleet.Active), fleet.ActiveShares-1)
	if !slices.ContainsFunc(fleet.Active, func(e kctport.EntryRecord) bool { return e.ID == b.self }) {
		entries = max(entries, fleet.LimitShares)
	}
	sharing := min(entries, max(1, int(total)))
	if sharing == entries {
		return newShare(total / float64(entries))
	}
	if b.limitRank(fleet, id) < sharing {
		return newShare((1 - probeShare) * total / float64(sharing))
	}
	return newShare(probeShare * total / float64(entries-sharing))
}

func newShare(rate float64) share {
	return share{rate: rate, capacity: max(1, rate*limitBurst.Seconds())}
}

// limitRank returns this entry's place among the active entries in the order of an endpoint.
func (b *Balancer) limitRank(fleet *kctport.Fleet, id kctport.InstanceID) int {
	own := kctmember.Score(string(id), b.self)
	rank := 0
	for _, e := range fleet.Active {
		if e.ID != b.self && cmp.Or(cmp.Compare(kctmember.Score(string(id), e.ID), own), cmp.Compare(e.ID, b.self)) > 0 {
			rank++
		}
	}
	return rank
}

// Room is what the limits of a service's endpoints leave for one more request of this entry.
type Room struct {
	// Wait is the time until an endpoint may get the request, 0 when one may now or when limits are not the cause.
	Wait time.Duration
	// Fill is the part of the tokens that is left, 0 to 1; it is 1 when an endpoint without a limit is usable.
	Fill float64
	// Scarce is set while the endpoints had no token left at some time recently.
	Scarce bool
}

// Room returns the room that limits leave for a request.
func (b *Balancer) Room(now time.Time, fleet *kctport.Fleet, service kctport.ServiceName) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limited == 0 {
		return Room{Fill: 1}
	}
	var tokens, capacity float64
	wait := time.Duration(-1)
	for _, s := range b.staying(fleet.Endpoints[service]) {
		e := b.endpoint(s)
		if e.misdirectedUntil.After(now) || e.ejectedUntil.After(now) || b.barred(now, &s.EndpointRecord) > 0 || b.isColdClosed(now, fleet, s, e) {
			continue
		}
		if e.limiter == nil {
			return Room{Fill: 1}
		}
		own := b.ownShare(fleet, s.ID, e.limiter)
		e.limiter.refill(now, own)
		tokens, capacity = tokens+max(0, e.limiter.tokens), capacity+own.capacity
		if w := e.limiter.wait(own); wait < 0 || w < wait {
			wait = w
		}
	}
	if wait < 0 {
		return Room{Fill: 1}
	}
	state := b.service(service)
	if wait > 0 {
		state.emptyAt = now
	}
	return Room{Wait: wait, Fill: tokens / capacity, Scarce: !state.emptyAt.IsZero() && now.Sub(state.emptyAt) < scarceTime}
}

// Limited returns the number of endpoints that name a limit.
func (b *Balancer) Limited() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limited
}
