package kctquery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/core/kctroute"
)

const (
	// defaultMargin is the time reserved for the reply to reach the caller, which takes 1 ms to 3 ms.
	defaultMargin = 3 * time.Millisecond
	// recheckDelay is the pause before control state is read again when it lacks
	// what the request needs. It doubles with each pause after refusals that cost
	// the endpoints nothing, since they still load the peers and the network.
	// maxPauses pauses, 620 ms, cover the time until the failure of an owner is
	// detected; an answer that lacks an unavailable shard is delayed no longer.
	recheckDelay = 20 * time.Millisecond
	maxPauses    = 5
	// hedgeRetryDivisor divides the hedge delay into the pause before a hedge that
	// found no budget is tried again. Parts at a straggler stay unanswered for longer
	// than the tail of healthy endpoints, so short pauses give them most of the budget.
	hedgeRetryDivisor = 4
	// retryReserve is the number of extra attempts in the budget that hedges leave to
	// retries, since a hedge saves time and a retry saves a part. The hedge of a
	// canary saves all parts of the query and may use them.
	retryReserve = 5
	// canaryDelayFactor hedge delays, and at least minCanaryHedgeDelay, pass before a
	// canary is hedged. A body that crashes endpoints and is hedged early crashes two
	// at once, before either owner has the other's report; without a hedge, a canary
	// lost in the network would leave the query without an answer.
	canaryDelayFactor   = 8
	minCanaryHedgeDelay = 100 * time.Millisecond
	// maxFreeRetries bounds the attempts of a part between two pauses that take no
	// budget: those after refusals that cost the endpoint nothing, such as a change
	// of owner.
	maxFreeRetries = 2
)

// Engine executes queries; it is safe for concurrent use.
type Engine struct {
	views   kctport.Views
	timer   kctport.Timer
	sender  kctport.Sender
	picker  kctport.Picker
	hedger  kctport.Hedger
	budget  kctport.Budget
	checker kctport.Checker
	margin  time.Duration

	index          *kctroute.Index
	passedCanaries *passedCanaries
	counts         counters
	attempts       attempts
	prefix         string
	sequence       atomic.Uint64
}

// Option changes an Engine at construction.
type Option func(*Engine)

// WithMargin sets the time reserved for the reply to reach the caller.
func WithMargin(d time.Duration) Option {
	return func(e *Engine) { e.margin = d }
}

// NewEngine returns an Engine with its own Index and the default margin unless options change them.
func NewEngine(views kctport.Views, timer kctport.Timer, sender kctport.Sender, picker kctport.Picker,
	hedger kctport.Hedger, budget kctport.Budget, checker kctport.Checker, opts ...Option,
) *Engine {
	e := &Engine{
		views: views, timer: timer, sender: sender, picker: picker, hedger: hedger, budget: budget, checker: checker,
		margin: defaultMargin, index: kctroute.NewIndex(), passedCanaries: newPassedCanaries(), prefix: strconv.FormatUint(rand.Uint64(), 36),
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// WithIndex shares an index with others that read the same views, such as the picker.
func WithIndex(x *kctroute.Index) Option {
	return func(e *Engine) { e.index = x }
}

// recordLatency passes the latency of an attempt to a picker that records latencies.
func (e *Engine) recordLatency(a *attempt, latency time.Duration, givenUp bool, now time.Time) {
	if l, ok := e.picker.(kctport.LatencyRecorder); ok {
		l.RecordLatency(a.replica, latency, givenUp, now)
	}
}

// mayHedge reports whether the budget holds more than retryReserve; it is true for a budget without an Available method.
func (e *Engine) mayHedge() bool {
	b, ok := e.budget.(interface{ Available() float64 })
	return !ok || b.Available() > retryReserve
}

// uniqueID returns an identifier that no other query or attempt of any engine has.
func (e *Engine) uniqueID() string {
	return e.prefix + "." + strconv.FormatUint(e.sequence.Add(1), 36)
}

// view returns a fresh view under which new work may start; its errors wrap ErrNotRun.
func (e *Engine) view(ctx context.Context) (*kctport.View, error) {
	v := e.views.View()
	if !v.Fresh(e.timer.Now()) {
		var err error
		if v, err = e.views.Wait(ctx); err != nil {
			return nil, refuse(err, "no fresh view")
		}
	}
	if v.Isolated {
		return nil, refuse(kctport.ErrIsolated, "entry %s", v.Self.ID)
	}
	return v, nil
}

// pause waits before the next check of control state; it returns false when the context ends first.
func (e *Engine) pause(ctx context.Context, pauses int) bool {
	select {
	case <-e.timer.After(ctx, pauseBackoff(pauses)):
		return true
	case <-ctx.Done():
		return false
	}
}

// pauseBackoff returns the length of the pause that follows a number of earlier pauses.
func pauseBackoff(pauses int) time.Duration {
	return recheckDelay << min(pauses, maxPauses)
}

// defaultDeadline returns the deadline of a request without one of its own: the longest of its services' policies, or 1 s.
func defaultDeadline(view *kctport.View, now time.Time, services []kctport.ServiceName) time.Time {
	const fallback = time.Second
	var d time.Duration
	for _, s := range services {
		if sv := view.Services[s]; sv != nil {
			d = max(d, sv.Policy.Deadline)
		}
	}
	if d == 0 {
		d = fallback
	}
	return now.Add(d)
}

// refuse returns an error that wraps the cause and ErrNotRun.
func refuse(cause error, format string, args ...any) error {
	return eris.Wrap(errors.Join(cause, kctport.ErrNotRun), fmt.Sprintf(format, args...))
}
