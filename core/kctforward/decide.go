package kctforward

import (
	"errors"
	"time"

	kctport "kingcupturn"
)

// take judges the end of one attempt and repeats the part where that is allowed.
func (c *call) take(r result) {
	p := r.part
	p.pending--
	now := c.engine.timer.Now()
	switch {
	case r.err == nil && r.response.NotRun:
		p.arrived++
		c.note(now, "refused by the endpoint", r, statusText(r.response.Status))
		c.refused(p)
	case r.err != nil && errors.Is(r.err, kctport.ErrNotRun):
		c.note(now, "not sent", r, r.err.Error())
		c.refused(p)
	case r.err != nil:
		p.ran++
		p.arrived++
		c.note(now, "attempt failed", r, r.err.Error())
		c.repeat(p)
	case r.response.OK() && r.response.Signature != "":
		p.ran++
		p.arrived++
		if p.response == nil {
			p.response = &r.response
		}
	default:
		p.ran++
		p.arrived++
		c.note(now, "endpoint failed", r, statusText(r.response.Status))
		if p.failed == nil && r.response.Signature != "" {
			p.failed = &r.response
		}
		if r.response.Status < statusServerError && len(c.route.Gather) == 0 && p.failed != nil {
			// Another endpoint would say the same of the request.
			p.wake = time.Time{}
			return
		}
		c.repeat(p)
	}
}

func (c *call) note(now time.Time, what string, r result, detail string) {
	c.story.add(now, what, r.part.service, r.attempt.Endpoint.ID, detail)
}

// refused offers the part to another endpoint.
func (c *call) refused(p *part) {
	if p.response != nil || p.pending > 0 {
		return
	}
	p.refusals++
	if p.refusals > refusalsPerPart {
		p.wake = c.engine.timer.Now().Add(repickPause)
		return
	}
	c.repeat(p)
}

// repeat sends the part again, or gives it up.
func (c *call) repeat(p *part) {
	if p.response != nil || p.pending > 0 {
		return
	}
	p.wake = time.Time{}
	if c.affords(p, 0) && c.launch(p) {
		c.story.Retries++
	}
}

// decide returns the answer once there is one.
func (c *call) decide(now time.Time) (kctport.Reply, bool) {
	over := !now.Before(c.deadline.Add(-deadlineReserve))
	if len(c.route.Gather) == 0 {
		return c.decideSingle(c.parts[0], over)
	}
	return c.decideGather(now, over)
}

func (c *call) decideSingle(p *part, over bool) (kctport.Reply, bool) {
	switch {
	case p.response != nil:
		return endpointReply(p.response), true
	case p.failed != nil && p.failed.Status < statusServerError:
		return endpointReply(p.failed), true
	case p.pending > 0 && !over:
		return kctport.Reply{}, false
	case p.failed != nil:
		return endpointReply(p.failed), true
	case p.pending > 0:
		return failure(statusTimeout, "no answer within the time that the caller or the route allows"), true
	case p.ran > 0:
		if over {
			return failure(statusTimeout, "time is over after a failed attempt"), true
		}
		return failure(statusBadGateway, "attempt failed and may not be repeated"), true
	case over || p.wake.IsZero() || p.refusals > refusalsPerPart:
		return refusal("all endpoints refused"), true
	}
	return kctport.Reply{}, false
}

func (c *call) decideGather(now time.Time, over bool) (kctport.Reply, bool) {
	in, open := 0, 0
	for _, p := range c.parts {
		switch {
		case p.response != nil:
			in++
		case p.pending > 0 || !p.wake.IsZero():
			open++
		}
	}
	enough := c.covers(in)
	switch {
	case in == len(c.parts), enough && (open == 0 || over || !now.Before(c.due)):
		return c.merged(now), true
	case !over && open > 0 && c.covers(in+open):
		return kctport.Reply{}, false
	}
	return c.uncovered(over), true
}

// uncovered ends a gather that has too few parts; only one that no endpoint has run is refused.
func (c *call) uncovered(over bool) kctport.Reply {
	for _, p := range c.parts {
		if p.ran > 0 || p.pending > 0 {
			if over {
				return failure(statusTimeout, "too few shards answered in time")
			}
			return failure(statusBadGateway, "too few shards can answer")
		}
	}
	return refusal("all endpoints refused")
}

// merged makes the answer of the parts that are in.
func (c *call) merged(now time.Time) kctport.Reply {
	r := kctport.Reply{Status: statusOK}
	var bodies [][]byte
	for _, p := range c.parts {
		if p.response == nil {
			r.Missing++
			c.story.add(now, "shard left out", p.service, "", "")
			continue
		}
		r.Signatures = append(r.Signatures, p.response.Signature)
		bodies = append(bodies, p.response.Body)
	}
	r.Body = greatest(bodies, c.route.TopK)
	return r
}

// endpointReply passes an endpoint's answer on unchanged.
func endpointReply(r *kctport.Response) kctport.Reply {
	return kctport.Reply{Status: r.Status, Header: r.Header, Body: r.Body}
}
