package kctlimit

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

// permit is one slot in use.
type permit struct {
	gate    *Gate
	start   time.Time
	stalled bool // already counted as a slow reply
	done    bool
}

// Done implements kctport.Permit; only the first call counts.
func (p *permit) Done(latency time.Duration, err error) {
	g := p.gate
	now := g.timer.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	count := len(g.inFlight)
	full := count+len(g.held) >= g.lim.allowed(now)
	g.release(p)
	g.recordOutcome(now, p, latency, err, count, full)
	g.advance(now)
}

// recordOutcome applies the outcome of an attempt to the limiter and the mean latency.
func (g *Gate) recordOutcome(now time.Time, p *permit, latency time.Duration, err error, inFlight int, full bool) {
	mean := g.expectedLatency()
	switch {
	case err == nil && p.stalled && !g.lim.start.cold:
		g.latency.add(latency)
	case err == nil:
		g.lim.countReply(now, latency, g.latency, full)
	case errors.Is(err, kctport.ErrShed):
		g.lim.countShed(now, inFlight, mean)
	case abandoned(err):
		g.hold(now, mean)
		if g.lim.overdue(latency, g.latency) {
			g.overdue(now, p)
		}
	case errors.Is(err, kctport.ErrReset):
		// The endpoint process may have crashed and restarted, and is cold then.
		g.lim.restartSlowStart()
	}
}

// overdue records an attempt that takes longer than a slow reply, once per attempt.
func (g *Gate) overdue(now time.Time, p *permit) {
	if !p.stalled {
		p.stalled = true
		g.lim.slowReply(now)
	}
}

// detectStall records attempts in flight for longer than a slow reply takes, so that an endpoint that stops replying is
// detected before its attempts time out.
func (g *Gate) detectStall(now time.Time) {
	for _, p := range g.inFlight {
		if g.lim.overdue(now.Sub(p.start), g.latency) {
			g.overdue(now, p)
		}
	}
}

// abandoned reports whether the attempt timed out or was cancelled while the endpoint may still be working on it.
func abandoned(err error) bool {
	return !errors.Is(err, kctport.ErrNotRun) &&
		(errors.Is(err, kctport.ErrTimeout) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded))
}
