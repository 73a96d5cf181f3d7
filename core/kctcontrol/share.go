package kctcontrol

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	kctport "kingcupturn"
)

const (
	// resharePeriod is how often one random peer gets the reports of all owned endpoints, which replaces lost reports.
	resharePeriod = time.Second
	// maxFullReports bounds the members that get a full report in one tick.
	maxFullReports = 16
)

// shareChanges sends peers the reports of changed endpoints that this entry owns, and in a large fleet those of other
// owners to pass on.
func (c *Controller) shareChanges(now time.Time) {
	changes := c.toForward
	c.toForward = nil
	for _, s := range c.unshared {
		if s.owner == c.self.ID {
			changes = append(changes, c.reportOf(s))
		}
	}
	clear(c.unshared)
	for _, m := range c.gossipTargets() {
		c.sendReports(m, changes)
	}
	c.sendFullReports()
	if peers := c.members.peers; len(peers) > 0 && now.Sub(c.lastShare) >= resharePeriod {
		c.lastShare = now
		c.sendReports(peers[rand.IntN(len(peers))], c.ownedReports())
	}
}

// sendFullReport sends a new member the reports of all owned endpoints, with the endpoints themselves, since the member
// may be unable to read the instance list. A failed send is repeated.
func (c *Controller) sendFullReport(m kctport.Member) {
	reports := c.ownedReports()
	for i := range reports {
		reports[i].Endpoint = c.endpoints.all[reports[i].Endpoint.ID].endpoint
	}
	if len(reports) == 0 {
		return
	}
	c.sendTo(m, func(ctx context.Context, to kctport.Member) {
		if err := c.ports.Peers.Share(ctx, to, reports); err != nil {
			c.offer(callEvent(func(time.Time) {
				delete(c.fullReportSent, to.ID)
				c.fullReportsDue = true
			}))
		}
	})
}

// gossipTargets returns all peers of a small fleet, or pushFanout random ones of a large fleet, where members forward
// what is new to them.
func (c *Controller) gossipTargets() []kctport.Member {
	peers := c.members.peers
	if len(peers) <= fullPushMembers {
		return peers
	}
	targets := make([]kctport.Member, 0, pushFanout)
	for range pushFanout {
		targets = append(targets, peers[rand.IntN(len(peers))])
	}
	return targets
}

// sendFullReports sends a full report to members that are new to this entry.
func (c *Controller) sendFullReports() {
	if !c.fullReportsDue {
		return
	}
	sent := 0
	for _, m := range c.members.peers {
		if c.fullReportSent[m.ID] == m.Incarnation {
			continue
		}
		if sent == maxFullReports {
			return
		}
		sent++
		c.fullReportSent[m.ID] = m.Incarnation
		c.sendFullReport(m)
		c.sendTo(m, c.onJoin)
	}
	c.fullReportsDue = false
	maps.DeleteFunc(c.fullReportSent, func(id kctport.InstanceID, _ kctport.Incarnation) bool {
		_, ok := c.members.live[id]
		return !ok
	})
}

func (c *Controller) ownedReports() []kctport.EndpointReport {
	var out []kctport.EndpointReport
	for _, s := range c.endpoints.byOwner[c.self.ID] {
		if s.hasStatus {
			out = append(out, c.reportOf(s))
		}
	}
	return out
}

func (c *Controller) sendReports(to kctport.Member, reports []kctport.EndpointReport) {
	if len(reports) == 0 {
		return
	}
	c.sendTo(to, func(ctx context.Context, to kctport.Member) {
		// A lost report is replaced when the periodic report of all owned endpoints next reaches the peer.
		_ = c.ports.Peers.Share(ctx, to, reports)
	})
}

func (c *Controller) reportOf(s *endpointState) kctport.EndpointReport {
	c.reportCounter++
	return kctport.EndpointReport{
		Endpoint: kctport.Endpoint{ID: s.endpoint.ID}, Owner: c.self.ID, Counter: c.reportCounter, Status: s.status, Health: s.health, Reason: s.reason,
	}
}

// Share accepts reports about endpoints from their owners.
func (c *Controller) Share(ctx context.Context, reports []kctport.EndpointReport) error {
	_, err := call(ctx, c, func(now time.Time) bool {
		for _, r := range reports {
			c.acceptReport(now, c.reportedEndpoint(now, r), r)
		}
		return true
	})
	return err
}

// reportedEndpoint returns the endpoint of a report, nil when it is unknown. An endpoint that the report describes is
// added, since this entry may be unable to read the instance list or read it late.
func (c *Controller) reportedEndpoint(now time.Time, r kctport.EndpointReport) *endpointState {
	s := c.endpoints.all[r.Endpoint.ID]
	if s == nil && r.Endpoint.Address.IsValid() {
		s = c.addEndpoint(now, r.Endpoint)
		c.trackEndpoints(now)
	}
	return s
}

// acceptReport applies a report from the current owner, or from any entry while the status is unknown.
func (c *Controller) acceptReport(now time.Time, s *endpointState, r kctport.EndpointReport) {
	if s == nil || s.hasStatus && (s.owner == c.self.ID || r.Owner != s.owner) {
		return
	}
	if r.Owner == s.reporter && r.Counter <= s.lastCounter {
		return
	}
	s.reporter, s.lastCounter = r.Owner, r.Counter
	if s.hasStatus && sameStatus(s.status, r.Status) && s.health == r.Health && s.reason == r.Reason {
		return
	}
	s.status, s.hasStatus = r.Status, true
	s.health, s.reason = r.Health, r.Reason
	c.health.Report(now, s.endpoint.ID, r.Status, r.Health)
	c.changed(s)
	if len(c.members.peers) > fullPushMembers {
		c.toForward = append(c.toForward, r)
	}
}

// suspectOwner starts probes of the owner of an endpoint after a failed attempt that was relayed through it.
func (c *Controller) suspectOwner(now time.Time, o kctport.Observation) {
	if s := c.endpoints.all[o.Endpoint]; o.Err != nil && s != nil && s.owner != "" && s.owner != c.self.ID {
		c.table.HandleFailure(now, s.owner)
	}
}
