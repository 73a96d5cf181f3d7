package kctcontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
)

// returnShare is the share of its normal work that a zone gets right after its return.
const returnShare = 0.1

// publish publishes a new view; only what has changed since the last one is rebuilt.
func (c *Controller) publish(now time.Time) {
	view := *c.views.View()
	view.Self = c.self
	if c.membersChanged {
		c.membersChanged = false
		view.Members = make(map[kctport.InstanceID]kctport.Member, len(c.members.list))
		for _, m := range c.members.list {
			view.Members[m.ID] = m
		}
	}
	if len(c.dirty) > 0 {
		view.Services = c.buildServices(view.Services)
		clear(c.dirty)
		c.zonesChanged = true
	}
	if c.zonesChanged || len(c.returned) > 0 {
		view.ZoneShares = c.buildZones(now)
		c.zonesChanged = false
	}
	view.At = now
	view.Expires = now.Add(viewLifetime)
	view.Revision = c.config.Revision
	view.Defaults = c.config.Defaults
	view.Isolated = c.isolated(now)
	view.Draining = c.draining
	c.views.publish(&view)
}

// buildServices rebuilds the services that changed; the others keep their pointers, which traffic uses as cache keys.
func (c *Controller) buildServices(before map[kctport.ServiceName]*kctport.ServiceView) map[kctport.ServiceName]*kctport.ServiceView {
	services := maps.Clone(before)
	if services == nil {
		services = make(map[kctport.ServiceName]*kctport.ServiceView)
	}
	for name := range c.dirty {
		if len(c.endpoints.byService[name]) == 0 {
			delete(services, name)
			continue
		}
		services[name] = &kctport.ServiceView{
			Name: name, Policy: kctconfig.EffectivePolicy(c.config, name), Replicas: c.sortedReplicas(name), Move: c.moveOf(name),
		}
	}
	return services
}

// buildZones computes the share of each zone and removes the returns that are complete.
func (c *Controller) buildZones(now time.Time) map[kctport.Zone]float64 {
	zones := make(map[kctport.Zone]float64, len(c.endpoints.byZone))
	for zone := range c.endpoints.byZone {
		zones[zone] = c.zoneShare(zone, now)
	}
	maps.DeleteFunc(c.returned, func(zone kctport.Zone, _ time.Time) bool { return c.zoneShare(zone, now) >= 1 })
	return zones
}

// markAllChanged makes the next view rebuild every service, after a change of the configuration.
func (c *Controller) markAllChanged() {
	for name, endpoints := range c.endpoints.byService {
		c.dirty[name] = true
		for _, s := range endpoints {
			s.replica = nil
		}
	}
}

// sortedReplicas returns the replicas of a service, sorted by identifier.
func (c *Controller) sortedReplicas(name kctport.ServiceName) []*kctport.Replica {
	out := make([]*kctport.Replica, 0, len(c.endpoints.byService[name]))
	for _, s := range c.endpoints.byService[name] {
		out = append(out, c.replicaOf(s))
	}
	slices.SortFunc(out, func(a, b *kctport.Replica) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// moveOf returns the last move of a service, with share 0 when this entry has recorded a stop of it. Without a move it
// returns a finished one to the current version, so that a version that starts beside it gets no traffic before a move
// is requested.
func (c *Controller) moveOf(name kctport.ServiceName) *kctport.Move {
	for i := len(c.config.Moves) - 1; i >= 0; i-- {
		m := c.config.Moves[i]
		if m.Service != name {
			continue
		}
		if evidence, ok := c.stopped[m.ID]; ok && m.State == kctport.MoveRunning {
			m.Share, m.Evidence = 0, evidence
		}
		if m.State == kctport.MoveDone {
			c.versions[name] = m.To
		}
		return &m
	}
	return &kctport.Move{Service: name, To: c.currentVersion(name), State: kctport.MoveDone, Share: 1}
}

// currentVersion returns the version that a service had first, as long as it has endpoints. Of several that appear at
// once it is the one with the most endpoints, then with the lowest name, so that all entries agree.
func (c *Controller) currentVersion(name kctport.ServiceName) kctport.VersionName {
	counts := make(map[kctport.VersionName]int)
	for _, s := range c.endpoints.byService[name] {
		counts[s.endpoint.Version]++
	}
	current, known := c.versions[name]
	if known && counts[current] > 0 {
		return current
	}
	known = false
	for version, n := range counts {
		if !known || n > counts[current] || n == counts[current] && version < current {
			current, known = version, true
		}
	}
	c.versions[name] = current
	return current
}

func (c *Controller) zoneOut(zone kctport.Zone) bool {
	return slices.ContainsFunc(c.config.ZonesOut, func(z kctport.ZoneOut) bool { return z.Zone == zone })
}

// zoneShare returns the share of its normal work that a zone may get; after a return it rises linearly over the warmup,
// since the endpoints of a returned zone are cold.
func (c *Controller) zoneShare(zone kctport.Zone, now time.Time) float64 {
	if c.zoneOut(zone) {
		return 0
	}
	since, ok := c.returned[zone]
	warmup := c.config.Defaults.Warmup
	if !ok || warmup <= 0 {
		return 1
	}
	progress := float64(now.Sub(since)) / float64(warmup)
	return min(1, returnShare+(1-returnShare)*progress)
}

// isolated reports whether this entry has reached neither the store nor half of its members within contactTimeout.
func (c *Controller) isolated(now time.Time) bool {
	if now.Sub(c.storeAnswered) < contactTimeout || now.Sub(c.started) < contactTimeout {
		return false
	}
	return !c.reachesPeers(now)
}

func (c *Controller) reachesPeers(now time.Time) bool {
	reachable, known := c.table.EstimateReachable(now, contactTimeout)
	return known <= 1 || 2*reachable >= known
}
