package kctcontrol

import (
	"errors"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// handoverPeriod is how long work of a previous owner that sends no release may still be in flight.
	handoverPeriod = time.Second
	// maxUnlistedDown is how long an endpoint that no longer answers is kept after the instance list, which lags,
	// dropped it.
	maxUnlistedDown = 10 * time.Second
	// maxUnlisted is how long an endpoint that still answers is kept after the instance list dropped it.
	maxUnlisted = time.Minute
)

// endpointState is the control state of one endpoint.
type endpointState struct {
	endpoint    kctport.Endpoint
	status      kctport.Status
	hasStatus   bool
	pollFailed  bool
	owner       kctport.InstanceID
	handoverEnd time.Time
	// released is the last owner that reported that it has no more work at the endpoint.
	released   kctport.InstanceID
	lastListed time.Time
	health     kctport.Health
	reason     string
	// lastCounter is the counter of the last report accepted from the reporter.
	lastCounter uint64
	reporter    kctport.InstanceID
	replica     *kctport.Replica
}

// mergeEndpoints adds and updates endpoints from a read of the platform's instance list and removes those it dropped.
func (c *Controller) mergeEndpoints(now time.Time, list []kctport.Endpoint) {
	c.lastListRead = now
	setChanged := false
	for _, e := range list {
		s := c.endpoints.all[e.ID]
		if s == nil {
			s = c.addEndpoint(now, e)
			setChanged = true
		}
		if s.endpoint != e {
			s.endpoint = e
			c.changed(s)
		}
		s.lastListed = now
	}
	for id, s := range c.endpoints.all {
		if unlisted := c.lastListRead.Sub(s.lastListed); unlisted > maxUnlisted || unlisted > maxUnlistedDown && s.down() {
			c.endpoints.remove(s)
			c.ports.Backend.Disconnect(id)
			c.dirty[s.endpoint.Service] = true
			setChanged = true
		}
	}
	if setChanged {
		c.trackEndpoints(now)
	}
}

func (c *Controller) addEndpoint(now time.Time, e kctport.Endpoint) *endpointState {
	s := &endpointState{endpoint: e, lastListed: now}
	c.endpoints.add(s)
	c.setOwner(s, now, c.ownerOf(e))
	return s
}

func (s *endpointState) down() bool {
	return s.pollFailed || s.health == kctport.HealthDown
}

// trackEndpoints passes all endpoints to the health tracker, whose ejection bounds depend on the replicas of a shard.
func (c *Controller) trackEndpoints(now time.Time) {
	list := make([]kctport.Endpoint, 0, len(c.endpoints.all))
	for _, s := range c.endpoints.all {
		list = append(list, s.endpoint)
	}
	c.health.Track(now, list)
}

// changed marks an endpoint for the next view, and for the next report to peers when this entry owns it.
func (c *Controller) changed(s *endpointState) {
	s.replica = nil
	c.dirty[s.endpoint.Service] = true
	if s.owner == c.self.ID && s.hasStatus {
		c.unshared[s.endpoint.ID] = s
	}
}

// recordStatus records the result of a status call to an owned endpoint.
func (c *Controller) recordStatus(now time.Time, s *endpointState, status kctport.Status, err error) {
	c.health.Status(now, s.endpoint.ID, status, err)
	s.pollFailed = err != nil
	if err == nil {
		changed := !s.hasStatus || !sameStatus(s.status, status)
		s.status, s.hasStatus = status, true
		if changed {
			c.changed(s)
		}
	}
	c.checkHealth(s, now)
}

// markDraining marks an endpoint as draining when it refuses an attempt for that reason, ahead of its next status.
func (c *Controller) markDraining(s *endpointState, o kctport.Observation) {
	if errors.Is(o.Err, kctport.ErrEndpointDraining) && !s.status.Draining {
		s.status.Draining = true
		c.changed(s)
	}
}

// sameStatus ignores the load, which changes with every report.
func sameStatus(a, b kctport.Status) bool {
	return a.BootID == b.BootID && a.Slots == b.Slots && a.Draining == b.Draining && slices.Equal(a.Holdings, b.Holdings)
}

// checkHealth updates an owned endpoint from the health tracker; the health of others comes from their owners' reports.
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

// usable reports whether new work may go to the endpoint, with the reason when it may not.
func (c *Controller) usable(s *endpointState) (bool, string) {
	switch {
	case s.endpoint.Leaving:
		return false, "leaving by the instance list"
	case !s.hasStatus:
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

// replicaOf returns the replica for the view; it is rebuilt only after a change of the endpoint.
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
		HandoverEnd: s.handoverEnd, Usable: usable, Reason: reason,
	}
	return s.replica
}
