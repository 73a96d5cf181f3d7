package kctmove

import (
	"fmt"
	"time"

	kctport "kingcupturn"
)

const (
	// maxRoutes bounds the memory of a move, since callers choose the route; further routes are counted as otherRoute.
	maxRoutes = 64
	// maxRouteBytes is the length in bytes to which a route's name is truncated.
	maxRouteBytes = 64
	// otherRoute is the name under which routes beyond maxRoutes are counted.
	otherRoute = "other"
)

// Tracker holds one entry's evidence on the running moves.
type Tracker struct {
	moves    map[string]*trackedMove
	services map[kctport.ServiceName]*trackedMove
}

// NewTracker returns a tracker without moves.
func NewTracker() *Tracker {
	return &Tracker{moves: map[string]*trackedMove{}, services: map[kctport.ServiceName]*trackedMove{}}
}

// trackedMove is the evidence on one move and its schedule.
type trackedMove struct {
	move       kctport.Move
	plan       plan
	stageStart time.Time
	// endpoints are the endpoints of both versions.
	endpoints    map[kctport.InstanceID]*endpoint
	routes       map[string]bool
	evaluator    *evaluator
	warmFraction warmFraction
	// unsent holds counts for the next report, in the order of their first attempt.
	unsent      map[cell]*countPair
	unsentOrder []cell
	// loweredAt is when the share was lowered on suspicion, and loweredScore the log-likelihood ratio then.
	loweredAt    time.Time
	loweredScore float64
	// stopEvidence is the evidence on which the new version was stopped; it is empty while the version is not stopped.
	stopEvidence string
}

// Track updates a move, its endpoints and its service's policy; each entry calls it at each tick, before Stopped and Decide.
func (t *Tracker) Track(now time.Time, move kctport.Move, endpoints []*kctport.Replica, policy kctport.Policy) {
	if move.State != kctport.MoveRunning {
		t.remove(move)
		return
	}
	m := t.moves[move.ID]
	if m == nil {
		m = newTrackedMove(now, move)
		t.moves[move.ID] = m
		t.services[move.Service] = m
	}
	if m.move.Share != move.Share {
		m.stageStart = now
	}
	m.move, m.plan = move, newPlan(move, policy)
	m.updateEndpoints(now, endpoints)
	usable, _ := m.countReady(now)
	m.evaluator.singleSource = usable < 2
	m.advance(now)
}

func (t *Tracker) remove(move kctport.Move) {
	if m := t.moves[move.ID]; m != nil {
		delete(t.moves, move.ID)
		if t.services[move.Service] == m {
			delete(t.services, move.Service)
		}
	}
}

func newTrackedMove(now time.Time, move kctport.Move) *trackedMove {
	return &trackedMove{
		move: move, stageStart: now, evaluator: newEvaluator(),
		endpoints: map[kctport.InstanceID]*endpoint{},
		routes:    map[string]bool{}, unsent: map[cell]*countPair{},
	}
}

// Observe records this entry's own attempts; those at services without a running move are ignored.
func (t *Tracker) Observe(now time.Time, observations []kctport.Observation) {
	for _, o := range observations {
		if m := t.services[o.Service]; m != nil {
			m.observe(now, o)
		}
	}
}

func (m *trackedMove) observe(now time.Time, o kctport.Observation) {
	e := m.endpoints[o.Endpoint]
	result := classify(o.Err)
	if e == nil || result == outcomeIgnored || o.Version != m.move.From && o.Version != m.move.To {
		return
	}
	e.recordAttempt(now)
	c := m.cell(e.zone, o.Route)
	u := m.unsent[c]
	if u == nil {
		u = &countPair{}
		m.unsent[c] = u
		m.unsentOrder = append(m.unsentOrder, c)
	}
	isNew, cold := o.Version == m.move.To, e.cold(now, m.plan)
	if isNew && result != outcomeFailure {
		timed := 1
		if cold {
			timed = 0
		}
		m.warmFraction.add(1, timed)
	}
	u.of(isNew).record(cold, result, o.Latency)
	m.evaluator.period(now, c).of(isNew, string(o.Endpoint)).record(cold, result, o.Latency)
}

