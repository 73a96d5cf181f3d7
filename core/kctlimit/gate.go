package kctlimit

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

const (
	// defaultQueue is the length of the queue when the service's policy sets none.
	defaultQueue = 32
	// holdFactor times the mean latency is how long the slot of a cancelled or
	// timed out attempt stays in use, since the endpoint may still be working on it.
	holdFactor = 2
	minHold    = 5 * time.Millisecond
	// coldHoldFactor replaces holdFactor for a cold endpoint, which is several times slower and stops cancelled work
	// later; a single extra request exceeds its capacity.
	coldHoldFactor = 8
	maxHold        = time.Second
	// unknownHold is the hold while the mean latency is unknown.
	unknownHold = 100 * time.Millisecond
)

var (
	errShed     = errors.Join(kctport.ErrShed, kctport.ErrNotRun)
	errCanceled = errors.Join(context.Canceled, kctport.ErrNotRun)
	errClosed   = errors.Join(kctport.ErrNotOwner, kctport.ErrNotRun)
	errDeadline = errors.Join(kctport.ErrTimeout, errShed)
)

// Gate admits requests to one endpoint; it is safe for concurrent use.
type Gate struct {
	timer   kctport.Timer
	latency *latencyMean
	checker kctport.Checker

	mu         sync.Mutex
	lim        limiter
	viewTime   time.Time // time of the newest view applied
	lastUsed   time.Time // last use, or creation
	boot       uint64
	coldInView bool // the newest view marks the endpoint as cold
	inFlight   []*permit
	held       []time.Time
	queue      queue
	queueLimit int
	sheds      int
	closed     bool
}

// Option changes a Gate at construction.
type Option func(*Gate)

// WithQueue bounds the number of waiting requests.
func WithQueue(queueLimit int) Option {
	return func(g *Gate) { g.queueLimit = queueLimit }
}

// WithChecker reports requests in flight above the bound as an invariant violation.
func WithChecker(c kctport.Checker) Option {
	return func(g *Gate) { g.checker = c }
}

// NewGate returns a Gate for an endpoint that reports the number of slots.
func NewGate(timer kctport.Timer, slots int, opts ...Option) *Gate {
	g := &Gate{timer: timer, latency: new(latencyMean), lim: newLimiter(slots), queueLimit: defaultQueue, lastUsed: timer.Now()}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Update applies a newer view: the reported slots, whether the endpoint is cold, and the end of a handover.
func (g *Gate) Update(slots int, cold bool, handover time.Time) {
	now := g.timer.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lim.resize(slots)
	g.lim.handover = handover
	// Only the transition to cold restarts the slow start: control keeps the
	// mark for a while, and the replies that the gate itself receives are newer.
	if cold && !g.coldInView {
		g.lim.restartSlowStart()
	}
	g.coldInView = cold
	g.advance(now)
}

// Acquire implements kctport.Gate.
func (g *Gate) Acquire(ctx context.Context, call kctport.PartCall) (kctport.Permit, error) {
	if ctx.Err() != nil {
		return nil, eris.Wrap(errCanceled, "before admission")
	}
	now := g.timer.Now()
	w := &waiter{urgent: call.Urgent, deadline: call.Deadline, index: -1, ready: make(chan struct{}, 1)}
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return nil, eris.Wrap(errClosed, "gate closed after the endpoint changed its owner")
	}
	g.advance(now)
	g.detectStall(now)
	if g.lim.allowed(now) == 0 {
		g.mu.Unlock()
		// Refuse rather than queue, since another replica can answer before the handover ends.
		return nil, eris.Wrap(errClosed, "handover of a cold endpoint")
	}
	if len(g.queue) == 0 && g.free(now) > 0 && !g.late(now, w, 0) {
		p := g.grant(now)
		g.mu.Unlock()
		return p, nil
	}
	err := g.enqueue(now, w)
	g.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return g.wait(ctx, w)
}

// free returns the number of slots that may be granted now.
func (g *Gate) free(now time.Time) int {
	return g.lim.allowed(now) - len(g.inFlight) - len(g.held)
}

// late reports whether a request with the given number ahead of it can't be answered by its deadline. An idle endpoint is
// sent every request whose deadline has not passed, since otherwise a mean above all deadlines would never be corrected.
func (g *Gate) late(now time.Time, w *waiter, ahead int) bool {
	if w.deadline.IsZero() {
		return false
	}
	if len(g.inFlight)+len(g.held)+len(g.queue) == 0 {
		return !now.Before(w.deadline)
	}
	mean := g.expectedLatency()
	wait := time.Duration(float64(mean) * float64(ahead) / float64(g.lim.allowed(now)))
	return !now.Add(wait + mean).Before(w.deadline)
}

