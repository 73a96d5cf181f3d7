package kctforward

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctadmission"
	"kingcupturn/core/kctbalance"
	"kingcupturn/core/kctroutetable"
	"kingcupturn/core/kctsuspect"
)

const (
	// defaultApplyDeadline is the time within which a change of the rules must be in force.
	defaultApplyDeadline = 3 * time.Second
	// returnReserve is kept for sending the answer to the caller and for the caller's connection setup before the request: four times the 3 ms to today's
	// most distant callers.
	returnReserve = 12 * time.Millisecond
	// deadlineReserve is the time before the deadline at which the reply is decided, so that it reaches the caller in time.
	deadlineReserve = 8 * time.Millisecond
	// abandonGrace lets endpoints finish short work after the caller disconnected, which costs less than a new connection;
	// the work has to end within 500 ms.
	abandonGrace = 200 * time.Millisecond
	// reselectDelay is the wait before endpoint selection is repeated when no endpoint was usable.
	reselectDelay = 25 * time.Millisecond
	// hedgeShare bounds the hedge delay to a share of the objective, so that the hedge can still meet it.
	hedgeShare = 0.4
	// hedgeReserve is the share of the budget's capacity that hedges leave for retries after failures.
	hedgeReserve = 0.15
	// refusalsPerPart is the number of refusals of a part beyond which a gather sends it again only after reselectDelay, and any other
	// request gets no further attempt.
	refusalsPerPart = 3
	// retryAfter is the delay after which a refused caller is asked to retry.
	retryAfter = 150 * time.Millisecond
	// handoverDelay takes its place while this entry stops, since another entry can serve the caller at once.
	handoverDelay = 10 * time.Millisecond
	// drainObjectives is the time, in objectives of its route, within which a request that may be repeated is expected to be answered.
	drainObjectives = 2
)

// Engine answers requests; it is safe for concurrent use.
type Engine struct {
	fleets          kctport.Fleets
	timer           kctport.Timer
	exchanger       kctport.Exchanger
	balancer        *kctbalance.Balancer
	budget          *kctbalance.Budget
	delays          *kctbalance.HedgeDelays
	splitter        *kctroutetable.Splitter
	observer        Observer
	attemptObserver kctport.Observer
	suspects        *kctsuspect.Detector
	applyDeadline   time.Duration
	// draining is closed once this entry stops, and stopsAt is then the time by which all requests must be answered.
	draining  chan struct{}
	drainOnce sync.Once
	stopsAt   atomic.Pointer[time.Time]
	// coverages holds the strictest coverage by priority of the rules for which it was last computed.
	coverages atomic.Pointer[coverages]
	repeats   *kctadmission.Repeats
	lag       lag
}

// coverages holds the greatest minimum coverage of rules' routes by priority.
type coverages struct {
	rules      *kctport.Rules
	byPriority map[int]float64
}

var _ kctport.Forwarder = (*Engine)(nil)

// Observer receives the trace of each answered request.
type Observer interface {
	Answered(trace *Trace)
}

// Policies holds an engine's balancing, retry budget and hedging policies, and the splitter of requests among a route's weighted targets.
type Policies struct {
	Balancer *kctbalance.Balancer
	Budget   *kctbalance.Budget
	Delays   *kctbalance.HedgeDelays
	Splitter *kctroutetable.Splitter
}

