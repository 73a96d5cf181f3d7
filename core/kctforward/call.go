package kctforward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctbalance"
	"kingcupturn/core/kctsuspect"
)

// call is a request in progress. Only the goroutine of its caller uses it; the outcomes of attempts come through results.
type call struct {
	engine *Engine
	// fleet is the state with which the request began; its rules hold for the whole request.
	fleet   *kctport.Fleet
	route   *kctport.Route
	message *kctport.Message
	trace   *Trace
	// deadline is the earlier of the caller's deadline and the route's timeout, answerBy the earlier of it and the time at which this entry stops.
	deadline time.Time
	answerBy time.Time
	// softDeadline is when a gather is answered from the parts received, if they reach the route's minimum coverage; isDue is set when it was answered for
	// that.
	softDeadline time.Time
	isDue        bool
	// wasEnough is set when the parts received reached the minimum coverage at the last decision.
	wasEnough bool
	// includeAt is when parts that were left out are sent after all if the others don't reach the minimum coverage; zero without such parts.
	includeAt time.Time
	parts     []*part
	results   inbox
	// exchange makes the attempts. Their context may outlive the call; refs counts the running attempts and the call.
	exchange kctport.Exchange
	attempts context.Context
	cancel   context.CancelFunc
	refs     atomic.Int32
	// hash is what identifies the request when it comes again; it is computed when it is first needed.
	hash     kctsuspect.RequestHash
	hashOnce sync.Once
}

// part is the work of one service for a request.
type part struct {
	service kctport.ServiceName
	tried   []kctport.InstanceID
	// pending are the attempts without a result; ran counts attempts that the endpoint ran or may have run.
	pending []*kctbalance.Attempt
	ran     int
	// delivered counts attempts that reached an endpoint, whether they ran or not; the first one is not charged to the budget.
	delivered int
	refusals  int
	// response is the accepted answer; failed is the first failure that an endpoint itself answered, returned to the caller if
	// no attempt succeeds.
	response *kctport.Response
	failed   *kctport.Response
	// nextAt is when the part is hedged or an endpoint is selected again; zero for never.
	nextAt time.Time
	// leftOut is set while the request does without the part, since the endpoints of its shard take few requests.
	leftOut bool
	// quarantine is the time for which the part is refused since the request crashes endpoints, 0 when it is not.
	quarantine time.Duration
}

// lastTried returns the endpoint of the latest attempt, empty without one.
func (p *part) lastTried() kctport.InstanceID {
	if len(p.tried) == 0 {
		return ""
	}
	return p.tried[len(p.tried)-1]
}

// finish removes an attempt from the pending ones.
func (p *part) finish(a *kctbalance.Attempt) {
	p.pending = slices.DeleteFunc(p.pending, func(other *kctbalance.Attempt) bool { return other == a })
}

// result is the outcome of one attempt.
type result struct {
	part     *part
	attempt  *kctbalance.Attempt
	response kctport.Response
	err      error
}

func (e *Engine) newCall(fleet *kctport.Fleet, route *kctport.Route, message *kctport.Message, trace *Trace) *call {
	c := &call{engine: e, fleet: fleet, route: route, message: message, trace: trace, results: newInbox()}
	c.deadline = message.Deadline
	if limit := message.Received.Add(route.Timeout); route.Timeout > 0 && limit.Before(c.deadline) {
		c.deadline = limit
	}
	c.answerBy = c.deadline
	c.softDeadline = message.Received.Add(route.Objective - returnReserve - e.lag.allowance(route.Objective))
	if len(route.Gather) > 0 {
		for _, s := range route.Gather {
			c.parts = append(c.parts, &part{service: s})
		}
	} else {
		c.parts = []*part{{service: e.splitter.Next(route)}}
	}
	return c
}

// run sends the parts of the request and returns the reply.
func (c *call) run(ctx context.Context) kctport.Reply {
	c.attempts, c.cancel = context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	c.refs.Store(1)
	defer c.release()
	defer c.results.close()
	c.exchange = c.engine.exchanger.Open(c.attempts, c.message)
	for _, p := range c.parts {
		c.engine.budget.Deposit(p.service)
	}
	if reply, ok := c.refuseUncoverable(); ok {
		return reply
	}
	now := c.engine.timer.Now()
	if reply, ok := c.refuseQuarantined(now); ok {
		return reply
	}
	if reply, ok := c.admit(now); ok {
		return reply
	}
	for _, p := range c.parts {
		if !p.leftOut {
			c.launch(p)
		}
	}
	return c.collect(ctx)
}

// expectedTime returns the time within which the request can be expected to be answered: all the time that it has if it may not be repeated, since its
// outcome would be unknown after that.
func (c *call) expectedTime(now time.Time) time.Duration {
	allowed := c.deadline.Sub(now)
	if c.route.Idempotent {
		return min(allowed, drainObjectives*c.route.Objective)
	}
	return allowed
}

// boundByStop makes the request be answered by the time at which this entry stops.
func (c *call) boundByStop() {
	if at := c.engine.stopsAt.Load(); at != nil && at.Before(c.answerBy) {
		c.answerBy = *at
	}
}

