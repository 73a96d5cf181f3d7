package kctquery

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

// state is the progress of a part of a run.
type state int

const (
	unsent   state = iota // no attempt made yet
	inFlight              // at least one attempt is in flight
	delayed               // no attempt in flight, rechecked at recheckAt
	answered              // its reply was received
	missing               // given up without a reply
)

// part is the state of one part of a run.
type part struct {
	part      kctport.Part
	policy    kctport.Policy
	state     state
	tried     []kctport.InstanceID
	attempts  map[*attempt]struct{}
	free      int // attempts without budget since the last pause
	pauses    int
	sent      time.Time
	hedgeAt   time.Time // zero when no hedge is due
	recheckAt time.Time
	reply     kctport.PartReply
	err       error // last error
}

// run is a query on one snapshot; only the query's goroutine accesses it.
type run struct {
	e            *Engine
	ctx          context.Context
	view         *kctport.View
	query        kctport.Query
	snapshot     kctport.Snapshot
	shards       map[kctport.ServiceName]int
	fingerprint  kctport.Fingerprint
	parts        []*part
	canary       *part
	results      chan result
	unsettled    int // parts that are neither answered nor missing
	restart      bool
	paidAttempts int  // extra attempts withdrawn from the budget for the restart
	restarted    bool // this run repeats an earlier one on a newer snapshot

	cause      error // last error
	mayHaveRun bool

	tick   <-chan time.Time
	tickAt time.Time
}

func newRun(ctx context.Context, e *Engine, view *kctport.View, q kctport.Query, s kctport.Snapshot,
	shards map[kctport.ServiceName]int, last *run,
) *run {
	r := &run{e: e, ctx: ctx, view: view, query: q, snapshot: s, shards: shards, fingerprint: Fingerprint(q.Services, q.Route, q.Body)}
	canary := false
	for _, name := range q.Services {
		policy := view.Services[name].Policy
		canary = canary || policy.Canary
		for i := range shards[name] {
			r.parts = append(r.parts, &part{
				part: kctport.Part{Service: name, Shard: i}, policy: policy, attempts: make(map[*attempt]struct{}),
			})
		}
	}
	r.unsettled = len(r.parts)
	r.results = make(chan result, 2*len(r.parts))
	if canary && !e.passedCanaries.has(r.fingerprint) {
		r.canary = r.parts[int(uint64(r.fingerprint)%uint64(len(r.parts)))]
	}
	if last != nil {
		r.restarted, r.mayHaveRun, r.cause = true, last.possiblyRan(), last.cause
	}
	return r
}

// execute runs until every part is answered or missing, the context ends, or the run must restart on a newer snapshot,
// which it reports.
func (r *run) execute() (restart bool) {
	var cancel context.CancelFunc
	outer := r.ctx
	r.ctx, cancel = context.WithCancel(outer)
	defer cancel()
	if r.canary != nil {
		r.e.counts.canaries.Add(1)
		r.send(r.canary)
	} else {
		r.sendUnsent()
	}
	for r.unsettled > 0 && !r.restart {
		r.armTimer()
		select {
		case res := <-r.results:
			r.handle(res)
		case now := <-r.tick:
			r.tick = nil
			r.handleDue(now)
		case <-r.ctx.Done():
			r.drainResults()
			return false
		}
	}
	return r.restart
}

// drainResults handles the results that had arrived when the context ended.
func (r *run) drainResults() {
	for {
		select {
		case res := <-r.results:
			r.handleFinal(res)
		default:
			return
		}
	}
}

// handleFinal handles a result that arrives too late for another attempt.
func (r *run) handleFinal(res result) {
	if res.err == nil {
		r.handle(res)
		return
	}
	delete(res.attempt.part.attempts, res.attempt)
	r.mayHaveRun = r.mayHaveRun || !errors.Is(res.err, kctport.ErrNotRun)
}

// sendUnsent makes the first attempt at every part without one.
func (r *run) sendUnsent() {
	for _, p := range r.parts {
		if p.state == unsent {
			r.send(p)
		}
	}
}

