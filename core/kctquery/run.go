package kctquery

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

// state is how far a part of a run is.
type state int

const (
	waiting  state = iota // not sent yet
	inFlight              // at least one attempt is in flight
	delayed               // no attempt in flight, next decision at recheckAt
	answered              // its reply is in
	missing               // given up
)

// part is one part of a run.
type part struct {
	part      kctport.Part
	policy    kctport.Policy
	state     state
	tried     []kctport.InstanceID
	attempts  map[*attempt]struct{}
	free      int // free attempts since the last pause
	pauses    int
	sent      time.Time
	hedgeAt   time.Time // zero when no hedge is due
	recheckAt time.Time
	reply     kctport.PartReply
	err       error // last error
}

// run is a query on one snapshot; only the query's goroutine touches it.
type run struct {
	e           *Engine
	ctx         context.Context
	view        *kctport.View
	query       kctport.Query
	snapshot    kctport.Snapshot
	shards      map[kctport.ServiceName]int
	fingerprint kctport.Fingerprint
	parts       []*part
	canary      *part
	results     chan result
	open        int // parts that are neither answered nor missing
	again       bool
	paid        int  // budget taken for starting over
	renewed     bool // the run repeats an earlier one on a newer snapshot

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
	r.open = len(r.parts)
	r.results = make(chan result, 2*len(r.parts))
	if canary && !e.seen.has(r.fingerprint) {
		r.canary = r.parts[int(uint64(r.fingerprint)%uint64(len(r.parts)))]
	}
	if last != nil {
		r.renewed, r.mayHaveRun, r.cause = true, last.ran(), last.cause
	}
	return r
}

// execute runs until every part is settled, the context ends, or the run must start over, which it reports.
func (r *run) execute() (again bool) {
	var cancel context.CancelFunc
	outer := r.ctx
	r.ctx, cancel = context.WithCancel(outer)
	defer cancel()
	if r.canary != nil {
		r.e.counts.canaries.Add(1)
		r.send(r.canary)
	} else {
		r.sendRest()
	}
	for r.open > 0 && !r.again {
		r.arm()
		select {
		case res := <-r.results:
			r.handle(res)
		case now := <-r.tick:
			r.tick = nil
			r.due(now)
		case <-r.ctx.Done():
			r.collect()
			return false
		}
	}
	return r.again
}

// collect takes the results that were already there when the time ran out.
func (r *run) collect() {
	for {
		select {
		case res := <-r.results:
			r.last(res)
		default:
			return
		}
	}
}

// last takes a result for which no further attempt can be made.
func (r *run) last(res result) {
	if res.err == nil {
		r.handle(res)
		return
	}
	delete(res.attempt.part.attempts, res.attempt)
	r.mayHaveRun = r.mayHaveRun || !errors.Is(res.err, kctport.ErrNotRun)
}

// sendRest sends every part that is still waiting.
func (r *run) sendRest() {
	for _, p := range r.parts {
		if p.state == waiting {
			r.send(p)
		}
	}
}

// arm sets the timer to the next hedge or recheck, if any.
func (r *run) arm() {
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

// due makes the hedges and rechecks whose time has come.
func (r *run) due(now time.Time) {
	for _, p := range r.parts {
		switch {
		case p.state == inFlight && !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt):
			r.hedge(p, now)
		case p.state == delayed && !now.Before(p.recheckAt):
			r.recheck(p)
		}
	}
}

// handle takes the result of an attempt.
func (r *run) handle(res result) {
	p := res.attempt.part
	delete(p.attempts, res.attempt)
	r.mayHaveRun = r.mayHaveRun || !errors.Is(res.err, kctport.ErrNotRun)
	if p.state != inFlight {
		return // a late result of a settled part
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

// answer takes the first reply of a part and cancels its other attempts.
func (r *run) answer(p *part, res result) {
	p.state, p.reply = answered, res.reply
	r.open--
	now := r.e.timer.Now()
	r.e.hedger.Observe(p.part.Service, now.Sub(res.attempt.sent))
	r.e.learn(res.attempt, res.reply.Latency, false, now)
	for a := range p.attempts {
		a.cancel()
		// The loser would have taken at least this long.
		r.e.hedger.Observe(p.part.Service, now.Sub(a.sent))
		r.e.learn(a, now.Sub(a.sent), true, now)
	}
	if p == r.canary {
		r.e.seen.add(r.fingerprint)
		r.canary = nil
		if r.ctx.Err() == nil {
			r.sendRest()
		}
	}
}

// drop gives up a part.
func (r *run) drop(p *part) {
	p.state = missing
	r.open--
	if p != r.canary {
		return
	}
	r.canary = nil
	if errors.Is(r.cause, kctport.ErrReset) {
		// A body that ended connections without a reply goes no further.
		r.abort()
		return
	}
	r.sendRest()
}

// abort ends the run with the parts that have answered.
func (r *run) abort() {
	for _, p := range r.parts {
		if p.state != answered && p.state != missing {
			p.state = missing
			r.open--
		}
	}
}

// newer returns whether a snapshot above the run's is complete now and there is time and budget to start over on it.
func (r *run) newer() bool {
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
	// Every part that an endpoint may have worked on is an extra attempt.
	cost := 0
	for _, p := range r.parts {
		if p.state == answered || len(p.attempts) > 0 {
			cost++
		}
	}
	for ; r.paid < cost; r.paid++ {
		if !r.e.budget.Withdraw() {
			return false
		}
	}
	return true
}
