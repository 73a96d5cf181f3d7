package kctquery

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// Query answers a query by its deadline, from one snapshot, and states the coverage reached. An error wraps ErrNotRun when
// no endpoint ran any part, and ErrUnknown otherwise.
func (e *Engine) Query(ctx context.Context, q kctport.Query) (kctport.Answer, error) {
	a, err := e.query(ctx, q)
	switch {
	case err != nil:
		e.counts.failed.Add(1)
	case !a.Coverage.Complete():
		e.counts.partial.Add(1)
		fallthrough
	default:
		e.counts.queries.Add(1)
	}
	return a, err
}

func (e *Engine) query(ctx context.Context, q kctport.Query) (kctport.Answer, error) {
	if err := validate(q); err != nil {
		return kctport.Answer{}, err
	}
	if q.ID == "" {
		q.ID = e.uniqueID()
	}
	if q.Deadline.IsZero() {
		q.Deadline = defaultDeadline(e.views.View(), e.timer.Now(), q.Services)
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline.Add(-e.margin))
	defer cancel()
	view, err := e.view(ctx)
	if err != nil {
		return kctport.Answer{}, err
	}
	return e.runWithRestarts(ctx, view, q)
}

// runWithRestarts runs the query, restarts it on a newer snapshot when endpoints drop the one in use, and returns the
// answer with the best coverage.
func (e *Engine) runWithRestarts(ctx context.Context, view *kctport.View, q kctport.Query) (kctport.Answer, error) {
	var best kctport.Answer
	var last *run
	for {
		r, err := e.startRun(ctx, view, q, last)
		if err != nil && last != nil {
			return best, last.failure(best)
		}
		if err != nil {
			return best, err
		}
		restart := r.execute()
		a := r.merge()
		if last == nil || a.Coverage.Answered*best.Coverage.Total >= best.Coverage.Answered*a.Coverage.Total {
			best = a
		}
		last = r
		if !restart {
			return best, r.failure(best)
		}
		e.counts.restarts.Add(1)
		view = e.views.View()
	}
}

// startRun selects the snapshot of a run; it waits for one that the services have in common up to half of the time left.
func (e *Engine) startRun(ctx context.Context, view *kctport.View, q kctport.Query, last *run) (*run, error) {
	start := e.timer.Now()
	limit := start.Add(q.Deadline.Sub(start) / 2)
	for {
		s, shards, err := e.index.Select(view, q.Services)
		if err == nil {
			return newRun(ctx, e, view, q, s, shards, last), nil
		}
		if !e.timer.Now().Before(limit) || !e.pause(ctx, 0) {
			return nil, refuse(err, "query %s", q.ID)
		}
		if view, err = e.view(ctx); err != nil {
			return nil, err
		}
	}
}

// failure returns the error of a query without any answered part, nil otherwise.
func (r *run) failure(best kctport.Answer) error {
	if best.Coverage.Answered > 0 {
		return nil
	}
	cause := r.cause
	if cause == nil {
		cause = kctport.ErrTimeout
	}
	if r.possiblyRan() {
		return eris.Wrapf(errors.Join(kctport.ErrUnknown, hideNotRun(cause)), "query %s: no part answered", r.query.ID)
	}
	return refuse(cause, "query %s: no part answered", r.query.ID)
}

// possiblyRan reports whether an endpoint may have worked on the query. An attempt without a result counts, since it may
// have reached its endpoint.
func (r *run) possiblyRan() bool {
	return r.mayHaveRun || slices.ContainsFunc(r.parts, func(p *part) bool { return len(p.attempts) > 0 })
}

// hideNotRun strips ErrNotRun from the error of one attempt when another attempt may have run.
func hideNotRun(cause error) error {
	if !errors.Is(cause, kctport.ErrNotRun) {
		return cause
	}
	for _, s := range []error{kctport.ErrQuarantined, kctport.ErrShed, kctport.ErrSnapshotDropped, kctport.ErrNoEndpoint} {
		if errors.Is(cause, s) {
			return s
		}
	}
	return kctport.ErrUnavailable
}

// overloaded reports whether a refusal was for lack of capacity, so that another attempt takes budget. Refusals of a
// draining endpoint don't count, since they cost it nothing.
func overloaded(err error) bool {
	return errors.Is(err, kctport.ErrShed) && !errors.Is(err, kctport.ErrEndpointDraining)
}

func validate(q kctport.Query) error {
	if len(q.Services) == 0 {
		return refuse(kctport.ErrInvalid, "services: empty, at least one is needed")
	}
	for i, s := range q.Services {
		if slices.Contains(q.Services[:i], s) {
			return refuse(kctport.ErrInvalid, "services: %q is named twice, once is allowed", s)
		}
	}
	return nil
}

// remaining returns the time left until the deadline of the context, or 1 h without one.
func remaining(ctx context.Context, now time.Time) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return d.Sub(now)
}
