package kctquery

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

// attempt is one call to an endpoint that is in flight.
type attempt struct {
	part    *part
	replica *kctport.Replica
	sent    time.Time
	cancel  context.CancelFunc
}

// result is the outcome of an attempt.
type result struct {
	attempt *attempt
	reply   kctport.PartReply
	err     error
}

// send makes the first attempt at a part and schedules its hedge.
func (r *run) send(p *part) {
	p.state = inFlight
	rep := r.pick(p)
	if rep == nil {
		r.giveUp(p)
		return
	}
	if r.restarted {
		r.e.counts.retries.Add(1)
	} else {
		r.e.counts.first.Add(1)
		r.e.budget.Deposit()
	}
	r.launch(p, rep)
	d, ok := r.e.hedger.Delay(p.part.Service)
	if p == r.canary {
		d, ok = max(canaryDelayFactor*d, minCanaryHedgeDelay), true
	}
	if ok && p.policy.Hedge {
		p.hedgeAt = p.sent.Add(d)
	}
}

// pick returns an endpoint that was not tried for the part yet under the newest usable view, nil without one.
func (r *run) pick(p *part) *kctport.Replica {
	if v := r.e.views.View(); v != r.view && v.Fresh(r.e.timer.Now()) && !v.Isolated {
		r.view = v
	}
	rep, err := r.e.picker.Pick(r.view, p.part, r.snapshot, r.query.ID, p.tried)
	if err != nil {
		if r.cause == nil {
			r.cause = err
		}
		return nil
	}
	return rep
}

// hedge makes a second attempt at a slow part if there is another endpoint and budget; without budget the hedge is
// scheduled again.
func (r *run) hedge(p *part, now time.Time) {
	p.hedgeAt = time.Time{}
	rep := r.pick(p)
	if rep == nil {
		return
	}
	if p != r.canary && !r.e.mayHedge() || !r.e.budget.Withdraw() {
		if d, ok := r.e.hedger.Delay(p.part.Service); ok {
			p.hedgeAt = now.Add(max(d/hedgeRetryDivisor, time.Millisecond))
		}
		return
	}
	r.e.counts.hedges.Add(1)
	r.launch(p, rep)
}

// retry decides on another attempt at a part whose attempts have all failed.
func (r *run) retry(p *part, err error) {
	dropped := errors.Is(err, kctport.ErrSnapshotDropped)
	if dropped && r.reserveRestart() {
		r.restart = true
		return
	}
	noWork := errors.Is(err, kctport.ErrNotRun) && !overloaded(err)
	free := noWork && p.free < maxFreeRetries
	rep := r.pick(p)
	switch {
	case dropped && (rep == nil || !free):
		r.postpone(p, recheckDelay)
		return
	case noWork && (rep == nil || !free) && p.pauses < maxPauses:
		r.postpone(p, pauseBackoff(p.pauses))
		p.pauses++
		return
	case rep == nil:
		r.giveUp(p)
		return
	case free:
		p.free++
		r.e.counts.free.Add(1)
	case r.e.budget.Withdraw():
		r.e.counts.retries.Add(1)
	default:
		// Other queries add budget until the deadline, and a late part is better
		// than a missing one.
		r.postpone(p, recheckDelay)
		return
	}
	r.launch(p, rep)
}

// postpone delays a part by d, after which control state or budget may have changed.
func (r *run) postpone(p *part, d time.Duration) {
	p.state, p.recheckAt = delayed, r.e.timer.Now().Add(d)
}

// recheck reads control state again for a delayed part. A part whose snapshot was dropped waits for a newer snapshot or
// the deadline. After other refusals, endpoints that were tried may be tried again, since their owners may have changed.
func (r *run) recheck(p *part) {
	if errors.Is(p.err, kctport.ErrSnapshotDropped) {
		r.retry(p, p.err)
		return
	}
	p.free = 0
	if r.pick(p) == nil {
		p.tried = nil
		if r.pick(p) == nil {
			r.giveUp(p)
			return
		}
	}
	r.retry(p, p.err)
}

// launch starts an attempt in a goroutine that ends once the result is received or the run has ended.
func (r *run) launch(p *part, rep *kctport.Replica) {
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{part: p, replica: rep, sent: r.e.timer.Now(), cancel: cancel}
	p.state, p.sent = inFlight, a.sent
	p.tried = append(p.tried, rep.ID)
	p.attempts[a] = struct{}{}
	deadline, _ := r.ctx.Deadline()
	call := kctport.PartCall{
		Request: r.e.uniqueID(), Endpoint: rep.ID, Part: p.part, Shards: r.shards[p.part.Service], Snapshot: r.snapshot,
		Route: r.query.Route, Urgent: r.query.Urgent, Body: r.query.Body, Fingerprint: r.fingerprint, Deadline: deadline,
	}
	r.e.attempts.begin()
	go r.attempt(ctx, a, r.view, call)
}

// attempt sends one call, checks that the reply matches it, and passes the result to the run unless that has ended.
func (r *run) attempt(ctx context.Context, a *attempt, view *kctport.View, call kctport.PartCall) {
	defer r.e.attempts.end()
	defer a.cancel()
	reply, err := r.e.sender.Send(ctx, view, call)
	if err == nil {
		ok := reply.Request == call.Request && reply.Part == call.Part && reply.Snapshot == call.Snapshot && reply.Shards == call.Shards
		if !ok {
			r.e.checker.Check(false, "reply belongs to its request", call.Request+" got "+reply.Request)
			err = kctport.ErrMismatch
		}
	}
	select {
	case r.results <- result{attempt: a, reply: reply, err: err}:
	case <-r.ctx.Done():
	}
}
