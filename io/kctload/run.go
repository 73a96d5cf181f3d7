package kctload

import (
	"context"
	"time"

	kctport "kingcupturn"

	"github.com/rotisserie/eris"
)

// Run sends the load of the plan and returns the report. When the context ends
// first, the report covers what was sent and the error is that of the context.
func Run(ctx context.Context, p Plan) (Report, error) {
	p = p.withDefaults()
	if err := p.Workload.Validate(); err != nil {
		return Report{}, err
	}
	if len(p.Entries) == 0 || p.Timer == nil {
		return Report{}, eris.Wrap(kctport.ErrInvalid, "the plan needs entries and a timer")
	}
	callers := make([]*caller, p.Callers)
	for i := range callers {
		callers[i] = newCaller(p, i)
		defer callers[i].client.CloseIdleConnections()
	}
	before := p.parts()
	tally := newTally(p)
	err := drive(ctx, p, callers, tally)
	return tally.report(p.parts() - before), err
}

func (p Plan) parts() uint64 {
	if p.RunCounter == nil {
		return 0
	}
	return p.RunCounter.PartsRun()
}

// drive starts each request at its intended time, or late when the machine was
// busy: the latency counts from the intended time either way.
func drive(ctx context.Context, p Plan, callers []*caller, t *tally) error {
	results := make(chan result)
	start := p.Timer.Now()
	inflight := 0
	for i, a := range Schedule(p.Workload, p.Seed, p.Length) {
		inflight -= t.collect(ctx, results, inflight, p.Timer, start.Add(a.Offset))
		if ctx.Err() != nil {
			break
		}
		if inflight >= p.MaxInflight {
			t.skipped++
			continue
		}
		inflight++
		c := callers[i%len(callers)]
		go func() { results <- c.send(ctx, p, a, start.Add(a.Offset)) }()
	}
	for range inflight {
		t.add(<-results)
	}
	return ctx.Err()
}

// collect takes results until the due time and returns how many it took.
func (t *tally) collect(ctx context.Context, results <-chan result, inflight int, timer kctport.Timer, due time.Time) int {
	delay := due.Sub(timer.Now())
	if delay <= 0 {
		return 0
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reached := timer.After(ctx, delay)
	taken := 0
	for taken <= inflight {
		select {
		case r := <-results:
			t.add(r)
			taken++
		case <-reached:
			return taken
		case <-ctx.Done():
			return taken
		}
	}
	return taken
}
