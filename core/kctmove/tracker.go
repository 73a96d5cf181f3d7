package kctmove

import (
	"fmt"
	"time"

	kctport "kingcupturn"
)

const (
	// maxRoutes bounds the memory of a move, since callers choose the route; further routes count as one.
	maxRoutes = 64
	// maxRoute is the length in bytes at which a route's name is cut.
	maxRoute = 64
	// otherRoute stands for the routes beyond maxRoutes.
	otherRoute = "other"
)

// Tracker follows the running moves of an entry.
type Tracker struct {
	moves    map[string]*tracked
	services map[kctport.ServiceName]*tracked
}

// NewTracker returns a tracker without moves.
func NewTracker() *Tracker {
	return &Tracker{moves: map[string]*tracked{}, services: map[kctport.ServiceName]*tracked{}}
}

// tracked is what this entry knows of one move.
type tracked struct {
	move  kctport.Move
	plan  plan
	since time.Time
	// endpoints are those of both versions.
	endpoints map[kctport.InstanceID]*endpoint
	routes    map[string]bool
	judge     *judge
	warmth    warmth
	// unsent holds counts for the next report, in the order of their first attempt.
	unsent map[cell]*versions
	order  []cell
	// held is when the first stage was left on suspicion and heldScore the evidence then.
	held      time.Time
	heldScore float64
	// cut is the evidence of a final verdict against the new version.
	cut string
}

// Track tells the tracker of a move, its endpoints and its service's policy; each entry calls it at each tick, before Cut and Decide.
func (t *Tracker) Track(now time.Time, move kctport.Move, endpoints []*kctport.Replica, policy kctport.Policy) {
	if move.State != kctport.MoveRunning {
		t.forget(move)
		return
	}
	m := t.moves[move.ID]
	if m == nil {
		m = newTracked(now, move)
		t.moves[move.ID] = m
		t.services[move.Service] = m
	}
	if m.move.Share != move.Share {
		m.since = now
	}
	m.move, m.plan = move, newPlan(move, policy)
	m.refresh(now, endpoints)
	usable, _ := m.ready(now)
	m.judge.alone = usable < 2
	m.advance(now)
}

func (t *Tracker) forget(move kctport.Move) {
	if m := t.moves[move.ID]; m != nil {
		delete(t.moves, move.ID)
		if t.services[move.Service] == m {
			delete(t.services, move.Service)
		}
	}
}

func newTracked(now time.Time, move kctport.Move) *tracked {
	return &tracked{
		move: move, since: now, judge: newJudge(),
		endpoints: map[kctport.InstanceID]*endpoint{},
		routes:    map[string]bool{}, unsent: map[cell]*versions{},
	}
}

// Observe takes this entry's own traffic; attempts at services without a running move are ignored.
func (t *Tracker) Observe(now time.Time, observations []kctport.Observation) {
	for _, o := range observations {
		if m := t.services[o.Service]; m != nil {
			m.observe(now, o)
		}
	}
}

func (m *tracked) observe(now time.Time, o kctport.Observation) {
	e := m.endpoints[o.Endpoint]
	result := classify(o.Err)
	if e == nil || result == effectNone || o.Version != m.move.From && o.Version != m.move.To {
		return
	}
	e.serve(now)
	c := m.cell(e.zone, o.Route)
	u := m.unsent[c]
	if u == nil {
		u = &versions{}
		m.unsent[c] = u
		m.order = append(m.order, c)
	}
	isNew, cold := o.Version == m.move.To, e.cold(now, m.plan)
	if isNew && result != effectFailure {
		timed := 1
		if cold {
			timed = 0
		}
		m.warmth.add(1, timed)
	}
	u.of(isNew).take(cold, result, o.Latency)
	m.judge.period(now, c).of(isNew, string(o.Endpoint)).take(cold, result, o.Latency)
}

// cell bounds the number of routes and the length of their names.
func (m *tracked) cell(zone kctport.Zone, route string) cell {
	route = bound(route, maxRoute)
	if !m.routes[route] {
		if len(m.routes) >= maxRoutes {
			return cell{zone, otherRoute}
		}
		m.routes[route] = true
	}
	return cell{zone, route}
}

// advance runs the tests on the periods that have ended.
func (m *tracked) advance(now time.Time) {
	m.judge.step(now)
	if text, ok := m.judge.bad(m.move); ok && m.cut == "" {
		m.cut = text
	}
}

// Merge takes another entry's reports; its own ones are in the tracker already and would count twice.
func (t *Tracker) Merge(now time.Time, from kctport.InstanceID, reports []kctport.MoveReport) {
	for _, r := range reports {
		m := t.moves[r.Move]
		switch {
		case m == nil:
		case r.Stopped:
			if m.cut == "" {
				m.cut = fmt.Sprintf("%s (seen by %s)", r.Evidence, from)
			}
		default:
			m.merge(now, from, r)
		}
	}
}

func (m *tracked) merge(now time.Time, from kctport.InstanceID, r kctport.MoveReport) {
	if r.Version != m.move.From && r.Version != m.move.To {
		return
	}
	if r.Version == m.move.To {
		m.warmth.add(r.Requests-r.Failures, r.Timed)
	}
	c := counts{requests: r.Requests, failures: r.Failures}
	copy(c.latencies[:], r.Latencies)
	m.judge.period(now, m.cell(r.Zone, r.Route)).of(r.Version == m.move.To, string(from)).add(&c)
}

// Reports returns this entry's evidence since the last call; a cut is repeated until the move is over, since a report may be lost.
func (t *Tracker) Reports(now time.Time) []kctport.MoveReport {
	var reports []kctport.MoveReport
	for _, m := range t.moves {
		m.advance(now)
		reports = append(reports, m.reports()...)
	}
	return reports
}

func (m *tracked) reports() []kctport.MoveReport {
	var reports []kctport.MoveReport
	for _, c := range m.order {
		u := m.unsent[c]
		reports = m.report(reports, m.move.From, c, &u.old)
		reports = m.report(reports, m.move.To, c, &u.new)
	}
	clear(m.unsent)
	m.order = m.order[:0]
	if m.cut != "" {
		reports = append(reports, kctport.MoveReport{Move: m.move.ID, Version: m.move.To, Stopped: true, Evidence: m.cut})
	}
	return reports
}

func (m *tracked) report(reports []kctport.MoveReport, version kctport.VersionName, c cell, n *counts) []kctport.MoveReport {
	if n.requests == 0 {
		return reports
	}
	return append(reports, kctport.MoveReport{
		Move: m.move.ID, Version: version, Route: c.route, Zone: c.zone,
		Requests: n.requests, Failures: n.failures,
		Timed: n.latencies.total(), Slow: n.latencies[buckets-1], Latencies: n.latencies.used(),
	})
}

// Stopped reports whether this entry must stop sending to the new version now, and the evidence.
func (t *Tracker) Stopped(now time.Time, move kctport.Move) (bool, string) {
	m := t.moves[move.ID]
	if m == nil || move.State != kctport.MoveRunning {
		return false, ""
	}
	m.advance(now)
	return m.cut != "", m.cut
}
