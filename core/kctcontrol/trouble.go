package kctcontrol

import (
	"context"
	"errors"
	"sync"
)

// FailureFunc takes the error with which a task of control begins to fail, and nil once it works again.
type FailureFunc func(task string, err error)

// WithFailureReport reports the tasks that fail; each is reported once until it works again.
func WithFailureReport(f FailureFunc) Option {
	return func(c *Controller) { c.troubles.report = f }
}

// troubles keeps which tasks fail at the moment; the tasks' goroutines share it.
type troubles struct {
	report FailureFunc

	mu      sync.Mutex
	failing map[string]bool
}

// trouble notes how a call of a task ended; the end of the process is no trouble.
func (c *Controller) trouble(task string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	t := &c.troubles
	t.mu.Lock()
	changed := t.failing[task] != (err != nil)
	t.failing[task] = err != nil
	t.mu.Unlock()
	if changed {
		t.report(task, err)
	}
}
