package kctforward

import (
	"errors"
	"fmt"
	"time"

	kctport "kingcupturn"
)

// handleResult records the outcome of an attempt and retries the part where the route and the budget allow it.
func (c *call) handleResult(r result) {
	p := r.part
	p.finish(r.attempt)
	now := c.engine.timer.Now()
	switch {
	case r.err == nil && r.response.NotRun:
		p.delivered++
		c.addEvent(now, "refused by the endpoint", r, statusText(r.response.Status))
		c.handleRefusal(p)
	case r.err != nil && errors.Is(r.err, kctport.ErrNotRun):
		c.addEvent(now, "not sent", r, r.err.Error())
		c.handleRefusal(p)
	case r.err != nil:
		p.ran++
		p.delivered++
		kind := "attempt failed"
		if errors.Is(r.err, kctport.ErrMismatch) {
			kind = "answer dropped"
		}
		c.addEvent(now, kind, r, r.err.Error())
		c.retry(p)
	case r.response.OK() && r.response.Signature != "":
		p.ran++
		p.delivered++
		if p.response == nil {
			p.response = &r.response
		}
	default:
		p.ran++
		p.delivered++
		c.addEvent(now, "endpoint failed", r, statusText(r.response.Status))
		if p.failed == nil && r.response.Signature != "" {
			p.failed = &r.response
		}
		if r.response.Status < statusServerError && len(c.route.Gather) == 0 && p.failed != nil {
			// A 4xx answer depends on the request, so another endpoint would give the same one.
			p.nextAt = time.Time{}
			return
		}
		c.retry(p)
	}
}

func (c *call) addEvent(now time.Time, kind string, r result, detail string) {
	c.trace.add(now, kind, r.part.service, r.attempt.Endpoint.ID, detail)
}

// addUnanswered names the endpoints that still had the request when it failed, and how long ago they were chosen.
func (c *call) addUnanswered(now time.Time, reply kctport.Reply) {
	if reply.Status < statusServerError {
		return
	}
	for _, p := range c.parts {
		for _, a := range p.pending {
			detail := fmt.Sprintf("chosen %v ago", now.Sub(a.Started()).Round(time.Millisecond))
			c.trace.add(now, "attempt unanswered", p.service, a.Endpoint.ID, detail)
		}
	}
}

// handleRefusal retries the part after an endpoint refused it or nothing was sent; beyond refusalsPerPart refusals it is not sent again at once.
func (c *call) handleRefusal(p *part) {
	if p.response != nil || len(p.pending) > 0 {
		return
	}
	p.refusals++
	if p.refusals > refusalsPerPart {
		p.nextAt = c.engine.timer.Now().Add(reselectDelay)
		return
	}
	c.retry(p)
}

// retry sends the part again if the route and the budget allow it; otherwise no attempt at the part follows.
func (c *call) retry(p *part) {
	if p.response != nil || len(p.pending) > 0 {
		return
	}
	p.nextAt = time.Time{}
	if c.withdrawAttempt(p, 0) && c.launch(p) {
		c.trace.Retries++
	}
}

// decide returns the reply, and false while the request needs more results or time.
func (c *call) decide(now time.Time) (kctport.Reply, bool) {
	expired := !now.Before(c.answerBy.Add(-deadlineReserve))
	if len(c.route.Gather) == 0 {
		return c.decideSingle(now, c.parts[0], expired)
	}
	return c.decideGather(now, expired)
}

func (c *call) decideSingle(now time.Time, p *part, expired bool) (kctport.Reply, bool) {
	switch {
	case p.response != nil:
		return endpointReply(p.response), true
	case p.failed != nil && p.failed.Status < statusServerError:
		return endpointReply(p.failed), true
	case len(p.pending) > 0 && !expired:
		return kctport.Reply{}, false
	case p.failed != nil:
		return endpointReply(p.failed), true
	case len(p.pending) > 0:
		return failure(statusTimeout, c.expiry("no answer within the time that the caller or the route allows")), true
	case p.ran > 0:
		if expired {
			return failure(statusTimeout, c.expiry("time is over after a failed attempt")), true
		}
		return failure(statusBadGateway, "attempt failed and may not be repeated"), true
	case expired || p.nextAt.IsZero() || p.refusals > refusalsPerPart:
		return c.allRefused(now), true
	}
	return kctport.Reply{}, false
}

// allRefused refuses a request for one part after all endpoints refused it. The caller may return when they take requests again.
func (c *call) allRefused(now time.Time) kctport.Reply {
	r := refusal("all endpoints refused")
	r.RetryAfter = max(r.RetryAfter, c.engine.balancer.ServiceBarred(now, c.currentFleet(), c.parts[0].service))
	return r
}

// expiry returns the reason for the end of a request whose time is over.
func (c *call) expiry(reason string) string {
	if c.answerBy.Before(c.deadline) {
		return "this entry stops: " + reason
	}
	return reason
}

// progress returns the number of parts that are answered and of those that may still be.
func (c *call) progress() (answered, open int) {
	for _, p := range c.parts {
		switch {
		case p.response != nil:
			answered++
		case len(p.pending) > 0 || !p.nextAt.IsZero():
			open++
		}
	}
	return answered, open
}

func (c *call) decideGather(now time.Time, expired bool) (kctport.Reply, bool) {
	answered, open := c.progress()
	enough := c.meetsCoverage(answered)
	defer func() { c.wasEnough = enough }()
	switch {
	case answered == len(c.parts), enough && (open == 0 || expired):
		return c.mergedReply(now), true
	case enough && !now.Before(c.softDeadline):
		// An answer that became possible only after it was due says nothing of the time that this entry takes.
		c.isDue = c.wasEnough
		return c.mergedReply(now), true
	case !expired && open > 0 && c.meetsCoverage(answered+open):
		return kctport.Reply{}, false
	case !expired && c.includeLeftOut():
		return kctport.Reply{}, false
	}
	return c.tooFewParts(expired), true
}

// tooFewParts returns the reply to a gather below its minimum coverage; it is a refusal only when no endpoint ran a part.
func (c *call) tooFewParts(expired bool) kctport.Reply {
	for _, p := range c.parts {
		if p.ran > 0 || len(p.pending) > 0 {
			if expired {
				return failure(statusTimeout, c.expiry("too few shards answered in time"))
			}
			return failure(statusBadGateway, "too few shards can answer")
		}
	}
	return refusal("all endpoints refused")
}

// mergedReply merges the answered parts and counts the missing ones.
func (c *call) mergedReply(now time.Time) kctport.Reply {
	r := kctport.Reply{Status: statusOK}
	var bodies [][]byte
	for _, p := range c.parts {
		if p.response == nil {
			r.Missing++
			c.trace.add(now, "shard left out", p.service, p.lastTried(), p.leftOutDetail())
			continue
		}
		r.Signatures = append(r.Signatures, p.response.Signature)
		bodies = append(bodies, p.response.Body)
	}
	r.Body = topRecords(bodies, c.route.TopK)
	return r
}

// endpointReply returns an endpoint's answer unchanged.
func endpointReply(r *kctport.Response) kctport.Reply {
	return kctport.Reply{Status: r.Status, Header: r.Header, Body: r.Body}
}