// NewEngine returns an engine that sends attempts through the exchanger and reports each request's trace to the observer.
func NewEngine(fleets kctport.Fleets, timer kctport.Timer, exchanger kctport.Exchanger, p Policies, observer Observer, opts ...Option) *Engine {
	e := &Engine{
		fleets: fleets, timer: timer, exchanger: exchanger, observer: observer, attemptObserver: noopObserver{},
		applyDeadline: defaultApplyDeadline, draining: make(chan struct{}),
		suspects: kctsuspect.NewDetector(kctsuspect.NewMemory(timer), noProber{}),
		repeats:  kctadmission.NewRepeats(),
		balancer: p.Balancer, budget: p.Budget, delays: p.Delays, splitter: p.Splitter,
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Option changes an engine at construction.
type Option func(*Engine)

// WithAttemptObserver reports the outcome of each attempt to an observer, as evidence about the endpoint's version.
func WithAttemptObserver(o kctport.Observer) Option {
	return func(e *Engine) { e.attemptObserver = o }
}

// WithSuspects sets what finds and refuses requests that crash endpoints.
func WithSuspects(d *kctsuspect.Detector) Option {
	return func(e *Engine) { e.suspects = d }
}

// WithApplyDeadline sets the time within which a change of the rules must be in force.
func WithApplyDeadline(deadline time.Duration) Option {
	return func(e *Engine) { e.applyDeadline = deadline }
}

type noopObserver struct{}

func (noopObserver) Observe(kctport.Observation) {}

type noProber struct{}

func (noProber) Probe(context.Context, netip.AddrPort) kctport.Liveness {
	return kctport.LivenessUnknown
}

// Forward answers a request; a reply with status 503 or 429 means that no endpoint has run it or will.
func (e *Engine) Forward(ctx context.Context, message *kctport.Message) kctport.Reply {
	fleet := e.fleets.Fleet()
	now := e.timer.Now()
	trace := &Trace{Message: message, Start: message.Received, Fleet: fleet}
	reply, route := e.matchRoute(fleet, message, now)
	if route != nil {
		reply = e.answer(ctx, e.newCall(fleet, route, message, trace), now)
	}
	trace.Route, trace.Reply, trace.End = route, &reply, e.timer.Now()
	e.observer.Answered(trace)
	return reply
}

// answer runs a request, unless this entry stops before it can be expected to be answered.
func (e *Engine) answer(ctx context.Context, c *call, now time.Time) kctport.Reply {
	stopsAt := e.stopsAt.Load()
	if stopsAt != nil && stopsAt.Sub(now) < c.expectedTime(now) {
		reply := refusal("this entry stops too soon")
		reply.RetryAfter = handoverDelay
		return reply
	}
	reply := c.run(ctx)
	if c.isDue {
		e.lag.record(e.timer.Now().Sub(c.softDeadline))
	}
	return reply
}

// Drain makes this entry answer all requests by the time at which it stops, and refuse new ones that it can't be expected to answer by then.
func (e *Engine) Drain(stopsAt time.Time) {
	e.drainOnce.Do(func() {
		e.stopsAt.Store(&stopsAt)
		close(e.draining)
	})
}

// matchRoute returns the request's route, or the reply to a request without one.
func (e *Engine) matchRoute(fleet *kctport.Fleet, message *kctport.Message, now time.Time) (kctport.Reply, *kctport.Route) {
	if fleet.Rules == nil {
		return refusal("no rules known yet"), nil
	}
	route := fleet.Table.Match(message.Host, message.Path)
	if route != nil {
		return kctport.Reply{}, route
	}
	if now.Sub(fleet.LastContact) >= e.applyDeadline {
		// A version that has the route may have been acknowledged so long ago that it must be in force.
		return refusal("no route, and the rules may be out of date"), nil
	}
	return kctport.Reply{Status: statusNotFound, Local: true, Reason: "no route"}, nil
}

// urgentCoverage returns the greatest minimum coverage of the gathers that are more urgent than a priority.
func (e *Engine) urgentCoverage(rules *kctport.Rules, priority int) float64 {
	known := e.coverages.Load()
	if known == nil || known.rules != rules {
		known = &coverages{rules: rules, byPriority: map[int]float64{}}
		for _, r := range rules.Routes {
			if len(r.Gather) > 0 {
				known.byPriority[r.Priority] = max(known.byPriority[r.Priority], r.MinCoverage)
			}
		}
		e.coverages.Store(known)
	}
	greatest := 0.0
	for p, coverage := range known.byPriority {
		if p < priority {
			greatest = max(greatest, coverage)
		}
	}
	return greatest
}

// The status codes of the tier's own answers.
const (
	statusOK          = 200
	statusNotFound    = 404
	statusServerError = 500
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
)

// refusal returns a reply which states that the request has not run and will not.
func refusal(reason string) kctport.Reply {
	return kctport.Reply{Status: statusUnavailable, Local: true, Reason: reason, RetryAfter: retryAfter}
}

// failure returns a reply that leaves open whether the request ran.
func failure(status int, reason string) kctport.Reply {
	return kctport.Reply{Status: status, Local: true, Reason: reason}
}
