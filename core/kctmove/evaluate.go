package kctmove

import (
	"fmt"
	"time"

	kctport "kingcupturn"
)

// routeTests are the tests of one route, or of all routes together, one for each alternative.
type routeTests struct {
	failure [len(failureRises)]score
	slow    [len(slowOdds)]score
	// slowAlone are the tests for slow replies while the old version has no traffic. Its former latencies are the reference, so that a single zone that has
	// become slow is no evidence.
	slowAlone [len(slowOdds)]score
}

// evaluator runs the tests of one move over all routes and over each route.
//
// Cells and routes are visited in the order of their first attempt, so that a
// run can be repeated exactly.
type evaluator struct {
	cellOrder  []cell
	cells      map[cell]*period
	routeOrder []string
	routes     map[string]*routeTests
	allRoutes  routeTests
	total      tallyPair
	// singleSource is set when the new version has a single endpoint, so that no other source can confirm the evidence.
	singleSource bool
	// singleZone is set when the new version has endpoints in one zone only.
	singleZone bool
	// withoutOld is set while the new version gets all traffic.
	withoutOld bool
}

func newEvaluator() *evaluator {
	return &evaluator{cells: map[cell]*period{}, routes: map[string]*routeTests{}}
}

// period returns the open period of a cell, for this entry's attempts and other entries' counts.
func (e *evaluator) period(now time.Time, c cell) *period {
	p := e.cells[c]
	if p == nil {
		p = &period{opened: now, updated: now}
		e.cells[c] = p
		e.cellOrder = append(e.cellOrder, c)
	}
	return p
}

// evaluateEnded evaluates each cell whose period has ended and opens its next period.
func (e *evaluator) evaluateEnded(now time.Time) {
	for _, c := range e.cellOrder {
		if p := e.cells[c]; p.ended(now, e.withoutOld) {
			e.evaluate(c, p)
			p.restart(now, e.withoutOld)
		}
	}
}

// evaluateOpen evaluates the requests of all open periods, for a decision that can't wait for their ends.
func (e *evaluator) evaluateOpen(now time.Time) {
	for _, c := range e.cellOrder {
		p := e.cells[c]
		e.evaluate(c, p)
		p.restart(now, e.withoutOld)
	}
}

// evaluate adds a period's counts to the tests of its route and of all routes.
func (e *evaluator) evaluate(c cell, p *period) {
	if len(p.new) == 0 {
		return
	}
	t := e.routes[c.route]
	if t == nil {
		t = &routeTests{}
		e.routes[c.route] = t
		e.routeOrder = append(e.routeOrder, c.route)
	}
	limit, ok := p.limit()
	sources := p.tallies(limit)
	sums := tallyPair{old: p.old.tally(limit)}
	for _, q := range sources {
		sums.new.add(q.tally)
	}
	failure := e.failureReference(c.route, p, sums.old)
	t.addFailure(sources, failure, sums)
	e.allRoutes.addFailure(sources, failure, sums)
	if !ok || !p.comparable() && !e.withoutOld {
		return
	}
	historySlow, historyTimed := p.slowHistory(limit)
	if !p.comparable() {
		alone := referenceRate(0, 0, historySlow, historyTimed)
		byZone := []sourceTally{{string(c.zone), withoutSlowest(sources)}}
		t.addSlowAlone(byZone, alone, sums)
		e.allRoutes.addSlowAlone(byZone, alone, sums)
		e.total.add(sums)
		return
	}
	slow := referenceRate(sums.old.slow, sums.old.timed, historySlow, historyTimed)
	t.addSlow(sources, slow, sums)
	e.allRoutes.addSlow(sources, slow, sums)
	e.total.add(sums)
}

// failureReference returns the old version's failure rate in a cell. Without a failure there it is that of the route in all zones, since the few requests
// of one cell leave much room for chance.
func (e *evaluator) failureReference(route string, p *period, old tally) float64 {
	if old.failures > 0 || p.history.failures >= minHistoryFailures {
		return referenceRate(old.failures, old.requests, p.history.failures, p.history.requests)
	}
	failures, requests := 0.0, 0.0
	for c, q := range e.cells {
		if c.route == route {
			failures += q.history.failures + float64(q.old.failures)
			requests += q.history.requests + float64(q.old.requests)
		}
	}
	return upperRate(failures, requests)
}

// withoutSlowest sums the tallies of all sources but the one with the most slow replies, if there are several: one endpoint's slowness is not its version's.
func withoutSlowest(sources []sourceTally) tally {
	var total, slowest tally
	for _, s := range sources {
		total.add(s.tally)
		if s.tally.slow > slowest.slow {
			slowest = s.tally
		}
	}
	if len(sources) > 1 {
		total.timed -= slowest.timed
		total.slow -= slowest.slow
	}
	return total
}

