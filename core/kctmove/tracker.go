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
	exposure Exposure
	// byEndpoint is set when the reports name the endpoints of the new version, since several entries use each of them.
	byEndpoint bool
	// warmByTime is set when new endpoints become warm by time, and not by their first requests.
	warmByTime bool
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithExposure sets the bound on the requests that a version gets.
func WithExposure(e Exposure) Option {
	return func(t *Tracker) { t.exposure = e }
}

// WithReportsByEndpoint makes reports name the endpoints of the new version, so that one broken endpoint is not taken for several sources.
func WithReportsByEndpoint() Option {
	return func(t *Tracker) { t.byEndpoint = true }
}

// WithWarmupFromStart makes endpoints warm up from the time at which they can be used on, with or without requests.
func WithWarmupFromStart() Option {
	return func(t *Tracker) { t.warmByTime = true }
}

// NewTracker returns a tracker without moves.
func NewTracker(opts ...Option) *Tracker {
	t := &Tracker{moves: map[string]*trackedMove{}, services: map[kctport.ServiceName]*trackedMove{}, exposure: DefaultExposure}
	for _, o := range opts {
		o(t)
	}
	return t
}

// trackedMove is the evidence on one move and its schedule.
type trackedMove struct {
	move       kctport.Move
	plan       plan
	stageStart time.Time
	// endpoints are the endpoints of both versions.
	endpoints    map[kctport.InstanceID]*endpoint
	warmByTime   bool
	routes       map[string]bool
	evaluator    *evaluator
	warmFraction warmFraction
	// unsent holds counts for the next report, in the order of their first attempt.
	unsent      map[unsentKey]*counts
	unsentOrder []unsentKey
	// requests counts the attempts since trackedSince, as far as this entry knows of them.
	requests     int
	trackedSince time.Time
	// lastRate is the number of requests a second over all entries, 0 when not known.
	lastRate float64
	// loweredAt is when the share was lowered on suspicion, and loweredScore the log-likelihood ratio then.
	loweredAt    time.Time
	loweredScore float64
	// stopEvidence is the evidence on which the new version was stopped; it is empty while the version is not stopped.
	stopEvidence string
	// stoppedElsewhere is set when another entry stopped it.
	stoppedElsewhere bool
}

// unsentKey identifies counts for the next report: a cell, the version, and the endpoint when reports name it.
type unsentKey struct {
	cell     cell
	isNew    bool
	endpoint kctport.InstanceID
}

// minRateTime is the shortest time over which the rate of requests is measured.
const minRateTime = 2 * time.Second

// rate returns the number of requests a second over all entries, 0 when not known.
func (m *trackedMove) rate(now time.Time) float64 {
	elapsed := now.Sub(m.trackedSince)
	if elapsed < minRateTime {
		return m.move.Rate
	}
	// An entry that has just become the holder does not have all counts.
	return max(m.move.Rate, float64(m.requests)/elapsed.Seconds())
}

