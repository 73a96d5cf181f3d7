package kctforward

import (
	"context"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctbalance"
	"kingcupturn/core/kctroutes"
)

const (
	// staleAfter is the age of the last contact with the store beyond which a missing route may only be unknown here.
	staleAfter = 4 * time.Second
	// returnReserve is left for the answer's way to the caller and for the caller's connection before its request.
	returnReserve = 14 * time.Millisecond
	// deadlineReserve lets an answer reach the caller before it stops waiting.
	deadlineReserve = 8 * time.Millisecond
	// abandonGrace lets endpoints finish short work after a caller has left, which costs less than a new connection; work must end within half a second.
	abandonGrace = 200 * time.Millisecond
	// reselectDelay is the wait before another look for an endpoint when none could be used.
	reselectDelay = 25 * time.Millisecond
	// hedgeShare bounds the delay of a hedge to a share of the objective, so that the second attempt can be in time.
	hedgeShare = 0.4
	// hedgeReserve keeps a share of the saved budget for repeats after failures.
	hedgeReserve = 0.15
	// refusalsPerPart bounds how often a part of a request is offered to endpoints that refuse it.
	refusalsPerPart = 3
	// retryAfter is the advice to a refused caller when nothing better is known.
	retryAfter = 150 * time.Millisecond
)

// Engine answers requests; it is safe for concurrent use.
type Engine struct {
	fleets    kctport.Fleets
	timer     kctport.Timer
	exchanger kctport.Exchanger
	balancer  *kctbalance.Balancer
	budget    *kctbalance.Budget
	delays    *kctbalance.Delays
	splitter  *kctroutes.Splitter
	observer  Observer
	attempts  kctport.Observer
}

var _ kctport.Forwarder = (*Engine)(nil)

// Observer takes the story of each request when it has been answered.
type Observer interface {
	Answered(trace *Trace)
}

// Policies are the parts that an engine decides with.
type Policies struct {
	Balancer *kctbalance.Balancer
	Budget   *kctbalance.Budget
	Delays   *kctbalance.Delays
	Splitter *kctroutes.Splitter
}

// NewEngine returns an engine.
func NewEngine(fleets kctport.Fleets, timer kctport.Timer, exchanger kctport.Exchanger, p Policies, observer Observer, opts ...Option) *Engine {
	e := &Engine{
		fleets: fleets, timer: timer, exchanger: exchanger, observer: observer, attempts: noopObserver{},
		balancer: p.Balancer, budget: p.Budget, delays: p.Delays, splitter: p.Splitter,
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Option changes an engine at construction.
type Option func(*Engine)

// WithAttemptObserver hands the end of each attempt to an observer, as evidence about the endpoint's version.
func WithAttemptObserver(o kctport.Observer) Option {
	return func(e *Engine) { e.attempts = o }
}

type noopObserver struct{}

func (noopObserver) Observe(kctport.Observation) {}

// Forward answers a request; a reply with status 503 or 429 means that no endpoint ran it or will.
func (e *Engine) Forward(ctx context.Context, message *kctport.Message) kctport.Reply {
	fleet := e.fleets.Fleet()
	now := e.timer.Now()
	trace := &Trace{Message: message, Start: message.Received, Fleet: fleet}
	reply, route := e.matchRoute(fleet, message, now)
	if route != nil {
		c := e.newCall(fleet, route, message, trace)
		reply = c.run(ctx)
	}
	trace.Route, trace.Reply, trace.End = route, &reply, e.timer.Now()
	e.observer.Answered(trace)
	return reply
}

// matchRoute finds the route, or the answer to a request that has none.
func (e *Engine) matchRoute(fleet *kctport.Fleet, message *kctport.Message, now time.Time) (kctport.Reply, *kctport.Route) {
	if fleet.Rules == nil {
		return refusal("no rules known yet"), nil
	}
	route := fleet.Table.Match(message.Host, message.Path)
	if route != nil {
		return kctport.Reply{}, route
	}
	if now.Sub(fleet.Contact) > staleAfter {
		// The route may have been added since.
		return refusal("no route, and the rules may be out of date"), nil
	}
	return kctport.Reply{Status: statusNotFound, Own: true, Reason: "no route"}, nil
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

// refusal promises that the request has not run and will not.
func refusal(reason string) kctport.Reply {
	return kctport.Reply{Status: statusUnavailable, Own: true, Reason: reason, RetryAfter: retryAfter}
}

// failure promises nothing about the request.
func failure(status int, reason string) kctport.Reply {
	return kctport.Reply{Status: status, Own: true, Reason: reason}
}
