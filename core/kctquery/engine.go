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
	// defaultMargin is kept for the way back to the caller; callers are 1 ms to 3 ms away.
	defaultMargin = 3 * time.Millisecond
	// recheckDelay is the pause before control state is read again when it lacks
	// what the request needs. It doubles with each pause after refusals that cost
	// the endpoints nothing, since they cost the peers and the network something.
	// maxPauses of them, 620 ms, cover the time until the failure of an owner is
	// noticed; an answer that lacks a lost shard is not held up for longer.
	recheckDelay = 20 * time.Millisecond
	maxPauses    = 5
	// hedgeAgain divides the hedge delay into the pause before a hedge that found
	// no budget is tried again. Parts at a straggler stay open for longer than
	// the tail of healthy endpoints, so short pauses give them most of the budget.
	hedgeAgain = 4
	// retryReserve is the number of extra attempts that hedges leave to retries,
	// since a hedge saves time and a retry saves a part. A canary's hedge saves
	// the whole query and may use them.
	retryReserve = 5
	// canaryDelays hedge delays, and at least canaryPatience, pass before a canary
	// is hedged. A body that crashes endpoints and is hedged early crashes two at
	// once, and neither owner knows of the other's crash; but a canary that is
	// lost on its way would cost the whole query.
	canaryDelays   = 8
	canaryPatience = 100 * time.Millisecond
	// freeRetries bounds the extra attempts of a part between two pauses after
	// refusals that cost the endpoint nothing, such as a change of owner; they
	// take no budget.
	freeRetries = 2
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

	index    *kctroute.Index
	seen     *seen
	counts   counters
	attempts attempts
	prefix   string
	sequence atomic.Uint64
}

// Option changes an Engine at construction.
type Option func(*Engine)

// WithMargin sets the time kept for the way back to the caller.
func WithMargin(d time.Duration) Option {
	return func(e *Engine) { e.margin = d }
}

// NewEngine returns an Engine.
func NewEngine(views kctport.Views, timer kctport.Timer, sender kctport.Sender, picker kctport.Picker,
	hedger kctport.Hedger, budget kctport.Budget, checker kctport.Checker, opts ...Option,
) *Engine {
	e := &Engine{
		views: views, timer: timer, sender: sender, picker: picker, hedger: hedger, budget: budget, checker: checker,
		margin: defaultMargin, index: kctroute.NewIndex(), seen: newSeen(), prefix: strconv.FormatUint(rand.Uint64(), 36),
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

// learn tells the picker how an attempt went, if it wants to know.
func (e *Engine) learn(a *attempt, latency time.Duration, givenUp bool, now time.Time) {
	if l, ok := e.picker.(kctport.LatencyRecorder); ok {
		l.RecordLatency(a.replica, latency, givenUp, now)
	}
}

// mayHedge reports whether the budget holds more than what is reserved for retries.
func (e *Engine) mayHedge() bool {
	b, ok := e.budget.(interface{ Available() float64 })
	return !ok || b.Available() > retryReserve
}

// unique returns an identifier that no other attempt of any engine has.
func (e *Engine) unique() string {
	return e.prefix + "." + strconv.FormatUint(e.sequence.Add(1), 36)
}

// view returns a fresh view under which new work may start.
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

// pause waits for the next check of control state, or returns false when the context ends first.
func (e *Engine) pause(ctx context.Context, earlier int) bool {
	select {
	case <-e.timer.After(ctx, delay(earlier)):
		return true
	case <-ctx.Done():
		return false
	}
}

// delay returns the pause after a number of earlier ones.
func delay(earlier int) time.Duration {
	return recheckDelay << min(earlier, maxPauses)
}

// allotted returns the deadline that the services' policies give a request without one of its own.
func allotted(view *kctport.View, now time.Time, services []kctport.ServiceName) time.Time {
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