// release drops a reference and cancels the attempts' context with the last one.
func (c *call) release() {
	if c.refs.Add(-1) == 0 {
		c.cancel()
	}
}

// refuseUncoverable refuses a request when too many of its services have no endpoint to reach the minimum coverage.
func (c *call) refuseUncoverable() (kctport.Reply, bool) {
	available := 0
	for _, p := range c.parts {
		if len(c.fleet.Endpoints[p.service]) > 0 {
			available++
		}
	}
	if available > 0 && c.meetsCoverage(available) {
		return kctport.Reply{}, false
	}
	return refusal("no endpoint known for too many shards"), true
}

// meetsCoverage reports whether the number of answered parts reaches the route's minimum coverage.
func (c *call) meetsCoverage(parts int) bool {
	return parts > 0 && float64(parts) >= c.route.MinCoverage*float64(len(c.parts))-coverageRounding
}

// coverageRounding absorbs the rounding error of a decimal coverage.
const coverageRounding = 1e-9

// collect handles results and timers until the request is decided.
func (c *call) collect(ctx context.Context) kctport.Reply {
	wakeup := alarm{call: c}
	defer wakeup.stop()
	callerDone, draining := ctx.Done(), c.engine.draining
	for {
		for _, r := range c.results.take() {
			c.handleResult(r)
		}
		now := c.engine.timer.Now()
		if reply, ok := c.decide(now); ok {
			c.addUnanswered(now, reply)
			return reply
		}
		wakeup.set(now, c.nextEvent(now))
		select {
		case <-c.results.arrived:
		case <-wakeup.ticks:
			wakeup.stop()
			c.launchDue(c.engine.timer.Now())
		case <-callerDone:
			return c.abandon()
		case <-draining:
			draining = nil
			c.boundByStop()
		}
	}
}

// abandon ends the request of a caller that disconnected: it starts no attempts and cancels those that still run after abandonGrace.
func (c *call) abandon() kctport.Reply {
	c.trace.CallerLeft = true
	grace := alarm{call: c}
	defer grace.stop()
	now := c.engine.timer.Now()
	grace.set(now, now.Add(abandonGrace))
	for c.pending() > 0 {
		select {
		case <-c.results.arrived:
			for _, r := range c.results.take() {
				r.part.finish(r.attempt)
			}
		case <-grace.ticks:
			c.cancel()
			return failure(statusBadGateway, "caller left")
		}
	}
	return failure(statusBadGateway, "caller left")
}

func (c *call) pending() int {
	n := 0
	for _, p := range c.parts {
		n += len(p.pending)
	}
	return n
}

// nextEvent returns the earliest of the deadline, the soft deadline and the parts' next attempts.
func (c *call) nextEvent(now time.Time) time.Time {
	next := c.answerBy.Add(-deadlineReserve)
	if len(c.route.Gather) > 0 && c.softDeadline.After(now) && c.softDeadline.Before(next) {
		next = c.softDeadline
	}
	if !c.includeAt.IsZero() && c.includeAt.Before(next) {
		next = c.includeAt
	}
	for _, p := range c.parts {
		if p.response == nil && !p.nextAt.IsZero() && p.nextAt.Before(next) {
			next = p.nextAt
		}
	}
	return next
}

// launchDue starts the attempts that are due: hedges, parts that had no usable endpoint before, and parts that were left out.
func (c *call) launchDue(now time.Time) {
	if !c.includeAt.IsZero() && !c.includeAt.After(now) {
		c.includeAt = time.Time{}
		c.includeLeftOut()
	}
	for _, p := range c.parts {
		if p.response != nil || p.nextAt.IsZero() || p.nextAt.After(now) {
			continue
		}
		p.nextAt = time.Time{}
		hedge := len(p.pending) > 0
		if hedge && c.isScarce(now, p) || !c.withdrawAttempt(p, hedgeReserve) {
			continue
		}
		if c.launch(p) && hedge {
			c.trace.Hedges++
		}
	}
}

// withdrawAttempt reports whether the part may be sent again, and charges an extra attempt to the budget.
func (c *call) withdrawAttempt(p *part, reserve float64) bool {
	if sent := p.ran + len(p.pending); sent >= c.route.Attempts || sent > 0 && !c.route.Idempotent {
		return false
	}
	return p.delivered+len(p.pending) == 0 || c.engine.budget.Withdraw(p.service, reserve)
}

