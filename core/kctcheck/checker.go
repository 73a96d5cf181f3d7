package kctcheck

import (
	"maps"
	"sync"
)

// Checker counts and reports violated invariants; it is safe for concurrent use.
type Checker struct {
	report           func(invariant, evidence string)
	panicOnViolation bool

	mu     sync.Mutex
	counts map[string]int
}

// Option configures a Checker.
type Option func(*Checker)

// Panic makes Check panic on a violation, for tests.
func Panic() Option {
	return func(c *Checker) { c.panicOnViolation = true }
}

// New returns a Checker that calls report for each violation; report may be nil.
func New(report func(invariant, evidence string), opts ...Option) *Checker {
	c := &Checker{report: report, counts: make(map[string]int)}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Check implements kctport.Checker; a false ok is a violation of the invariant.
func (c *Checker) Check(ok bool, invariant string, evidence string) {
	if ok {
		return
	}
	c.mu.Lock()
	c.counts[invariant]++
	c.mu.Unlock()
	if c.report != nil {
		c.report(invariant, evidence)
	}
	if c.panicOnViolation {
		panic("invariant violated: " + invariant + ": " + evidence)
	}
}

// Counts returns the number of violations by invariant; invariants without violations are absent.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
