package kctfake

import (
	"context"
	"time"
)

// restartRetry is the wait before another try to listen, when the port is still in use.
const restartRetry = 20 * time.Millisecond

// Crash resets all connections, closes the listener, and starts again cold with a new boot identifier after the restart time.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	s, a, restart := e.server, e.acceptor, time.Duration(e.faults.RestartDelay)
	e.server, e.acceptor = nil, nil
	if s != nil {
		e.counts.Crashes++
		a.addTo(&e.counts)
	}
	e.mu.Unlock()
	if s == nil {
		return
	}
	_ = a.Close()
	for _, c := range a.connections() {
		c.reset()
	}
	s.close()
	if restart > 0 {
		e.plan(restart)
	}
}

// plan restarts the endpoint after the delay unless it was stopped.
func (e *Endpoint) plan(delay time.Duration) {
	t := time.AfterFunc(delay, e.restart)
	context.AfterFunc(e.ctx, func() { t.Stop() })
}

func (e *Endpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped || e.ctx.Err() != nil {
		return
	}
	if err := e.listen(); err != nil {
		e.plan(restartRetry)
	}
}
