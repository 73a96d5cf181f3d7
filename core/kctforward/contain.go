package kctforward

import (
	"errors"
	"fmt"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctsuspect"
)

// reasonQuarantined is the reason of refusals of requests that crashed endpoints.
const reasonQuarantined = "the request crashed endpoints"

// fingerprint identifies the request at a service by what it is.
func (c *call) fingerprint(service kctport.ServiceName) kctport.Fingerprint {
	c.hashOnce.Do(func() { c.hash = kctsuspect.HashRequest(c.message) })
	return c.hash.At(service)
}

// refuseQuarantined refuses a request that crashes endpoints, or the parts of it that do when the others reach the route's minimum coverage.
func (c *call) refuseQuarantined(now time.Time) (kctport.Reply, bool) {
	if c.engine.suspects.IsEmpty() {
		return kctport.Reply{}, false
	}
	allowed, longest := len(c.parts), time.Duration(0)
	for _, p := range c.parts {
		f := c.fingerprint(p.service)
		if p.quarantine = c.engine.suspects.Admit(f); p.quarantine > 0 {
			allowed--
			longest = max(longest, p.quarantine)
			c.trace.add(now, "refused, crashes endpoints", p.service, "", fmt.Sprintf(
				"fingerprint %x, %d crashes one after the other, refused for %v", uint64(f), c.engine.suspects.Crashes(f), p.quarantine.Round(time.Millisecond)))
		}
	}
	if c.meetsCoverage(allowed) {
		return kctport.Reply{}, false
	}
	reply := refusal(reasonQuarantined)
	reply.RetryAfter = longest
	return reply, true
}

// isRepeatRefused reports whether the part may not be sent again, since the request crashes endpoints.
func (c *call) isRepeatRefused(p *part) bool {
	return len(p.tried) > 0 && !c.engine.suspects.IsEmpty() && c.engine.suspects.Refused(c.fingerprint(p.service)) > 0
}

// recordEvidence records an attempt that ended without an answer, which its endpoint may not have survived, or an answer that refutes this of the request.
// An attempt that failed at an entry in between says nothing of the endpoint.
func (c *call) recordEvidence(r *result, sent kctsuspect.Mark, inFlight time.Duration) {
	d, endpoint := c.engine.suspects, &r.attempt.Endpoint.EndpointRecord
	switch {
	case r.err == nil && !r.response.NotRun:
		if !d.IsEmpty() {
			d.Answered(c.fingerprint(endpoint.Service))
		}
	case errors.Is(r.err, kctport.ErrReset) && !errors.Is(r.err, kctport.ErrNotRun) && !errors.Is(r.err, kctport.ErrUnavailable):
		d.Cut(endpoint, c.fingerprint(endpoint.Service), sent, inFlight)
	}
}
