package kctfake

import (
	"context"
	"time"
)

// restartRetryDelay is the time until the next attempt to listen when the port is still in use.
const restartRetryDelay = 20 * time.Millisecond

// Crash resets all connections and closes the listener. After RestartDelay the endpoint starts again, cold and with a new boot identifier;
// with a RestartDelay of 0 it stays down.
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
		e.scheduleRestart(restart)
	}
}

// scheduleRestart restarts the endpoint after the delay unless it has been stopped.
func (e *Endpoint) scheduleRestart(delay time.Duration) {
	t := time.AfterFunc(delay, e.restart)
	context.AfterFunc(e.ctx, func() { t.Stop() })
}

// restart listens again, and retries after restartRetryDelay if that fails.
func (e *Endpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped || e.ctx.Err() != nil {
		return
	}
	if err := e.listen(); err != nil {
		e.scheduleRestart(restartRetryDelay)
	}
}