// Track updates a move, its endpoints and its service's policy; each entry calls it at each tick, before Stopped and Decide.
func (t *Tracker) Track(now time.Time, move kctport.Move, endpoints []*kctport.Replica, policy kctport.Policy) {
	if move.State != kctport.MoveRunning {
		t.remove(move)
		return
	}
	m := t.moves[move.ID]
	if m == nil {
		m = newTrackedMove(now, move, t.warmByTime)
		t.moves[move.ID] = m
		t.services[move.Service] = m
	}
	if m.move.Share != move.Share {
		m.stageStart = now
	}
	m.move = move
	m.lastRate = m.rate(now)
	m.plan = newPlan(move, policy, m.lastRate, t.exposure)
	m.updateEndpoints(now, endpoints)
	usable, _ := m.countReady(now)
	m.evaluator.singleSource, m.evaluator.singleZone = usable < 2, m.usableZones() < 2
	m.evaluator.withoutOld = move.Share >= shareDone
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

func newTrackedMove(now time.Time, move kctport.Move, warmByTime bool) *trackedMove {
	return &trackedMove{
		move: move, warmByTime: warmByTime, stageStart: now, trackedSince: now, evaluator: newEvaluator(),
		endpoints: map[kctport.InstanceID]*endpoint{},
		routes:    map[string]bool{}, unsent: map[unsentKey]*counts{},
	}
}

// Observe records this entry's own attempts; those at services without a running move are ignored.
func (t *Tracker) Observe(now time.Time, observations []kctport.Observation) {
	for _, o := range observations {
		if m := t.services[o.Service]; m != nil {
			m.observe(now, o, t.byEndpoint)
		}
	}
}

func (m *trackedMove) observe(now time.Time, o kctport.Observation, byEndpoint bool) {
	e := m.endpoints[o.Endpoint]
	result := classify(o.Err)
	if e == nil || result == outcomeIgnored || o.Version != m.move.From && o.Version != m.move.To {
		return
	}
	if !m.warmByTime {
		e.recordAttempt(now)
	}
	c := m.cell(e.zone, o.Route)
	isNew, cold := o.Version == m.move.To, e.cold(now, m.plan)
	key := unsentKey{cell: c, isNew: isNew}
	if byEndpoint && isNew {
		key.endpoint = o.Endpoint
	}
	m.requests++
	if isNew && result != outcomeFailure {
		timed := 1
		if cold {
			timed = 0
		}
		m.warmFraction.add(1, timed)
	}
	m.unsentCounts(key).record(cold, result, o.Latency)
	m.evaluator.period(now, c).of(isNew, string(o.Endpoint)).record(cold, result, o.Latency)
}

// unsentCounts returns the counts of a key for the next report.
func (m *trackedMove) unsentCounts(key unsentKey) *counts {
	u := m.unsent[key]
	if u == nil {
		u = &counts{}
		m.unsent[key] = u
		m.unsentOrder = append(m.unsentOrder, key)
	}
	return u
}

// Forward adds another entry's counts to this entry's next reports, for the holder of the move.
func (t *Tracker) Forward(reports []kctport.MoveReport) {
	for _, r := range reports {
		m := t.moves[r.Move]
		if m == nil || r.Stopped || !m.isValid(r) {
			continue
		}
		c := countsOf(r)
		m.unsentCounts(unsentKey{m.cell(r.Zone, r.Route), r.Version == m.move.To, r.Endpoint}).add(&c)
	}
}

// maxReported is the most requests that a report may count; sums of such counts don't overflow.
const maxReported = 1 << 32

// isValid reports whether a report is of a version of the move, with counts that an entry can have.
func (m *trackedMove) isValid(r kctport.MoveReport) bool {
	if r.Version != m.move.From && r.Version != m.move.To || r.Requests < 0 || r.Requests > maxReported || r.Failures < 0 || len(r.Latencies) > buckets {
		return false
	}
	left := r.Requests - r.Failures
	if r.Timed < 0 || r.Timed > left {
		return false
	}
	for _, n := range r.Latencies {
		if n < 0 || n > left {
			return false
		}
		left -= n
	}
	return left >= 0
}

func countsOf(r kctport.MoveReport) counts {
	c := counts{requests: r.Requests, failures: r.Failures}
	copy(c.latencies[:], r.Latencies)
	return c
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
				m.stopEvidence, m.stoppedElsewhere = fmt.Sprintf("%s (seen by %s)", r.Evidence, from), true
			}
		default:
			m.merge(now, from, r)
		}
	}
}

func (m *trackedMove) merge(now time.Time, from kctport.InstanceID, r kctport.MoveReport) {
	if !m.isValid(r) {
		return
	}
	if r.Version == m.move.To {
		m.warmFraction.add(r.Requests-r.Failures, r.Timed)
	}
	m.requests += r.Requests
	c := countsOf(r)
	source := string(from)
	if r.Endpoint != "" {
		source = string(r.Endpoint)
	}
	m.evaluator.period(now, m.cell(r.Zone, r.Route)).of(r.Version == m.move.To, source).add(&c)
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
	for _, key := range m.unsentOrder {
		n, version := m.unsent[key], m.move.From
		if key.isNew {
			version = m.move.To
		}
		reports = append(reports, kctport.MoveReport{
			Move: m.move.ID, Version: version, Route: key.cell.route, Zone: key.cell.zone, Endpoint: key.endpoint,
			Requests: n.requests, Failures: n.failures,
			Timed: n.latencies.total(), Slow: n.latencies[buckets-1], Latencies: n.latencies.used(),
		})
	}
	clear(m.unsent)
	m.unsentOrder = m.unsentOrder[:0]
	if m.stopEvidence != "" {
		reports = append(reports, kctport.MoveReport{Move: m.move.ID, Version: m.move.To, Stopped: true, Evidence: m.stopEvidence})
	}
	return reports
}

// StoppedHere reports whether a version was stopped on what this entry knows, and not because another one did so.
func (t *Tracker) StoppedHere(move kctport.Move) bool {
	m := t.moves[move.ID]
	return m != nil && m.stopEvidence != "" && !m.stoppedElsewhere
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
