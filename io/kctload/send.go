package kctload

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// attemptLimit is the number of addresses that a caller tries for one request at most.
const attemptLimit = 4

// answerGrace is the time after its deadline at which an unanswered request counts as lost.
const answerGrace = 2 * time.Second

// outcome is the outcome of one request from the caller's side.
type outcome int

const (
	outcomeComplete outcome = iota
	outcomePartial
	outcomeNotRun
	outcomeUnknown
	outcomeWrong
	outcomeLost
)

// result is a finished request.
type result struct {
	arrival Arrival
	outcome outcome
	latency time.Duration
	// broken counts connections that ended without an answer, failedDials those that could not be made.
	broken, failedDials int
	coverage            kctport.Coverage
	key                 string
	// evidence describes a wrong or lost request.
	evidence string
	// code is the error code of a refusal.
	code string
}

// send sends one request and checks the answer.
func (c *caller) send(ctx context.Context, p Plan, a Arrival, due time.Time) result {
	k := p.Workload.Kinds[a.Kind]
	ctx, cancel := context.WithTimeout(ctx, k.Deadline+answerGrace)
	defer cancel()
	r := result{arrival: a}
	path, message, err := c.compose(ctx, k, a, &r)
	if err != nil {
		r.outcome, r.evidence = outcomeLost, err.Error()
		return r
	}
	c.sleepNetworkDelay(ctx)
	var answer answerMessage
	failure, err := c.exchangeWithRetry(ctx, path, message, &answer, &r)
	c.sleepNetworkDelay(ctx)
	r.latency = c.timer.Now().Sub(due)
	if err != nil {
		r.outcome, r.evidence, r.code = classifyFailure(failure, err), err.Error(), failure.Code
		return r
	}
	r.outcome, r.evidence = checkAnswer(p, k, a, r.key, answer)
	r.coverage = answer.portCoverage()
	return r
}

// compose returns the path and the message of a request; for an execution it gets an idempotency key first.
func (c *caller) compose(ctx context.Context, k Kind, a Arrival, r *result) (string, any, error) {
	if !k.Execute {
		return "/v1/query", queryMessage{k.Services, k.Route, a.Urgent, a.Text, kctwire.Duration(k.Deadline)}, nil
	}
	key, err := c.key(ctx)
	r.key = key
	return "/v1/execute", executeMessage{key, k.Services[0], k.Route, a.Text, kctwire.Duration(k.Deadline)}, err
}

// exchangeWithRetry tries another address after each connection that failed or
// broke. A query is idempotent and an execution keeps its key, so both may be resent.
func (c *caller) exchangeWithRetry(ctx context.Context, path string, message, answer any, r *result) (errorMessage, error) {
	var tried []netip.AddrPort
	var last error
	for range attemptLimit {
		to, err := c.chooseAddress(ctx, tried)
		if err != nil {
			return errorMessage{}, errors.Join(last, err)
		}
		tried = append(tried, to)
		failure, err := c.exchange(ctx, http.MethodPost, to, path, message, answer)
		switch {
		case errors.Is(err, kctport.ErrNotRun):
			r.failedDials++
		case errors.Is(err, kctport.ErrUnknown):
			r.broken++
		default:
			return failure, err
		}
		last = err
	}
	return errorMessage{}, last
}

// classifyFailure returns the outcome of a request that got no answer with items.
func classifyFailure(failure errorMessage, err error) outcome {
	switch {
	case failure.Ran == "no":
		return outcomeNotRun
	case failure.Ran == "yes" || failure.Ran == "unknown":
		return outcomeUnknown
	case errors.Is(err, kctport.ErrMismatch):
		return outcomeWrong
	default:
		return outcomeLost
	}
}