// launch starts an attempt at the part; when no endpoint is usable, it schedules another selection and returns false.
func (c *call) launch(p *part) bool {
	e := c.engine
	if c.isRepeatRefused(p) {
		p.nextAt = time.Time{}
		return false
	}
	now := e.timer.Now()
	criteria := kctbalance.Criteria{Service: p.service, Route: c.route.Name, Tried: p.tried}
	if len(p.tried) == 0 {
		criteria.MaxWait = roomWait
	}
	a := e.balancer.Start(now, c.currentFleet(), criteria)
	if a == nil && len(p.pending) == 0 && len(p.tried) > 0 && c.route.Idempotent {
		// Every endpoint has been tried; sending to one again is better than giving up.
		p.tried = p.tried[:0]
	}
	if a == nil {
		p.nextAt = c.reselectAt(now, p)
		return false
	}
	repeat := len(p.pending)+p.ran+p.refusals > 0
	p.tried = append(p.tried, a.Endpoint.ID)
	p.pending = append(p.pending, a)
	c.trace.Attempts++
	if c.route.Idempotent {
		p.nextAt = now.Add(a.Wait + e.delays.Delay(c.route.Name, time.Duration(hedgeShare*float64(c.route.Objective))))
	}
	c.refs.Add(1)
	c.attempt(p, a, repeat)
	return true
}

// reselectAt returns when an endpoint is selected again, zero when none will take the part in time by what they said in their answers.
func (c *call) reselectAt(now time.Time, p *part) time.Time {
	if wait := c.engine.balancer.ServiceBarred(now, c.currentFleet(), p.service); wait > 0 && !now.Add(wait).Before(c.deadline) {
		return time.Time{}
	}
	return now.Add(reselectDelay)
}

// isUsable reports whether an endpoint may get an attempt now.
func (c *call) isUsable(p *part, endpoint *kctport.EndpointRecord) bool {
	if c.engine.fleets.Fleet().Endpoint(p.service, endpoint.ID) == nil {
		return false
	}
	barred, _ := c.engine.balancer.Barred(c.engine.timer.Now(), endpoint)
	return barred == 0
}

// currentFleet returns the endpoints as they are known now under the rules of the request, since an endpoint may leave while a request lasts.
func (c *call) currentFleet() *kctport.Fleet {
	current := c.engine.fleets.Fleet()
	if current.Rules == c.fleet.Rules {
		return current
	}
	f := *current
	f.Rules = c.fleet.Rules
	return &f
}

// attempt makes one attempt, whose outcome goes to results.
func (c *call) attempt(p *part, a *kctbalance.Attempt, repeat bool) {
	if a.Wait > 0 {
		go func() {
			select {
			case <-c.attempts.Done():
			case <-c.engine.timer.After(c.attempts, a.Wait):
			}
			c.send(p, a, repeat)
		}()
		return
	}
	c.send(p, a, repeat)
}

// send passes an attempt to the exchange; the attempts' context bounds its duration.
func (c *call) send(p *part, a *kctbalance.Attempt, repeat bool) {
	var sent time.Time
	var mark kctsuspect.Mark
	c.exchange.Send(&a.Endpoint.EndpointRecord, kctport.ExchangeOptions{
		Deadline: c.deadline, Connections: a.Connections, NonIdempotent: !c.route.Idempotent, Gathered: len(c.route.Gather) > 0, Repeat: repeat,
		Usable:     func() bool { return c.isUsable(p, &a.Endpoint.EndpointRecord) },
		BeforeSend: func() { sent, mark = c.engine.timer.Now(), c.engine.suspects.Mark() },
	}, func(response kctport.Response, err error) {
		defer c.release()
		r := result{part: p, attempt: a, response: response, err: err}
		c.recordOutcome(a, sent, &r)
		c.recordEvidence(&r, mark, c.engine.timer.Now().Sub(sent))
		c.results.put(r)
	})
}

// recordOutcome reports the outcome of an attempt to the balancer, the hedge delays and the observer.
func (c *call) recordOutcome(a *kctbalance.Attempt, sent time.Time, r *result) {
	now := c.engine.timer.Now()
	o := kctbalance.Outcome{Load: r.response.Load, RateLimit: r.response.RateLimit, Notice: r.response.Notice}
	switch {
	case r.err != nil:
		o.Failed = !errors.Is(r.err, context.Canceled) && !errors.Is(r.err, kctport.ErrShed)
	case r.response.NotRun:
		o.Misdirected, o.Refused = r.response.Misdirected, !r.response.Misdirected
	case r.response.OK():
		o.Latency = now.Sub(sent)
		c.engine.delays.Observe(c.route.Name, o.Latency)
	default:
		o.Failed = r.response.Status >= 500
	}
	c.engine.balancer.Finish(now, a, o)
	c.observe(now, a, o, r)
}

// observe reports an attempt to control, as evidence about the endpoint's version. An attempt that the endpoint refused or
// the caller cancelled is no evidence; its error shows that.
func (c *call) observe(now time.Time, a *kctbalance.Attempt, o kctbalance.Outcome, r *result) {
	err := r.err
	switch {
	case r.err == nil && !r.response.NotRun && o.Failed:
		err = kctport.ErrFailed
	case r.response.NotRun:
		err = kctport.ErrShed
	}
	c.engine.attemptObserver.Observe(kctport.Observation{
		Endpoint: a.Endpoint.ID, Service: a.Endpoint.Service, Version: a.Endpoint.Version, Route: c.route.Name, Latency: o.Latency, Err: err, At: now,
	})
}
