package kctfleet

import (
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctmove"
	"kingcupturn/core/kctroutetable"
)

// limitShareRetention is how long a removed entry still counts among those that share fleet-wide limits; it may be running but unreachable.
const limitShareRetention = 10 * time.Second

// state is the control state; the control goroutine owns it.
type state struct {
	self    kctport.EntryRecord
	contact storeContact
	records map[string]*record
	// moveRecords are the records of moves among records, indexed separately because they are read often.
	moveRecords map[string]*record
	// lapsed are the records that disappeared during an outage of the store and may be registered again.
	lapsed map[string]*record
	// doubtful are the records that may only have been brought back by an older copy of the store.
	doubtful map[string]*record
	// tombstones keep an entry that follows behind, or that keeps a lapsed record, from restoring a removed one.
	tombstones        map[string]tombstone
	tombstonesChecked time.Time
	rules             *kctport.Rules
	table             *kctroutetable.Table
	// rulesChange is the change that brought the rules in force, for new subscribers.
	rulesChange kctport.RegistryChange
	// source is the entry from which the last changes came, this entry for its own calls.
	source  kctport.InstanceID
	members members
	// outbox holds changes not yet sent to subscribers, suspicionOutbox suspicions, and stopOutbox stops of versions.
	outbox          []kctport.RegistryChange
	suspicionOutbox []kctport.Suspicion
	stopOutbox      []kctport.MoveReport
	// lastPresent is when each entry was last known to be a member.
	lastPresent map[kctport.InstanceID]time.Time
	// assumedShares is the least number of entries assumed to share fleet-wide limits before assumedUntil, when some may not be known yet.
	assumedShares int
	assumedUntil  time.Time
	// connectionsAssumedUntil is the same for the entries that share the connections to endpoints.
	connectionsAssumedUntil time.Time
	active                  activeSet
	mover                   *mover
	// readsAll is set while a complete reading is applied, whose records may be old.
	readsAll bool
	// changed is set while the published fleet state lacks changes, also those of an update that panicked half-way.
	changed  bool
	draining bool
}

// connectionAssumption is how long after its start an entry uses as few connections as if many others had callers too. The others are known a second after
// that; a connection too many costs an attempt that is made at another endpoint, while too few of them hold up all requests.
const connectionAssumption = 3 * time.Second

// assumedEntries is how many entries of each zone are assumed to share fleet-wide limits until they are known.
const assumedEntries = 3

func newState(self kctport.EntryRecord, zones map[kctport.Zone]kctport.Region, contact storeContact) *state {
	return &state{
		self: self, contact: contact, records: map[string]*record{}, moveRecords: map[string]*record{}, lapsed: map[string]*record{},
		doubtful:   map[string]*record{},
		tombstones: map[string]tombstone{}, lastPresent: map[kctport.InstanceID]time.Time{},
		members: newMembers(self.ID), active: newActiveSet(zones), mover: newMover(kctmove.DefaultExposure),
	}
}

// assumeShares assumes a number of entries that share fleet-wide limits for the time after the start, when some may not be known yet.
func (s *state) assumeShares(shares int, now time.Time) {
	s.assumedShares, s.assumedUntil, s.connectionsAssumedUntil = shares, now.Add(limitShareRetention), now.Add(connectionAssumption)
}

// expire removes what has been kept for long enough: lapsed records, tombstones, members and limit shares.
func (s *state) expire(now time.Time) []event {
	events := s.expireRecords(now)
	for id, at := range s.lastPresent {
		if now.Sub(at) > limitShareRetention {
			delete(s.lastPresent, id)
		}
	}
	return append(events, s.members.expire(now)...)
}

// applyLoaded applies a complete reading of the store by this entry.
func (s *state) applyLoaded(now time.Time, l kctport.RegistryState) []event {
	s.source = s.self.ID
	s.contact.ownChanges(now, l.Revision)
	events := s.contact.assess(now)
	return append(events, s.applyFull(now, l.Changes, l.Revision)...)
}

// applyWatched applies the changes that a watch of this entry returned.
func (s *state) applyWatched(now time.Time, changes []kctport.RegistryChange, revision kctport.StoreRevision) []event {
	s.source = s.self.ID
	s.contact.ownChanges(now, revision)
	events := s.contact.assess(now)
	for _, change := range changes {
		events = append(events, s.apply(now, change)...)
	}
	return events
}

// maxFeedLag is how much older than this entry's state the state of a feed may be to count as complete, when its revision is not known.
const maxFeedLag = time.Second

// applyFeedUpdate applies an update of a feed.
func (s *state) applyFeedUpdate(now time.Time, feed *link, f kctport.FeedUpdate) []event {
	s.source = feed.entry.ID
	o := observed(now, f.Store)
	behind := o.complete.Before(s.contact.complete.Add(-maxFeedLag))
	s.contact.feedUpdate(feed, o)
	events := s.contact.assess(now)
	if f.Full && !behind {
		events = append(events, s.applyFull(now, f.Changes, f.Store.Revision)...)
	} else {
		// A record that is missing from an older complete state may be new.
		for _, change := range f.Changes {
			events = append(events, s.apply(now, change)...)
		}
	}
	if s.members.apply(f, feed.accept) {
		events = append(events, event{})
	}
	return events
}
