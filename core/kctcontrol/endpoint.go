package kctcontrol

import (
	"errors"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// handoverPeriod covers the work that a silent previous owner may still have in flight.
	handoverPeriod = time.Second
	// silentUnlisted keeps an endpoint that the lagging list has dropped and that no longer answers.
	silentUnlisted = 10 * time.Second
	// maxUnlisted keeps an endpoint that the list has dropped although it answers.
	maxUnlisted = time.Minute
)

// endpointState is what control knows of one endpoint.
type endpointState struct {
	endpoint kctport.Endpoint
	status   kctport.Status
	known    bool
	failed   bool
	owner    kctport.InstanceID
	handover time.Time
	// released is the last owner that said it has no more work at the endpoint.
	released kctport.InstanceID
	listed   time.Time
	health   kctport.Health
	reason   string
	// shared is the counter of the last report taken from the reporter.
	shared   uint64
	reporter kctport.InstanceID
	replica  *kctport.Replica
}

// learnEndpoints merges a reading of the platform's list.
func (c *Controller) learnEndpoints(now time.Time, list []kctport.Endpoint) {
	c.lastList = now
	set := false
	for _, e := range list {
		s := c.endpoints.all[e.ID]
		if s == nil {
			s = c.addEndpoint(now, e)
			set = true
		}
		if s.endpoint != e {
			s.endpoint = e
			c.changed(s)
		}
		s.listed = now
	}
	for id, s := range c.endpoints.all {
		if unlisted := c.lastList.Sub(s.listed); unlisted > maxUnlisted || unlisted > silentUnlisted && s.down() {
			c.endpoints.remove(s)
			c.ports.Backend.Disconnect(id)
			c.dirty[s.endpoint.Service] = true
			set = true
		}
	}
	if set {
		c.track(now)
	}
}

func (c *Controller) addEndpoint(now time.Time, e kctport.Endpoint) *endpointState {
	s := &endpointState{endpoint: e, listed: now}
	c.endpoints.add(s)
	c.setOwner(s, now, c.ownerOf(e))
	return s
}

func (s *endpointState) down() bool {
	return s.failed || s.health == kctport.HealthDown
}

// track tells the health tracker which endpoints exist, since its ejection bounds need the replicas of a shard.
func (c *Controller) track(now time.Time) {
	list := make([]kctport.Endpoint, 0, len(c.endpoints.all))
	for _, s := range c.endpoints.all {
		list = append(list, s.endpoint)
	}
	c.health.Track(now, list)
}

// changed makes the next view carry the endpoint, and the next report to peers when this entry owns it.
func (c *Controller) changed(s *endpointState) {
	s.replica = nil
	c.dirty[s.endpoint.Service] = true
	if s.owner == c.self.ID && s.known {
		c.unshared[s.endpoint.ID] = s
	}
}

// poll takes a status that an owned endpoint reported, or the failure to get it.
func (c *Controller) poll(now time.Time, s *endpointState, status kctport.Status, err error) {
	c.health.Status(now, s.endpoint.ID, status, err)
	s.failed = err != nil
	if err == nil {
		changed := !s.known || !sameStatus(s.status, status)
		s.status, s.known = status, true
		if changed {
			c.changed(s)
		}
	}
	c.checkHealth(s, now)
}

// noteLeaving takes an endpoint's refusal as its word that it drains, ahead of its next status.
func (c *Controller) noteLeaving(s *endpointState, o kctport.Observation) {
	if errors.Is(o.Err, kctport.ErrEndpointDraining) && !s.status.Draining {
		s.status.Draining = true
		c.changed(s)
	}
}

// sameStatus ignores the load, which changes with every report.
func sameStatus(a, b kctport.Status) bool {
	return a.BootID == b.BootID && a.Slots == b.Slots && a.Draining == b.Draining && slices.Equal(a.Holdings, b.Holdings)
}

// checkHealth asks the health tracker about an owned endpoint; for others the owner's reports count.
func (c *Controller) checkHealth(s *endpointState, now time.Time) {
	if s.owner != c.self.ID {
		return
	}
	health, reason := c.health.Health(now, s.endpoint.ID)
	if health != s.health || reason != s.reason {
		s.health, s.reason = health, reason
		c.changed(s)
	}
}

// usable says whether new work may go to the endpoint, and why not.
func (c *Controller) usable(s *endpointState) (bool, string) {
	switch {
	case s.endpoint.Leaving:
		return false, "leaving by the instance list"
	case !s.known:
		return false, "no status yet"
	case s.status.Draining:
		return false, "draining by its own report"
	case c.zoneOut(s.endpoint.Zone):
		return false, "availability zone taken out"
	case s.owner == "":
		return false, "no owner"
	case s.health == kctport.HealthDown || s.health == kctport.HealthEjected:
		return false, s.reason
	}
	return true, ""
}

// replicaOf returns the replica for the view; an unchanged endpoint keeps its replica.
func (c *Controller) replicaOf(s *endpointState) *kctport.Replica {
	if s.replica != nil {
		return s.replica
	}
	usable, reason := c.usable(s)
	health := s.health
	if _, cold := c.warming[s.endpoint.Zone]; cold && health == kctport.HealthOK {
		health = kctport.HealthCold
	}
	s.replica = &kctport.Replica{
		Endpoint: s.endpoint, Status: s.status, Owner: s.owner, Health: health,
		HandoverEnd: s.handover, Usable: usable, Reason: reason,
	}
	return s.replica
}
