package kctfleet

import (
	"cmp"
	"slices"
	"time"

	kctport "kingcupturn"
)

// originGrace is how long the members of an unreachable reader are kept while they subscribe elsewhere.
const originGrace = 2 * time.Second

// sourceChangeGrace is added to originGrace while this entry changes its source. An entry that fails at the same moment still leaves the
// directory within the required 7 s.
const sourceChangeGrace = 2500 * time.Millisecond

// members are the entries known to be alive, grouped by origin, the entry at which they are subscribed.
type members struct {
	self    kctport.InstanceID
	origins map[kctport.InstanceID]map[kctport.InstanceID]kctport.EntryRecord
	// unreachableSince is when an origin became unreachable.
	unreachableSince map[kctport.InstanceID]time.Time
	outbox           []kctport.FeedMember
}

func newMembers(self kctport.InstanceID) members {
	return members{
		self:             self,
		origins:          map[kctport.InstanceID]map[kctport.InstanceID]kctport.EntryRecord{},
		unreachableSince: map[kctport.InstanceID]time.Time{},
	}
}

// set records a member under its origin and reports whether that changed anything.
func (m *members) set(f kctport.FeedMember) bool {
	known := m.origins[f.Origin]
	old, ok := known[f.Entry.ID]
	delete(m.unreachableSince, f.Origin)
	switch {
	case f.Gone && !ok, !f.Gone && ok && old == f.Entry:
		return false
	case f.Gone:
		delete(known, f.Entry.ID)
	case known == nil:
		m.origins[f.Origin] = map[kctport.InstanceID]kctport.EntryRecord{f.Entry.ID: f.Entry}
	default:
		known[f.Entry.ID] = f.Entry
	}
	m.outbox = append(m.outbox, f)
	return true
}

// replace replaces the members of the origins that only accepts, and reports whether that changed anything.
func (m *members) replace(full []kctport.FeedMember, only func(origin kctport.InstanceID) bool) bool {
	present := map[[2]kctport.InstanceID]bool{}
	changed := false
	for _, f := range full {
		if only(f.Origin) {
			present[[2]kctport.InstanceID{f.Origin, f.Entry.ID}] = true
			changed = m.set(f) || changed
		}
	}
	for origin, known := range m.origins {
		if !only(origin) {
			continue
		}
		for id, e := range known {
			if !present[[2]kctport.InstanceID{origin, id}] {
				changed = m.set(kctport.FeedMember{Origin: origin, Entry: e, Gone: true}) || changed
			}
		}
	}
	return changed
}

// markUnreachable starts the grace period of an origin that is no longer reachable.
func (m *members) markUnreachable(origin kctport.InstanceID, now time.Time) {
	if _, ok := m.unreachableSince[origin]; !ok && len(m.origins[origin]) > 0 {
		m.unreachableSince[origin] = now
	}
}

// markAllUnreachable does the same for all origins but this entry, until another source reports them.
func (m *members) markAllUnreachable(now time.Time) {
	for origin := range m.origins {
		if origin != m.self {
			m.markUnreachable(origin, now.Add(sourceChangeGrace))
		}
	}
}

// expire removes the members of origins whose grace period is over.
func (m *members) expire(now time.Time) []event {
	var events []event
	for origin, since := range m.unreachableSince {
		if now.Sub(since) < originGrace {
			continue
		}
		for _, e := range m.origins[origin] {
			m.outbox = append(m.outbox, kctport.FeedMember{Origin: origin, Entry: e, Gone: true})
		}
		delete(m.origins, origin)
		delete(m.unreachableSince, origin)
		events = append(events, event{what: "reader unreachable", key: string(origin)})
	}
	return events
}

// all lists each entry once, sorted by identifier, with this entry's current record.
func (m *members) all(self kctport.EntryRecord) []kctport.EntryRecord {
	byID := map[kctport.InstanceID]kctport.EntryRecord{}
	for _, known := range m.origins {
		for id, e := range known {
			byID[id] = e
		}
	}
	byID[self.ID] = self
	list := make([]kctport.EntryRecord, 0, len(byID))
	for _, e := range byID {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b kctport.EntryRecord) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// fullState lists all members with their origins.
func (m *members) fullState() []kctport.FeedMember {
	var list []kctport.FeedMember
	for origin, known := range m.origins {
		for _, e := range known {
			list = append(list, kctport.FeedMember{Origin: origin, Entry: e})
		}
	}
	return list
}