// cell returns the cell of a zone and route, with the number of routes and the length of their names bounded.
func (m *trackedMove) cell(zone kctport.Zone, route string) cell {
	route = truncate(route, maxRouteBytes)
	if !m.routes[route] {
		if len(m.routes) >= maxRoutes {
			return cell{zone, otherRoute}
		}
		m.routes[route] = true
	}
	return cell{zone, route}
}

// advance evaluates the periods that have ended.
func (m *trackedMove) advance(now time.Time) {
	m.evaluator.evaluateEnded(now)
	if text, ok := m.evaluator.bad(m.move); ok && m.stopEvidence == "" {
		m.stopEvidence = text
	}
}

// Merge adds another entry's reports; the caller leaves out this entry's own, which would count twice.
func (t *Tracker) Merge(now time.Time, from kctport.InstanceID, reports []kctport.MoveReport) {
	for _, r := range reports {
		m := t.moves[r.Move]
		switch {
		case m == nil:
		case r.Stopped:
			if m.stopEvidence == "" {
				m.stopEvidence = fmt.Sprintf("%s (seen by %s)", r.Evidence, from)
			}
		default:
			m.merge(now, from, r)
		}
	}
}

func (m *trackedMove) merge(now time.Time, from kctport.InstanceID, r kctport.MoveReport) {
	if r.Version != m.move.From && r.Version != m.move.To {
		return
	}
	if r.Version == m.move.To {
		m.warmFraction.add(r.Requests-r.Failures, r.Timed)
	}
	c := counts{requests: r.Requests, failures: r.Failures}
	copy(c.latencies[:], r.Latencies)
	m.evaluator.period(now, m.cell(r.Zone, r.Route)).of(r.Version == m.move.To, string(from)).add(&c)
}

// Reports returns this entry's evidence since the last call; a stop is repeated until the move is over, since a report may be lost.
func (t *Tracker) Reports(now time.Time) []kctport.MoveReport {
	var reports []kctport.MoveReport
	for _, m := range t.moves {
		m.advance(now)
		reports = append(reports, m.reports()...)
	}
	return reports
}

func (m *trackedMove) reports() []kctport.MoveReport {
	var reports []kctport.MoveReport
	for _, c := range m.unsentOrder {
		u := m.unsent[c]
		reports = m.appendReport(reports, m.move.From, c, &u.old)
		reports = m.appendReport(reports, m.move.To, c, &u.new)
	}
	clear(m.unsent)
	m.unsentOrder = m.unsentOrder[:0]
	if m.stopEvidence != "" {
		reports = append(reports, kctport.MoveReport{Move: m.move.ID, Version: m.move.To, Stopped: true, Evidence: m.stopEvidence})
	}
	return reports
}

func (m *trackedMove) appendReport(reports []kctport.MoveReport, version kctport.VersionName, c cell, n *counts) []kctport.MoveReport {
	if n.requests == 0 {
		return reports
	}
	return append(reports, kctport.MoveReport{
		Move: m.move.ID, Version: version, Route: c.route, Zone: c.zone,
		Requests: n.requests, Failures: n.failures,
		Timed: n.latencies.total(), Slow: n.latencies[buckets-1], Latencies: n.latencies.used(),
	})
}

// Stopped reports whether this entry must stop sending to the new version, with the evidence.
func (t *Tracker) Stopped(now time.Time, move kctport.Move) (bool, string) {
	m := t.moves[move.ID]
	if m == nil || move.State != kctport.MoveRunning {
		return false, ""
	}
	m.advance(now)
	return m.stopEvidence != "", m.stopEvidence
}
