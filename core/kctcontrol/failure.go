package kctcontrol

import (
	"context"
	"errors"
	"sync"
)

// FailureFunc receives the error with which a control task starts to fail, and nil once it succeeds again.
type FailureFunc func(task string, err error)

// WithFailureReport sets a function that is called when a task starts to fail and when it succeeds again.
func WithFailureReport(f FailureFunc) Option {
	return func(c *Controller) { c.failures.report = f }
}

// failures holds which tasks are failing; it is safe for concurrent use by their goroutines.
type failures struct {
	report FailureFunc

	mu      sync.Mutex
	failing map[string]bool
}

// recordOutcome records the result of one run of a task and reports a change between success and failure; cancellation
// at shutdown is ignored.
func (c *Controller) recordOutcome(task string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	f := &c.failures
	f.mu.Lock()
	changed := f.failing[task] != (err != nil)
	f.failing[task] = err != nil
	f.mu.Unlock()
	if changed {
		f.report(task, err)
	}
}
