package kctquery

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// Execute sends a non-idempotent request to one endpoint. It tries another endpoint only after an error that wraps
// ErrNotRun; it wraps every other error with ErrUnknown, since the request may have run.
func (e *Engine) Execute(ctx context.Context, x kctport.Execution) (kctport.Result, error) {
	if x.Key == "" || x.Service == "" {
		return kctport.Result{}, refuse(kctport.ErrInvalid, "key %q, service %q: both are needed", x.Key, x.Service)
	}
	services := []kctport.ServiceName{x.Service}
	if x.Deadline.IsZero() {
		x.Deadline = defaultDeadline(e.views.View(), e.timer.Now(), services)
	}
	ctx, cancel := context.WithDeadline(ctx, x.Deadline.Add(-e.margin))
	defer cancel()
	e.counts.first.Add(1)
	e.budget.Deposit()
	var tried []kctport.InstanceID
	pauses := 0
	for {
		id, reply, err := e.executeOnce(ctx, x, services, tried)
		if err == nil {
			return kctport.Result{Key: x.Key, Items: reply.Items}, nil
		}
		if !errors.Is(err, kctport.ErrNotRun) {
			return kctport.Result{}, eris.Wrapf(errors.Join(kctport.ErrUnknown, err), "execution %s", x.Key)
		}
		exhausted := id == "" && errors.Is(err, kctport.ErrNoEndpoint) && len(tried) > 0
		switch {
		case exhausted && pauses < maxPauses && e.pause(ctx, pauses):
			// Endpoints that refused may have new owners after the pause.
			pauses++
			tried = nil
		case id == "" || ctx.Err() != nil || errors.Is(err, kctport.ErrQuarantined):
			return kctport.Result{}, err
		default:
			tried = append(tried, id)
			if !e.allowRetry(err, len(tried)) {
				return kctport.Result{}, err
			}
		}
	}
}

// allowRetry reports whether another attempt may follow a refusal, and counts it; budget is withdrawn unless it is free.
func (e *Engine) allowRetry(err error, attempts int) bool {
	if !overloaded(err) && attempts <= maxFreeRetries {
		e.counts.free.Add(1)
		return true
	}
	if e.budget.Withdraw() {
		e.counts.retries.Add(1)
		return true
	}
	return false
}

// executeOnce makes one attempt; the returned identifier is empty when no endpoint was picked.
func (e *Engine) executeOnce(ctx context.Context, x kctport.Execution, services []kctport.ServiceName, tried []kctport.InstanceID) (kctport.InstanceID, kctport.PartReply, error) {
	view, err := e.view(ctx)
	if err != nil {
		return "", kctport.PartReply{}, err
	}
	snapshot, shards, err := e.index.Select(view, services)
	if err != nil {
		return "", kctport.PartReply{}, refuse(err, "execution %s", x.Key)
	}
	n := shards[x.Service]
	part := kctport.Part{Service: x.Service, Shard: int(xxhash.Sum64String(x.Key) % uint64(n))}
	rep, err := e.picker.Pick(view, part, snapshot, x.Key, tried)
	if err != nil {
		return "", kctport.PartReply{}, refuse(err, "execution %s", x.Key)
	}
	deadline, _ := ctx.Deadline()
	reply, err := e.sendOnce(ctx, view, kctport.PartCall{
		Request: e.uniqueID(), Endpoint: rep.ID, Part: part, Shards: n, Snapshot: snapshot, Route: x.Route, Body: x.Body,
		Fingerprint: Fingerprint(services, x.Route, x.Body), Key: x.Key, Deadline: deadline,
	})
	return rep.ID, reply, err
}

// sendOnce sends one call and returns within the margin after the context ends, even if the sender does not.
func (e *Engine) sendOnce(ctx context.Context, view *kctport.View, call kctport.PartCall) (kctport.PartReply, error) {
	results := make(chan result, 1)
	e.attempts.begin()
	go func() {
		defer e.attempts.end()
		reply, err := e.sender.Send(ctx, view, call)
		results <- result{reply: reply, err: err}
	}()
	select {
	case res := <-results:
		return res.reply, res.err
	case <-ctx.Done():
	}
	// A sender that was still waiting for a slot returns an error that wraps ErrNotRun.
	select {
	case res := <-results:
		return res.reply, res.err
	case <-e.timer.After(context.WithoutCancel(ctx), e.margin):
		return kctport.PartReply{}, kctport.ErrTimeout
	}
}
