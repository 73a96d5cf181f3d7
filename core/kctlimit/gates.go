package kctlimit

import (
	"sync"
	"time"

	kctport "kingcupturn"
)

const (
	// idlePeriod is the time without use after which a gate may be removed; its adapted limit is out of date by then.
	idlePeriod = time.Minute
	// pruneAbove is the number of gates below which idle ones are kept.
	pruneAbove = 64
)

// GateState is the state of a gate for operators.
type GateState struct {
	Slots    int
	Limit    int
	InFlight int
	// Held counts slots of cancelled or timed out attempts on which the endpoint may still be working.
	Held   int
	Queued int
	// Sheds counts the gate's refusals since its creation.
	Sheds   int
	Cold    bool
	Latency time.Duration
}

// Snapshot returns the state of the gate.
func (g *Gate) Snapshot() GateState {
	now := g.timer.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	return GateState{
		Slots: g.lim.slots, Limit: g.lim.allowed(now), InFlight: len(g.inFlight), Held: len(g.held),
		Queued: len(g.queue), Sheds: g.sheds, Cold: g.lim.start.cold, Latency: g.latency.mean(),
	}
}

// Gates is the set of gates by endpoint identifier; it is safe for concurrent use.
type Gates struct {
	timer kctport.Timer
	opts  []Option

	mu        sync.RWMutex
	pruneAt   int // number of gates above which idle ones are removed
	gates     map[kctport.InstanceID]*Gate
	latencies map[kctport.ServiceName]*latencyMean
}

// NewGates returns an empty set; the options apply to each gate that it creates.
func NewGates(timer kctport.Timer, opts ...Option) *Gates {
	return &Gates{
		timer: timer, opts: opts, pruneAt: pruneAbove,
		gates: make(map[kctport.InstanceID]*Gate), latencies: make(map[kctport.ServiceName]*latencyMean),
	}
}

// Gate returns the gate of a replica, creating it if needed, and applies the view if it is newer than the last one applied.
func (s *Gates) Gate(view *kctport.View, r *kctport.Replica) *Gate {
	s.mu.RLock()
	g := s.gates[r.ID]
	s.mu.RUnlock()
	if g == nil {
		g = s.add(r)
	}
	g.applyView(view, r)
	return g
}

func (s *Gates) add(r *kctport.Replica) *Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.gates[r.ID]; g != nil {
		return g
	}
	if len(s.gates) >= s.pruneAt {
		s.prune(s.timer.Now())
	}
	mean := s.latencies[r.Service]
	if mean == nil {
		mean = new(latencyMean)
		s.latencies[r.Service] = mean
	}
	g := NewGate(s.timer, r.Status.Slots, s.opts...)
	g.latency = mean
	s.gates[r.ID] = g
	return g
}

// applyView applies a view if it is newer than the last one applied; a new boot identifier of the endpoint restarts slow start.
func (g *Gate) applyView(view *kctport.View, r *kctport.Replica) {
	g.mu.Lock()
	newer := view.At.After(g.viewTime)
	if newer {
		if g.boot != 0 && g.boot != r.Status.BootID {
			g.lim.restartSlowStart()
		}
		g.viewTime, g.lastUsed, g.boot = view.At, view.At, r.Status.BootID
		if sv := view.Services[r.Service]; sv != nil && sv.Policy.Queue > 0 {
			g.queueLimit = sv.Policy.Queue
		}
	}
	g.mu.Unlock()
	if newer {
		g.Update(r.Status.Slots, r.Health == kctport.HealthCold, r.HandoverEnd)
	}
}

// InFlight returns the number of slots in use at an endpoint, held ones included; a handover waits until it is 0.
func (s *Gates) InFlight(id kctport.InstanceID) int {
	s.mu.RLock()
	g := s.gates[id]
	s.mu.RUnlock()
	if g == nil {
		return 0
	}
	st := g.Snapshot()
	return st.InFlight + st.Held
}

// prune removes the gates that were idle for idlePeriod, such as those of endpoints that changed their owner.
func (s *Gates) prune(now time.Time) {
	for id, g := range s.gates {
		if g.close(now) {
			delete(s.gates, id)
		}
	}
	s.pruneAt = max(2*len(s.gates), pruneAbove)
}

// close reports whether the gate was idle for idlePeriod and closes it then. A closed gate refuses requests that obtained
// it before its removal, so that two gates never admit work to one endpoint.
func (g *Gate) close(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.closed = len(g.inFlight)+len(g.held)+len(g.queue) == 0 && now.Sub(g.lastUsed) > idlePeriod
	return g.closed
}

// Snapshot returns the state of every gate.
func (s *Gates) Snapshot() map[kctport.InstanceID]GateState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[kctport.InstanceID]GateState, len(s.gates))
	for id, g := range s.gates {
		out[id] = g.Snapshot()
	}
	return out
}