// armTimer sets the timer to the earliest hedge or recheck, if any.
func (r *run) armTimer() {
	var next time.Time
	for _, p := range r.parts {
		at := p.hedgeAt
		if p.state == delayed {
			at = p.recheckAt
		} else if p.state != inFlight {
			continue
		}
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if next.IsZero() || r.tick != nil && next.Equal(r.tickAt) {
		return
	}
	r.tickAt = next
	r.tick = r.e.timer.After(r.ctx, max(next.Sub(r.e.timer.Now()), 0))
}

// handleDue makes the hedges and rechecks that are due.
func (r *run) handleDue(now time.Time) {
	for _, p := range r.parts {
		switch {
		case p.state == inFlight && !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt):
			r.hedge(p, now)
		case p.state == delayed && !now.Before(p.recheckAt):
			r.recheck(p)
		}
	}
}

// handle processes the result of an attempt.
func (r *run) handle(res result) {
	p := res.attempt.part
	delete(p.attempts, res.attempt)
	r.mayHaveRun = r.mayHaveRun || !errors.Is(res.err, kctport.ErrNotRun)
	if p.state != inFlight {
		return // a late result of an answered or missing part
	}
	if res.err == nil {
		r.answer(p, res)
		return
	}
	r.cause, p.err = res.err, res.err
	if errors.Is(res.err, kctport.ErrQuarantined) {
		r.abort()
		return
	}
	if len(p.attempts) == 0 {
		r.retry(p, res.err)
	}
}

// answer records the first reply of a part and cancels its other attempts.
func (r *run) answer(p *part, res result) {
	p.state, p.reply = answered, res.reply
	r.unsettled--
	now := r.e.timer.Now()
	r.e.hedger.Observe(p.part.Service, now.Sub(res.attempt.sent))
	r.e.recordLatency(res.attempt, res.reply.Latency, false, now)
	for a := range p.attempts {
		a.cancel()
		// The elapsed time is a lower bound of the latency of the cancelled attempt.
		r.e.hedger.Observe(p.part.Service, now.Sub(a.sent))
		r.e.recordLatency(a, now.Sub(a.sent), true, now)
	}
	if p == r.canary {
		r.e.passedCanaries.add(r.fingerprint)
		r.canary = nil
		if r.ctx.Err() == nil {
			r.sendUnsent()
		}
	}
}

// giveUp marks a part as missing. The run ends with it when it is the canary and its body ended a connection.
func (r *run) giveUp(p *part) {
	p.state = missing
	r.unsettled--
	if p != r.canary {
		return
	}
	r.canary = nil
	if errors.Is(r.cause, kctport.ErrReset) {
		// A body that ended connections without a reply may crash endpoints, so
		// it is sent to no other part.
		r.abort()
		return
	}
	r.sendUnsent()
}

// abort ends the run with the parts that have answered.
func (r *run) abort() {
	for _, p := range r.parts {
		if p.state != answered && p.state != missing {
			p.state = missing
			r.unsettled--
		}
	}
}

// reserveRestart reports whether a newer snapshot is selected now and there is time and budget to restart on it, and
// withdraws the budget for the restart.
func (r *run) reserveRestart() bool {
	view := r.e.views.View()
	s, _, err := r.e.index.Select(view, r.query.Services)
	if err != nil || s <= r.snapshot {
		return false
	}
	now := r.e.timer.Now()
	for _, name := range r.query.Services {
		if d, ok := r.e.hedger.Delay(name); ok && remaining(r.ctx, now) < d {
			return false
		}
	}
	// Repeating a part that an endpoint may have worked on is an extra attempt.
	cost := 0
	for _, p := range r.parts {
		if p.state == answered || len(p.attempts) > 0 {
			cost++
		}
	}
	for ; r.paidAttempts < cost; r.paidAttempts++ {
		if !r.e.budget.Withdraw() {
			return false
		}
	}
	return true
}
