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
		if p := e.cells[c]; p.ended(now) {
			e.evaluate(c.route, p)
			p.restart(now)
		}
	}
}

// evaluate adds a period's counts to the tests of its route and of all routes.
func (e *evaluator) evaluate(route string, p *period) {
	if len(p.new) == 0 {
		return
	}
	t := e.routes[route]
	if t == nil {
		t = &routeTests{}
		e.routes[route] = t
		e.routeOrder = append(e.routeOrder, route)
	}
	limit, ok := p.limit()
	sources := p.tallies(limit)
	sums := tallyPair{old: p.old.tally(limit)}
	for _, q := range sources {
		sums.new.add(q.tally)
	}
	failure := referenceRate(sums.old.failures, sums.old.requests, p.history.failures, p.history.requests)
	t.addFailure(sources, failure, sums)
	e.allRoutes.addFailure(sources, failure, sums)
	if !ok || !p.comparable() {
		return
	}
	historySlow, historyTimed := p.slowHistory(limit)
	slow := referenceRate(sums.old.slow, sums.old.timed, historySlow, historyTimed)
	t.addSlow(sources, slow, sums)
	e.allRoutes.addSlow(sources, slow, sums)
	e.total.add(sums)
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

// bad returns the evidence and true when a test has reached badScore.
func (e *evaluator) bad(m kctport.Move) (string, bool) {
	if text, ok := e.allRoutes.bad(m, "all routes", e.singleSource); ok {
		return text, true
	}
	for _, route := range e.routeOrder {
		if text, ok := e.routes[route].bad(m, fmt.Sprintf("route %q", route), e.singleSource); ok {
			return text, true
		}
	}
	return "", false
}

func (t *routeTests) bad(m kctport.Move, where string, singleSource bool) (string, bool) {
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
	return "", false
}

func (t *routeTests) worst(singleSource bool) float64 {
	worst := 0.0
	for i := range t.failure {
		worst = max(worst, t.failure[i].confirmed(singleSource))
	}
	for i := range t.slow {
		worst = max(worst, t.slow[i].confirmed(singleSource))
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
// version and those for slight ones favour it, the most that few requests can show.
func (e *evaluator) likelyGood() bool {
	f, s := e.allRoutes.failure, e.allRoutes.slow
	return f[1].good <= goodScore && s[1].good <= goodScore && f[0].good < 0 && s[0].good < 0 && !e.suspected()
}

// suspected reports whether a test has reached suspicionScore.
func (e *evaluator) suspected() bool {
	return e.worst() >= suspicionScore
}

// worst returns the highest log-likelihood ratio of all tests.
func (e *evaluator) worst() float64 {
	worst := e.allRoutes.worst(e.singleSource)
	for _, t := range e.routes {
		worst = max(worst, t.worst(e.singleSource))
	}
	return worst
}

// summary describes the counts since the start of the move, for operators.
func (e *evaluator) summary(m kctport.Move) string {
	n, o := e.total.new, e.total.old
	return fmt.Sprintf("%s: %d requests, %d failed, %d slow; %s: %d requests, %d failed, %d slow",
		m.To, n.requests, n.failures, n.slow, m.From, o.requests, o.failures, o.slow)
}
