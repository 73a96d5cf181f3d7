package kctfleet

import (
	"cmp"
	"slices"
	"time"

	kctport "kingcupturn"
)

// originHold keeps the members of a reader that is no longer heard while they subscribe elsewhere.
const originHold = 2 * time.Second

// sourceHold is added while this entry looks for another source. An entry that died in the same moment is still out of the directory
// within the users' bound of 7 s.
const sourceHold = 2500 * time.Millisecond

// members are the entries that are known to be alive, each under the reader at which it is subscribed.
type members struct {
	self    kctport.InstanceID
	origins map[kctport.InstanceID]map[kctport.InstanceID]kctport.EntryRecord
	// unheard is since when an origin is no longer heard.
	unheard map[kctport.InstanceID]time.Time
	outbox  []kctport.FeedMember
}

func newMembers(self kctport.InstanceID) members {
	return members{
		self:    self,
		origins: map[kctport.InstanceID]map[kctport.InstanceID]kctport.EntryRecord{},
		unheard: map[kctport.InstanceID]time.Time{},
	}
}

// set notes an entry's record under its origin and reports whether that is news.
func (m *members) set(f kctport.FeedMember) bool {
	known := m.origins[f.Origin]
	old, ok := known[f.Entry.ID]
	delete(m.unheard, f.Origin)
	switch {
	case f.Unsubscribed && !ok, !f.Unsubscribed && ok && old == f.Entry:
		return false
	case f.Unsubscribed:
		delete(known, f.Entry.ID)
	case known == nil:
		m.origins[f.Origin] = map[kctport.InstanceID]kctport.EntryRecord{f.Entry.ID: f.Entry}
	default:
		known[f.Entry.ID] = f.Entry
	}
	m.outbox = append(m.outbox, f)
	return true
}

// replace takes the complete members of some origins; only filters which.
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
				changed = m.set(kctport.FeedMember{Origin: origin, Entry: e, Unsubscribed: true}) || changed
			}
		}
	}
	return changed
}

// lose notes that an origin is no longer heard.
func (m *members) lose(origin kctport.InstanceID, now time.Time) {
	if _, ok := m.unheard[origin]; !ok && len(m.origins[origin]) > 0 {
		m.unheard[origin] = now
	}
}

// loseAll notes that no origin but this entry is heard any more, until another source names them.
func (m *members) loseAll(now time.Time) {
	for origin := range m.origins {
		if origin != m.self {
			m.lose(origin, now.Add(sourceHold))
		}
	}
}

// expire drops the members of origins that stayed unheard.
func (m *members) expire(now time.Time) []event {
	var events []event
	for origin, since := range m.unheard {
		if now.Sub(since) < originHold {
			continue
		}
		for _, e := range m.origins[origin] {
			m.outbox = append(m.outbox, kctport.FeedMember{Origin: origin, Entry: e, Unsubscribed: true})
		}
		delete(m.origins, origin)
		delete(m.unheard, origin)
		events = append(events, event{what: "reader no longer heard", key: string(origin)})
	}
	return events
}

// all lists each entry once, with this entry's own record as it is now.
func (m *members) all(self kctport.EntryRecord) []kctport.EntryRecord {
	found := map[kctport.InstanceID]kctport.EntryRecord{}
	for _, known := range m.origins {
		for id, e := range known {
			found[id] = e
		}
	}
	found[self.ID] = self
	list := make([]kctport.EntryRecord, 0, len(found))
	for _, e := range found {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b kctport.EntryRecord) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// full lists all members for a new subscriber.
func (m *members) full() []kctport.FeedMember {
	var list []kctport.FeedMember
	for origin, known := range m.origins {
		for _, e := range known {
			list = append(list, kctport.FeedMember{Origin: origin, Entry: e})
		}
	}
	return list
}
