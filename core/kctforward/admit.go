package kctforward

import (
	"fmt"
	"math/rand/v2"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctadmission"
	"kingcupturn/core/kctbalance"
)

const (
	// roomWait is how long a request may wait for an endpoint that names a limit; a refusal after a longer wait leaves the caller little time for another
	// attempt.
	roomWait = 15 * time.Millisecond
	// scarceFill is the part of a scarce shard's room from which requests use it again.
	scarceFill = 0.5
	// includeShare is the part of a route's objective after which parts that were left out take the place of late ones.
	includeShare = 0.5
	// patienceSpread is how much the patience of requests differs, as a part of its average.
	patienceSpread = 0.6
	// repeatPatience is the factor of the patience of requests that were sent before. While few requests are refused, those that were refused once are not
	// refused again.
	repeatPatience = 3.0
	// overloadShare is the refused part of a route's requests from which it is overloadPatience: an answer to a repeat is worth less than one to a first
	// attempt, whose place it would take.
	overloadShare    = 0.25
	overloadPatience = 0.4
	// retrySpread spreads the times at which refused callers return, as a part of retryAfter.
	retrySpread = 0.7
	// hedgePatience is the patience of hedges, which are less use than first attempts.
	hedgePatience = 0.5
	// absentDelay is when a shard without endpoints is expected to have one: an endpoint that starts again takes a few seconds.
	absentDelay = time.Second
)

// admit refuses a request that can't be served as it should be, before any part of it is sent, and decides which shards an admitted one does without.
func (c *call) admit(now time.Time) (kctport.Reply, bool) {
	fleet := c.currentFleet()
	r := kctadmission.Request{
		Patience: c.patience(now),
		Needed:   kctadmission.Needed(c.route.MinCoverage, len(c.parts)), Deadline: c.deadline.Sub(now), Shards: make([]kctadmission.Shard, 0, len(c.parts)),
		NeededByUrgent: kctadmission.Needed(c.engine.urgentCoverage(c.fleet.Rules, c.route.Priority), len(c.parts)),
	}
	for _, p := range c.parts {
		r.Shards = append(r.Shards, c.shard(now, fleet, p))
	}
	plan := kctadmission.Decide(r)
	c.engine.balancer.RecordAdmission(now, c.route.Name, plan.Refused != kctadmission.ShardsFull)
	if plan.Refused != kctadmission.NotRefused {
		c.addRefusal(now, &r, &plan)
		reply := refusal(string(plan.Refused))
		reply.RetryAfter = max(time.Duration((1+retrySpread*(2*rand.Float64()-1))*float64(retryAfter)), plan.Opens)
		return reply, true
	}
	for _, i := range plan.LeftOut {
		c.parts[i].leftOut = true
		c.includeAt = c.message.Received.Add(time.Duration(includeShare * float64(c.route.Objective)))
	}
	return kctport.Reply{}, false
}

// addRefusal records why the request is refused, with the shard that decided it.
func (c *call) addRefusal(now time.Time, r *kctadmission.Request, plan *kctadmission.Plan) {
	s := &r.Shards[plan.Blocking]
	c.trace.add(now, refusalKinds[plan.Refused], c.parts[plan.Blocking].service, "", fmt.Sprintf(
		"expected work %v, wait %v, limit %v, opens in %v; %d shards of %d closed, %d full, %d needed; patience %.2f, %v left", milli(s.Work), milli(s.Wait), milli(s.Limit),
		milli(plan.Opens), plan.Closed, len(r.Shards), plan.Full, r.Needed, r.Patience, milli(r.Deadline)))
}

// refusalKinds are the kinds of events of refused requests.
var refusalKinds = map[kctadmission.Reason]string{
	kctadmission.ShardsClosed: "refused, shards closed", kctadmission.ShardsFull: "refused, shards full", kctadmission.ShardsSlow: "refused, shards slow",
}

func milli(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}

// patience returns the factor by which the request bears longer waits than others.
func (c *call) patience(now time.Time) float64 {
	p := 1 + patienceSpread*(2*rand.Float64()-1)
	if c.engine.repeats.IsRepeat(now, c.route.Name, c.message.Deadline.Sub(c.message.Received)) {
		if c.engine.balancer.RefusedShare(now, c.route.Name) > overloadShare {
			return p * overloadPatience
		}
		return p * repeatPatience
	}
	return p
}

// shard returns what an attempt at a part can be expected to take.
func (c *call) shard(now time.Time, fleet *kctport.Fleet, p *part) kctadmission.Shard {
	b := c.engine.balancer
	if p.quarantine > 0 {
		return kctadmission.Shard{Opens: p.quarantine}
	}
	if len(fleet.Endpoints[p.service]) == 0 {
		return kctadmission.Shard{Opens: absentDelay}
	}
	o := b.Outlook(now, fleet, p.service, c.route.Name, c.route.Objective-returnReserve)
	s := kctadmission.Shard{Work: o.Work, Wait: o.Wait, Limit: o.Limit, Scarce: o.Scarce, Fill: 1}
	if len(c.parts) > 1 {
		// The only part of a request is sent even to an endpoint that has failed.
		s.Opens = o.Closed
	} else {
		s.Opens = b.ServiceBarred(now, fleet, p.service)
	}
	if b.Limited() == 0 {
		return s
	}
	room := b.Room(now, fleet, p.service)
	if room.Wait > roomWait {
		s.Opens, s.Limited = max(s.Opens, room.Wait), true
	}
	s.Scarce, s.Fill = s.Scarce || isScarce(room), room.Fill
	return s
}

// includeLeftOut sends the parts that were left out when others are late or have failed and the answered ones don't reach the minimum coverage, as far
// as there is room now; it reports whether any was sent.
func (c *call) includeLeftOut() bool {
	answered, _ := c.progress()
	if c.meetsCoverage(answered) {
		return false
	}
	included := false
	for _, p := range c.parts {
		if p.leftOut && c.hasRoom(c.engine.timer.Now(), p) {
			p.leftOut = false
			included = c.launch(p) || included
		}
	}
	return included
}

// hasRoom reports whether an endpoint of a part's shard takes another attempt at once.
func (c *call) hasRoom(now time.Time, p *part) bool {
	s := c.shard(now, c.currentFleet(), p)
	return !s.Full(1) && s.Opens == 0
}

// isScarce reports whether the endpoints of a part's shard take so few requests that a hedge would take the place of another request.
func (c *call) isScarce(now time.Time, p *part) bool {
	fleet := c.currentFleet()
	s := c.shard(now, fleet, p)
	return s.Full(hedgePatience) || s.Scarce || c.engine.balancer.Limited() > 0 && isScarce(c.engine.balancer.Room(now, fleet, p.service))
}

func isScarce(r kctbalance.Room) bool {
	return r.Scarce && r.Fill < scarceFill
}

// leftOutDetail says why the answer lacks the part, empty when it did not arrive in time.
func (p *part) leftOutDetail() string {
	switch {
	case p.quarantine > 0:
		return reasonQuarantined
	case p.leftOut:
		return "its endpoints take few requests"
	}
	return ""
}
