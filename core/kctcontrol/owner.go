package kctcontrol

import (
	"context"
	"maps"
	"sync"
	"time"

	kctport "kingcupturn"
)

// memberIndex holds the members from which the owners were last computed.
type memberIndex struct {
	version uint64
	list    []kctport.Member
	live    map[kctport.InstanceID]kctport.Member
	byZone  map[kctport.Zone][]kctport.Member
	peers   []kctport.Member
	alive   []kctport.Member
}

// refreshMembers rebuilds the index after a change of the member table and reassigns the endpoints concerned.
func (c *Controller) refreshMembers(now time.Time) {
	version := c.table.Version()
	if version == c.members.version && c.members.list != nil {
		return
	}
	before := c.members
	next := memberIndex{
		version: version, list: c.table.Members(),
		live: make(map[kctport.InstanceID]kctport.Member), byZone: make(map[kctport.Zone][]kctport.Member),
	}
	for _, m := range next.list {
		if !m.Alive() {
			continue
		}
		next.live[m.ID] = m
		next.alive = append(next.alive, m)
		next.byZone[m.Zone] = append(next.byZone[m.Zone], m)
		if m.ID != c.self.ID {
			next.peers = append(next.peers, m)
		}
	}
	c.members = next
	c.membersChanged = true
	c.fullReportsDue = true
	for id, m := range before.live {
		if _, ok := next.live[id]; !ok {
			c.memberLeft(now, m)
		}
	}
	for id, m := range next.live {
		if _, ok := before.live[id]; !ok {
			c.memberJoined(now, m)
		}
	}
}

// memberLeft assigns the endpoints of a member to new owners.
func (c *Controller) memberLeft(now time.Time, m kctport.Member) {
	for _, s := range maps.Clone(c.endpoints.byOwner[m.ID]) {
		c.setOwner(s, now, c.ownerOf(s.endpoint))
	}
}

// memberJoined compares the member with the current owner of each endpoint that it may own. With rendezvous hashing
// this suffices, so that a join costs two scores per endpoint of its zone instead of one per member.
func (c *Controller) memberJoined(now time.Time, m kctport.Member) {
	firstInZone := len(c.members.byZone[m.Zone]) == 1
	for _, s := range c.endpoints.byZone[m.Zone] {
		owner, ok := c.members.live[s.owner]
		if firstInZone || !ok {
			c.setOwner(s, now, c.ownerOf(s.endpoint))
			continue
		}
		c.setOwner(s, now, c.owners.Owner(s.endpoint, []kctport.Member{owner, m}))
	}
	for zone, endpoints := range c.endpoints.byZone {
		if zone == m.Zone || len(c.members.byZone[zone]) > 0 {
			continue
		}
		for _, s := range endpoints {
			c.setOwner(s, now, c.ownerOf(s.endpoint))
		}
	}
}

// ownerOf chooses the owner among the live members of the endpoint's zone, or among all when the zone has none.
func (c *Controller) ownerOf(e kctport.Endpoint) kctport.InstanceID {
	if sameZone := c.members.byZone[e.Zone]; len(sameZone) > 0 {
		return c.owners.Owner(e, sameZone)
	}
	return c.owners.Owner(e, c.members.alive)
}

func (c *Controller) setOwner(s *endpointState, now time.Time, owner kctport.InstanceID) {
	if owner == s.owner {
		return
	}
	previous := s.owner
	c.endpoints.setOwner(s, owner)
	if previous == "" || previous != s.released {
		s.handoverEnd = now.Add(handoverPeriod)
		c.handovers[s.endpoint.ID] = s
	}
	s.released = ""
	delete(c.releasing, s.endpoint.ID)
	if previous == c.self.ID && owner != "" {
		c.releasing[s.endpoint.ID] = s
	}
	c.changed(s)
}

// refreshHandovers ends handovers whose period has passed and releases endpoints where this entry has no more work.
func (c *Controller) refreshHandovers(now time.Time) {
	for id, s := range c.handovers {
		if !now.Before(s.handoverEnd) {
			c.endHandover(s)
			delete(c.handovers, id)
		}
	}
	for id, s := range c.releasing {
		if c.inFlight(id) == 0 {
			delete(c.releasing, id)
			c.release(s)
		}
	}
}

func (c *Controller) endHandover(s *endpointState) {
	s.handoverEnd = time.Time{}
	c.changed(s)
}

// release notifies the new owner that this entry has no more work at the endpoint, and closes its connections.
func (c *Controller) release(s *endpointState) {
	to, ok := c.members.live[s.owner]
	if !ok || s.owner == c.self.ID {
		return
	}
	c.ports.Backend.Disconnect(s.endpoint.ID)
	message := kctport.Release{From: c.self.ID, Endpoints: []kctport.InstanceID{s.endpoint.ID}}
	c.sendTo(to, func(ctx context.Context, to kctport.Member) {
		// After a lost release the new owner waits for the rest of the handover period.
		_ = c.ports.Peers.Release(ctx, to, message)
	})
}

// sendTo sends one control message to a peer on a goroutine of its own, bounded by peerTimeout.
func (c *Controller) sendTo(to kctport.Member, message func(ctx context.Context, to kctport.Member)) {
	c.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		message(ctx, to)
	})
}

// Broadcast sends a control message to each live peer and closes the returned channel when all sends have ended; Run
// must be called before.
func (c *Controller) Broadcast(message func(ctx context.Context, to kctport.Member)) <-chan struct{} {
	view := c.View()
	var group sync.WaitGroup
	for _, m := range view.Members {
		if m.ID == view.Self.ID || !m.Alive() {
			continue
		}
		group.Add(1)
		c.sendTo(m, func(ctx context.Context, to kctport.Member) {
			defer group.Done()
			message(ctx, to)
		})
	}
	done := make(chan struct{})
	c.spawn(func(context.Context) {
		group.Wait()
		close(done)
	})
	return done
}
