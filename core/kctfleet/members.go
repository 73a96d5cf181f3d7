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

// members are the entries known to be alive, grouped by origin: the reader at which each is subscribed.
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

// set stores a member under its origin and reports whether that changed anything.
func (m *members) set(f kctport.FeedMember) bool {
	entries := m.origins[f.Origin]
	old, ok := entries[f.Entry.ID]
	delete(m.unreachableSince, f.Origin)
	switch {
	case f.Unsubscribed && !ok, !f.Unsubscribed && ok && old == f.Entry:
		return false
	case f.Unsubscribed:
		delete(entries, f.Entry.ID)
	case entries == nil:
		m.origins[f.Origin] = map[kctport.InstanceID]kctport.EntryRecord{f.Entry.ID: f.Entry}
	default:
		entries[f.Entry.ID] = f.Entry
	}
	m.outbox = append(m.outbox, f)
	return true
}

// replace replaces the members of the origins that accept selects, and reports whether that changed anything.
func (m *members) replace(full []kctport.FeedMember, accept func(origin kctport.InstanceID) bool) bool {
	present := map[[2]kctport.InstanceID]bool{}
	changed := false
	for _, f := range full {
		if accept(f.Origin) {
			present[[2]kctport.InstanceID{f.Origin, f.Entry.ID}] = true
			changed = m.set(f) || changed
		}
	}
	for origin, entries := range m.origins {
		if !accept(origin) {
			continue
		}
		for id, e := range entries {
			if !present[[2]kctport.InstanceID{origin, id}] {
				changed = m.set(kctport.FeedMember{Origin: origin, Entry: e, Unsubscribed: true}) || changed
			}
		}
	}
	return changed
}

// apply stores the members of an update of the origins that accept selects, and reports whether that changed anything.
func (m *members) apply(f kctport.FeedUpdate, accept func(origin kctport.InstanceID) bool) bool {
	if f.Full {
		return m.replace(f.Members, accept)
	}
	changed := false
	for _, member := range f.Members {
		changed = accept(member.Origin) && m.set(member) || changed
	}
	return changed
}

// markUnreachable starts the grace period of the origins that accept selects, until another source reports them.
func (m *members) markUnreachable(now time.Time, accept func(origin kctport.InstanceID) bool) {
	for origin, entries := range m.origins {
		if _, ok := m.unreachableSince[origin]; !ok && origin != m.self && len(entries) > 0 && accept(origin) {
			m.unreachableSince[origin] = now
		}
	}
}

// expire removes the members of origins whose grace period has ended.
func (m *members) expire(now time.Time) []event {
	var events []event
	for origin, since := range m.unreachableSince {
		if now.Sub(since) < originGrace {
			continue
		}
		for _, e := range m.origins[origin] {
			m.outbox = append(m.outbox, kctport.FeedMember{Origin: origin, Entry: e, Unsubscribed: true})
		}
		delete(m.origins, origin)
		delete(m.unreachableSince, origin)
		events = append(events, event{message: "reader unreachable", key: string(origin)})
	}
	return events
}

// all lists each entry once, sorted by identifier, with this entry's current record.
func (m *members) all(self kctport.EntryRecord) []kctport.EntryRecord {
	byID := map[kctport.InstanceID]kctport.EntryRecord{}
	for _, entries := range m.origins {
		for id, e := range entries {
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
	for origin, entries := range m.origins {
		for _, e := range entries {
			list = append(list, kctport.FeedMember{Origin: origin, Entry: e})
		}
	}
	return list
}
