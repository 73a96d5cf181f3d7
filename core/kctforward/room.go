package kctforward

import (
	"cmp"
	"math"
	"slices"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctbalance"
)

const (
	// roomWait is how long a request may wait for an endpoint that names a limit; a refusal after a longer wait leaves the caller little time for another
	// attempt.
	roomWait = 15 * time.Millisecond
	// scarceFill is the part of a scarce shard's tokens from which requests use it again.
	scarceFill = 0.5
	// includeShare is the part of a route's objective after which parts that were left out take the place of late ones.
	includeShare = 0.5
)

// planRoom decides which parts of a request do without their shards because the endpoints there take no more requests. When too many must, it
// returns a refusal at once: the request would hold room at the other shards and fail all the same.
func (c *call) planRoom(now time.Time) (kctport.Reply, bool) {
	if c.engine.balancer.Limited() == 0 {
		return kctport.Reply{}, false
	}
	fleet := c.currentFleet()
	type scarcity struct {
		part *part
		room kctbalance.Room
	}
	var scarce []scarcity
	blocked := 0
	for _, p := range c.parts {
		room := c.engine.balancer.Room(now, fleet, p.service)
		if room.Wait > roomWait {
			blocked++
		}
		if room.Wait > roomWait || isScarce(room) {
			scarce = append(scarce, scarcity{p, room})
		}
	}
	// A request leaves scarce shards to others as far as it can do without them: with the shard for fewer requests, more of them reach their minimum
	// coverage. The shards with the longest wait come first, then those with the fewest tokens.
	slices.SortStableFunc(scarce, func(a, b scarcity) int {
		return cmp.Or(cmp.Compare(b.room.Wait, a.room.Wait), cmp.Compare(a.room.Fill, b.room.Fill))
	})
	// A request that needs fewer shards is admitted no sooner than a more urgent one, which it would otherwise starve.
	admissible := c.spareParts(max(c.route.MinCoverage, c.engine.urgentCoverage(c.fleet.Rules, c.route.Priority)))
	if blocked > admissible {
		r := refusal("endpoints of too many shards take no more requests")
		r.RetryAfter = max(retryAfter, scarce[admissible].room.Wait)
		return r, true
	}
	for _, s := range scarce[:min(c.spareParts(c.route.MinCoverage), len(scarce))] {
		s.part.leftOut = true
		c.includeAt = c.message.Received.Add(time.Duration(includeShare * float64(c.route.Objective)))
	}
	return kctport.Reply{}, false
}

// spareParts returns how many parts a request of a minimum coverage may do without.
func (c *call) spareParts(coverage float64) int {
	needed := int(math.Ceil(coverage*float64(len(c.parts)) - coverageRounding))
	return len(c.parts) - max(1, needed)
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
		if !p.leftOut {
			continue
		}
		now := c.engine.timer.Now()
		if c.engine.balancer.Room(now, c.currentFleet(), p.service).Wait == 0 {
			p.leftOut = false
			included = c.launch(p) || included
		}
	}
	return included
}

// isScarce reports whether the endpoints of a part's shard take so few requests that a hedge would take the place of another request.
func (c *call) isScarce(now time.Time, p *part) bool {
	return c.engine.balancer.Limited() > 0 && isScarce(c.engine.balancer.Room(now, c.currentFleet(), p.service))
}

func isScarce(r kctbalance.Room) bool {
	return r.Scarce && r.Fill < scarceFill
}

// leftOutDetail says why the answer lacks the part, empty when it did not arrive in time.
func (p *part) leftOutDetail() string {
	if p.leftOut {
		return "its endpoints take few requests"
	}
	return ""
}
