package kctroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// Picker picks by power of two choices: the cheaper of two random replicas by expected latency and attempts in flight. It
// prefers the own zone and is safe for concurrent use.
type Picker struct {
	index     *Index
	inFlight  func(kctport.InstanceID) int
	random    func(n int) int
	estimates latencies
}

// Option changes a Picker at construction.
type Option func(*Picker)

// WithInFlight sets the function that returns the number of attempts that this entry has in flight at an endpoint.
func WithInFlight(f func(kctport.InstanceID) int) Option {
	return func(p *Picker) { p.inFlight = f }
}

// WithRandom replaces the random source; f returns a number in [0, n).
func WithRandom(f func(n int) int) Option {
	return func(p *Picker) { p.random = f }
}

// WithIndex shares an index with others that read the same views.
func WithIndex(x *Index) Option {
	return func(p *Picker) { p.index = x }
}

// NewPicker returns a Picker with its own Index and random source unless options change them.
func NewPicker(opts ...Option) *Picker {
	p := &Picker{index: NewIndex(), inFlight: func(kctport.InstanceID) int { return 0 }, random: rand.IntN}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Pick implements kctport.Picker.
func (p *Picker) Pick(view *kctport.View, part kctport.Part, snapshot kctport.Snapshot, request string, tried []kctport.InstanceID) (*kctport.Replica, error) {
	all, err := p.index.candidates(view, part, snapshot, request, tried)
	if err != nil {
		return nil, err
	}
	sameZone := filter(all, func(r *kctport.Replica) bool { return r.Zone == view.Self.Zone })
	other := p.lessLoaded(view, all)
	if len(sameZone) == 0 || len(sameZone) == len(all) {
		return other, nil
	}
	r := p.lessLoaded(view, sameZone)
	if p.inFlight(r.ID) < slots(r) && p.estimates.expected(r, view.At) <= otherZoneFactor*p.estimates.expected(other, view.At)+otherZoneSlack {
		return r, nil
	}
	return other, nil
}

// RecordLatency implements kctport.LatencyRecorder.
func (p *Picker) RecordLatency(r *kctport.Replica, latency time.Duration, givenUp bool, now time.Time) {
	p.estimates.record(r, latency, givenUp, now)
}

// lessLoaded returns the candidate with the lower cost out of two random ones.
func (p *Picker) lessLoaded(view *kctport.View, rs []*kctport.Replica) *kctport.Replica {
	if len(rs) == 1 {
		return rs[0]
	}
	i := p.random(len(rs))
	j := p.random(len(rs) - 1)
	if j >= i {
		j++
	}
	a, b := rs[i], rs[j]
	if p.cost(view, b) < p.cost(view, a) {
		return b
	}
	return a
}

// cost returns the expected latency times the attempts in flight with one more. They are not divided by the slots, since
// gates admit fewer when many endpoints become slow at once. The reported count is out of date, so it only breaks ties
// between equal counts of this entry.
func (p *Picker) cost(view *kctport.View, r *kctport.Replica) float64 {
	const tie = 1e-3
	work := 1 + float64(p.inFlight(r.ID)) + tie*float64(r.Status.InFlight)
	return work * float64(max(p.estimates.expected(r, view.At), 1))
}

// slots returns the number of requests that the replica can handle at once, 1 while it is cold.
func slots(r *kctport.Replica) int {
	if r.Health == kctport.HealthCold {
		return 1
	}
	return max(r.Status.Slots, 1)
}

// candidates returns the replicas that the attempt may go to, at least one; an error wraps ErrNoEndpoint.
func (x *Index) candidates(view *kctport.View, part kctport.Part, snapshot kctport.Snapshot, request string, tried []kctport.InstanceID) ([]*kctport.Replica, error) {
	s := x.serviceIndex(view, part.Service)
	if s == nil {
		return nil, eris.Wrapf(kctport.ErrNoEndpoint, "service %q", part.Service)
	}
	all := s.usable[shardKey{snapshot, part.Shard}]
	if slices.ContainsFunc(all, func(r *kctport.Replica) bool { return !reachable(view, r) || slices.Contains(tried, r.ID) }) {
		all = filter(all, func(r *kctport.Replica) bool { return reachable(view, r) && !slices.Contains(tried, r.ID) })
	}
	all = withoutSuspectOwners(view, all)
	all = withinZoneShares(view, request, withVersion(view.Services[part.Service].Move, request, all))
	if len(all) == 0 {
		return nil, eris.Wrapf(kctport.ErrNoEndpoint, "part %s, snapshot %d", part, snapshot)
	}
	return all, nil
}

// withoutSuspectOwners leaves out the replicas whose owner is suspected to have failed, unless no other is left.
func withoutSuspectOwners(view *kctport.View, rs []*kctport.Replica) []*kctport.Replica {
	suspected := func(r *kctport.Replica) bool { return view.Members[r.Owner].State == kctport.MemberSuspect }
	if !slices.ContainsFunc(rs, suspected) {
		return rs
	}
	kept := filter(rs, func(r *kctport.Replica) bool { return !suspected(r) })
	if len(kept) == 0 {
		return rs
	}
	return kept
}

// withinZoneShares leaves out the replicas of zones whose reduced share excludes the request, unless no other is left.
func withinZoneShares(view *kctport.View, request string, rs []*kctport.Replica) []*kctport.Replica {
	full := func(r *kctport.Replica) bool { return zoneShare(view, r.Zone) >= 1 }
	if !slices.ContainsFunc(rs, func(r *kctport.Replica) bool { return !full(r) }) {
		return rs
	}
	kept := filter(rs, func(r *kctport.Replica) bool {
		return full(r) || fraction(string(r.Zone), request) < zoneShare(view, r.Zone)
	})
	if len(kept) == 0 {
		return rs
	}
	return kept
}
