package kctroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// Picker chooses by power of two choices on the work in flight, own zone first; it is safe for concurrent use.
type Picker struct {
	index    *Index
	inFlight func(kctport.InstanceID) int
	random   func(n int) int
	learned  latencies
}

// Option changes a Picker at construction.
type Option func(*Picker)

// WithInFlight gives the number of attempts that this entry has in flight at an endpoint.
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

// NewPicker returns a Picker.
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
	near := filter(all, func(r *kctport.Replica) bool { return r.Zone == view.Self.Zone })
	other := p.lesser(view, all)
	if len(near) == 0 || len(near) == len(all) {
		return other, nil
	}
	r := p.lesser(view, near)
	if p.inFlight(r.ID) < slots(r) && p.learned.of(r, view.At) <= farFactor*p.learned.of(other, view.At)+farSlack {
		return r, nil
	}
	return other, nil
}

// RecordLatency implements kctport.Learner.
func (p *Picker) RecordLatency(r *kctport.Replica, latency time.Duration, givenUp bool, now time.Time) {
	p.learned.learn(r, latency, givenUp, now)
}

// lesser returns the candidate with less work out of two random ones.
func (p *Picker) lesser(view *kctport.View, rs []*kctport.Replica) *kctport.Replica {
	if len(rs) == 1 {
		return rs[0]
	}
	i := p.random(len(rs))
	j := p.random(len(rs) - 1)
	if j >= i {
		j++
	}
	a, b := rs[i], rs[j]
	if p.load(view, b) < p.load(view, a) {
		return b
	}
	return a
}

// load is the latency times the work that would be there with one more attempt. The work is not divided by the slots, since
// gates admit less when many endpoints turn slow at once. The reported work lags, so it only breaks ties between equal
// counts of this entry.
func (p *Picker) load(view *kctport.View, r *kctport.Replica) float64 {
	const tie = 1e-3
	work := 1 + float64(p.inFlight(r.ID)) + tie*float64(r.Status.InFlight)
	return work * float64(max(p.learned.of(r, view.At), 1))
}

// slots is what the replica can be expected to take: a cold one starts with a single request.
func slots(r *kctport.Replica) int {
	if r.Health == kctport.HealthCold {
		return 1
	}
	return max(r.Status.Slots, 1)
}

// candidates returns the replicas that the attempt may go to, at least one.
func (x *Index) candidates(view *kctport.View, part kctport.Part, snapshot kctport.Snapshot, request string, tried []kctport.InstanceID) ([]*kctport.Replica, error) {
	s := x.serviceIndex(view, part.Service)
	if s == nil {
		return nil, eris.Wrapf(kctport.ErrNoEndpoint, "service %q", part.Service)
	}
	all := s.usable[shardKey{snapshot, part.Shard}]
	if slices.ContainsFunc(all, func(r *kctport.Replica) bool { return !reachable(view, r) || slices.Contains(tried, r.ID) }) {
		all = filter(all, func(r *kctport.Replica) bool { return reachable(view, r) && !slices.Contains(tried, r.ID) })
	}
	all = byOwner(view, all)
	all = byZone(view, request, byVersion(view.Services[part.Service].Move, request, all))
	if len(all) == 0 {
		return nil, eris.Wrapf(kctport.ErrNoEndpoint, "part %s, snapshot %d", part, snapshot)
	}
	return all, nil
}

// byOwner leaves out the replicas whose owner is suspected to be gone, unless no other is left.
func byOwner(view *kctport.View, rs []*kctport.Replica) []*kctport.Replica {
	suspected := func(r *kctport.Replica) bool { return view.Members[r.Owner].State == kctport.MemberSuspect }
	if !slices.ContainsFunc(rs, suspected) {
		return rs
	}
	in := filter(rs, func(r *kctport.Replica) bool { return !suspected(r) })
	if len(in) == 0 {
		return rs
	}
	return in
}

// byZone leaves out the zones whose reduced share the request does not belong to, unless no other zone is left.
func byZone(view *kctport.View, request string, rs []*kctport.Replica) []*kctport.Replica {
	full := func(r *kctport.Replica) bool { return zoneShare(view, r.Zone) >= 1 }
	if !slices.ContainsFunc(rs, func(r *kctport.Replica) bool { return !full(r) }) {
		return rs
	}
	in := filter(rs, func(r *kctport.Replica) bool {
		return full(r) || fraction(string(r.Zone), request) < zoneShare(view, r.Zone)
	})
	if len(in) == 0 {
		return rs
	}
	return in
}