func (t *routeTests) addFailure(sources []sourceTally, rate float64, p tallyPair) {
	for i, rise := range failureRises {
		t.failure[i].add(failureIncrements(sources, rate, rise), maxFailureIncrement, p)
	}
}

func (t *routeTests) addSlow(sources []sourceTally, rate float64, p tallyPair) {
	// A zone that becomes slow during a period slows only its last attempts; if the
	// old version had few attempts, all of them may have come earlier.
	bound := maxSlowIncrement * min(1, float64(p.old.timed)/fullIncrementOld)
	for i, factor := range slowOdds {
		t.slow[i].add(slowIncrements(sources, rate, factor), bound, p)
	}
}

func (t *routeTests) addSlowAlone(sources []sourceTally, rate float64, p tallyPair) {
	for i, factor := range slowOdds {
		t.slowAlone[i].add(slowIncrements(sources, rate, factor), maxSlowIncrement, p)
	}
}

// bad returns the evidence and true when a test has reached badScore.
func (e *evaluator) bad(m kctport.Move) (string, bool) {
	if text, ok := e.allRoutes.bad(m, "all routes", e.singleSource, e.singleZone); ok {
		return text, true
	}
	for _, route := range e.routeOrder {
		if text, ok := e.routes[route].bad(m, fmt.Sprintf("route %q", route), e.singleSource, e.singleZone); ok {
			return text, true
		}
	}
	return "", false
}

func (t *routeTests) bad(m kctport.Move, where string, singleSource, singleZone bool) (string, bool) {
	for i := range t.failure {
		s := &t.failure[i]
		if n, o := s.tallies.new, s.tallies.old; s.confirmed(singleSource) >= badScore {
			return fmt.Sprintf("%s: %d of %d requests of %s failed, %d of %d of %s", where,
				n.failures, n.requests, m.To, o.failures, o.requests, m.From), true
		}
	}
	for i := range t.slow {
		s := &t.slow[i]
		if n, o := s.tallies.new, s.tallies.old; s.confirmed(singleSource) >= badScore {
			return fmt.Sprintf("%s: %d of %d replies of %s slow, %d of %d of %s", where,
				n.slow, n.timed, m.To, o.slow, o.timed, m.From), true
		}
	}
	for i := range t.slowAlone {
		s := &t.slowAlone[i]
		if n := s.tallies.new; s.confirmed(singleZone) >= badScore {
			return fmt.Sprintf("%s: %d of %d replies of %s slow, by the former ones of %s", where, n.slow, n.timed, m.To, m.From), true
		}
	}
	return "", false
}

func (t *routeTests) worst(singleSource, singleZone bool) float64 {
	worst := 0.0
	for i := range t.failure {
		worst = max(worst, t.failure[i].confirmed(singleSource))
	}
	for i := range t.slow {
		worst = max(worst, t.slow[i].confirmed(singleSource))
	}
	for i := range t.slowAlone {
		worst = max(worst, t.slowAlone[i].confirmed(singleZone))
	}
	return worst
}

// good reports whether the tests for slight faults have accepted the new version and no test suspects it.
func (e *evaluator) good() bool {
	if e.allRoutes.failure[0].good > goodScore || e.allRoutes.slow[0].good > goodScore {
		return false
	}
	return !e.suspected()
}

// likelyGood reports whether the tests for gross faults have accepted the new
// version and those for slight ones don't speak against it, the most that few requests can show.
func (e *evaluator) likelyGood() bool {
	f, s := e.allRoutes.failure, e.allRoutes.slow
	return f[1].good <= goodScore && s[1].good <= goodScore && f[0].good < doubtScore && s[0].good < doubtScore && !e.suspected()
}

// suspected reports whether a test has reached suspicionScore.
func (e *evaluator) suspected() bool {
	return e.worst() >= suspicionScore
}

// worst returns the highest log-likelihood ratio of all tests.
func (e *evaluator) worst() float64 {
	worst := e.allRoutes.worst(e.singleSource, e.singleZone)
	for _, t := range e.routes {
		worst = max(worst, t.worst(e.singleSource, e.singleZone))
	}
	return worst
}

// summary describes the counts since the start of the move, for operators.
func (e *evaluator) summary(m kctport.Move) string {
	n, o := e.total.new, e.total.old
	return fmt.Sprintf("%s: %d requests, %d failed, %d slow; %s: %d requests, %d failed, %d slow",
		m.To, n.requests, n.failures, n.slow, m.From, o.requests, o.failures, o.slow)
}