// expectedLatency returns the service's mean latency times the endpoint's slowness.
func (g *Gate) expectedLatency() time.Duration {
	return time.Duration(float64(g.latency.mean()) * g.lim.start.factor())
}

// enqueue adds a request to the queue, evicting one of lower priority from a full queue, or refuses it.
func (g *Gate) enqueue(now time.Time, w *waiter) error {
	if g.late(now, w, g.queue.aheadOf(w)) {
		g.sheds++
		return eris.Wrapf(errDeadline, "%d waiting, mean latency %s", len(g.queue), g.expectedLatency())
	}
	if len(g.queue) >= g.queueLimit {
		g.sheds++
		if g.queueLimit == 0 || !w.before(g.queue.lowest()) {
			return eris.Wrapf(errShed, "queue of %d is full", g.queueLimit)
		}
		evicted := g.queue.lowest()
		g.queue.remove(evicted)
		evicted.wake()
	}
	g.queue.add(w)
	return nil
}

// wait blocks until the request is granted a slot, evicted, too late for its deadline, or its context ends.
func (g *Gate) wait(ctx context.Context, w *waiter) (kctport.Permit, error) {
	for {
		delay, p, err := g.poll(w)
		if p != nil || err != nil {
			if p == nil {
				return nil, err
			}
			return p, nil
		}
		tick, cancel := context.WithCancel(ctx)
		select {
		case <-w.ready:
		case <-g.timer.After(tick, delay):
		case <-ctx.Done():
			cancel()
			return nil, g.cancelWait(w)
		}
		cancel()
	}
}

// poll returns the waiter's permit or refusal; without either, it returns the longest wait until the next poll.
func (g *Gate) poll(w *waiter) (time.Duration, *permit, error) {
	now := g.timer.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	switch {
	case w.permit != nil:
		return 0, w.permit, nil
	case w.index < 0:
		return 0, nil, eris.Wrap(errShed, "displaced by a more pressing request")
	case g.late(now, w, 0):
		g.queue.remove(w)
		g.sheds++
		return 0, nil, eris.Wrapf(errDeadline, "after waiting, mean latency %s", g.expectedLatency())
	}
	next := now.Add(maxHold)
	if !w.deadline.IsZero() {
		next = earlier(next, w.deadline.Add(-g.expectedLatency()))
	}
	if g.lim.handover.After(now) {
		next = earlier(next, g.lim.handover)
	}
	for _, h := range g.held {
		next = earlier(next, h)
	}
	return next.Sub(now), nil, nil
}

// cancelWait removes a waiter whose context has ended and returns the slot that it may have been granted meanwhile.
func (g *Gate) cancelWait(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.remove(w)
	if w.permit != nil {
		g.release(w.permit)
		g.advance(g.timer.Now())
	}
	return eris.Wrap(errCanceled, "while waiting for a slot")
}

// advance frees the slots whose hold has ended and grants free slots to waiters.
func (g *Gate) advance(now time.Time) {
	g.held = slices.DeleteFunc(g.held, func(until time.Time) bool { return !now.Before(until) })
	granted := false
	for len(g.queue) > 0 && g.free(now) > 0 {
		w := g.queue.popFirst()
		w.permit = g.grant(now)
		w.wake()
		granted = true
	}
	if granted {
		g.wakeFirst()
	}
}

// wakeFirst makes the first waiter recompute its wait, since slots may have been held after the wait began.
func (g *Gate) wakeFirst() {
	if len(g.queue) > 0 && len(g.held) > 0 {
		g.queue[0].wake()
	}
}

// hold keeps the slot of a cancelled or timed out attempt in use for holdFactor times the mean latency.
func (g *Gate) hold(now time.Time, mean time.Duration) {
	factor := time.Duration(holdFactor)
	if g.lim.start.cold {
		factor = coldHoldFactor
	}
	d := min(max(factor*mean, minHold), maxHold)
	if mean == 0 {
		d = unknownHold
	}
	g.held = append(g.held, now.Add(d))
	g.wakeFirst()
}

// grant takes a slot and returns its permit.
func (g *Gate) grant(now time.Time) *permit {
	p := &permit{gate: g, start: now}
	g.inFlight = append(g.inFlight, p)
	if n, limit := len(g.inFlight)+len(g.held), g.lim.allowed(now); n > limit && g.checker != nil {
		g.checker.Check(false, "in flight within the limit", fmt.Sprintf("%d of %d", n, limit))
	}
	return p
}

// release frees the slot of a permit.
func (g *Gate) release(p *permit) {
	if i := slices.Index(g.inFlight, p); i >= 0 {
		g.inFlight = slices.Delete(g.inFlight, i, i+1)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
