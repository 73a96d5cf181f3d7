package kctfleet

import (
	"cmp"
	"slices"
	"time"

	kctport "kingcupturn"
)

// fleet builds the fleet state for traffic.
func (s *state) fleet(now time.Time) *kctport.Fleet {
	f := &kctport.Fleet{
		Rules: s.rules, Endpoints: map[kctport.ServiceName][]*kctport.FleetEndpoint{}, LastContact: s.contact.complete, Draining: s.draining,
	}
	best, _ := s.contact.best(now)
	f.Watcher, f.WatcherHops = best.watcher, best.hops
	if s.table != nil {
		f.Table = s.table
	}
	for _, r := range s.lapsed {
		if r.Endpoint != nil {
			f.Lapsed++
		}
	}
	outOfService := s.zonesOutOfService()
	f.Moves = s.moveShares(now)
	for _, r := range s.records {
		if r.Endpoint == nil || r.Endpoint.Leaving || outOfService[r.Endpoint.Zone] || now.Before(r.doubtfulUntil) {
			continue
		}
		f.Endpoints[r.Endpoint.Service] = append(f.Endpoints[r.Endpoint.Service], r.endpoint())
	}
	for service, endpoints := range f.Endpoints {
		slices.SortFunc(endpoints, func(a, b *kctport.FleetEndpoint) int { return compareIDs(a.ID, b.ID) })
		f.Endpoints[service] = dropIdleVersion(f.Moves, service, endpoints)
	}
	s.lastPresent[s.self.ID] = now
	for _, e := range s.members.all(s.self) {
		s.lastPresent[e.ID] = now
		if !e.Leaving && (e.ID != s.self.ID || !s.draining) {
			f.Entries = append(f.Entries, e)
		}
	}
	f.LimitShares = len(s.lastPresent)
	if now.Before(s.assumedUntil) {
		f.LimitShares = max(f.LimitShares, s.assumedShares)
	}
	f.Active = s.active.choose(now, f.Entries, f.Endpoints)
	f.SelfActive = slices.ContainsFunc(f.Active, func(e kctport.EntryRecord) bool { return e.ID == s.self.ID })
	f.ActiveShares = s.activeShares(f, now.Before(s.assumedUntil))
	f.ConnectionShares = s.activeShares(f, now.Before(s.connectionsAssumedUntil))
	return f
}

// dropIdleVersion leaves out the endpoints of a version whose share is 0. If the service has no others, they are kept, since the move is then no
// longer under the tier's control.
func dropIdleVersion(moves map[kctport.ServiceName]kctport.MoveShare, service kctport.ServiceName, endpoints []*kctport.FleetEndpoint) []*kctport.FleetEndpoint {
	m, ok := moves[service]
	if !ok {
		return endpoints
	}
	kept := slices.DeleteFunc(slices.Clone(endpoints), func(f *kctport.FleetEndpoint) bool {
		isNew := f.Version == m.To
		return isNew && m.Share == 0 || !isNew && m.Share == 1
	})
	if len(kept) == 0 {
		return endpoints
	}
	return kept
}

func compareIDs(a, b kctport.InstanceID) int {
	return cmp.Compare(a, b)
}

// activeShares returns how many entries share the limits that only entries with callers use: the active ones and one that may have been active
// until recently, and at least the assumed number while some may not be known yet. An entry that isn't active itself takes a smaller share.
func (s *state) activeShares(f *kctport.Fleet, assumed bool) int {
	if f.SelfActive {
		active := len(f.Active) + 1
		if assumed {
			active = max(active, s.assumedShares)
		}
		return min(f.LimitShares, active)
	}
	return f.LimitShares
}

func (s *state) zonesOutOfService() map[kctport.Zone]bool {
	zones := map[kctport.Zone]bool{}
	for _, r := range s.records {
		if r.Kind == kctport.RecordZoneOut {
			zones[r.Zone] = true
		}
	}
	return zones
}
