package kctfleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctroutetable"
)

const (
	// lapseGrace keeps records that disappeared during an outage of the store: live endpoints register again within about 2 s of its return.
	lapseGrace = 2200 * time.Millisecond
	// defaultHeartbeat is how often endpoints write their records.
	defaultHeartbeat = 1200 * time.Millisecond
	// lapseHeartbeats is the least number of heartbeats that a live endpoint must miss before its record expires: records expire after three
	// heartbeats of silence, and the last write can be one heartbeat old when an outage begins.
	lapseHeartbeats = 2
	// tombstoneRetention is longer than a reader with an old state stays in use.
	tombstoneRetention = 5 * time.Minute
	// limitShareRetention is how long a removed entry still counts among those that share fleet-wide limits; it may be running but unreachable.
	limitShareRetention = 10 * time.Second
)

// record is a key of the store as last received.
type record struct {
	kctport.RegistryChange
	// readAt is when the record was read.
	readAt time.Time
	// missingSince is when the key was reported deleted during an outage, and removal the revision of that; zero while it is present.
	missingSince time.Time
	removal      kctport.StoreRevision
}

// isNewer reports whether the record, or its removal, is newer than a change; a record that is missing may come back unchanged.
func (r *record) isNewer(c kctport.RegistryChange) bool {
	return c.Revision < r.Revision || c.Revision == r.Revision && r.missingSince.IsZero() || c.Revision <= r.removal
}

// tombstone is a record that was removed.
type tombstone struct {
	// removal is the revision of the removal, or that of the complete reading which lacked the record.
	removal kctport.StoreRevision
	at      time.Time
}

// state is the control state; the control goroutine owns it.
type state struct {
	self    kctport.EntryRecord
	records map[string]*record
	// moveRecords are the records of moves among records, indexed separately because they are read often.
	moveRecords map[string]*record
	// lapsed are the records that disappeared during an outage of the store and may be registered again.
	lapsed map[string]*record
	// tombstones keep a reader that follows behind, or that keeps a lapsed record, from restoring a removed one.
	tombstones        map[string]tombstone
	tombstonesChecked time.Time
	rules             *kctport.Rules
	table             *kctroutetable.Table
	// revision is the store's revision up to which all changes have been applied, 0 while it is not known.
	revision kctport.StoreRevision
	// rulesChange is the change that brought the rules in force, for new subscribers.
	rulesChange kctport.RegistryChange
	// lastContact is when the store's changes were last received, and lastReply when the store last answered at all, to this entry or to the reader
	// that it follows.
	lastContact time.Time
	lastReply   time.Time
	// source is the entry from which the last state came, this entry for its own calls, and watching is set while this entry watches the store.
	source           kctport.InstanceID
	watching         bool
	storeUnreachable bool
	// lapseTime is the shortest outage of the store in which the record of a live endpoint can expire.
	lapseTime time.Duration
	// ownSince is the start of this entry's own contact with the store without a failed call, and ownReply its last own reply.
	ownSince time.Time
	ownReply time.Time
	// steadySince is the start of the contact without interruption. Between interruptedAt and reconnectedAt nobody is known to have reached the
	// store for so long that records may have expired; reconnectedAt is zero when there is no such time.
	steadySince   time.Time
	interruptedAt time.Time
	reconnectedAt time.Time
	members       members
	// outbox holds changes not yet sent to subscribers.
	outbox []kctport.RegistryChange
	// lastPresent is when each entry was last known to be a member.
	lastPresent map[kctport.InstanceID]time.Time
	// assumedShares is the least number of entries assumed to share fleet-wide limits before assumedUntil, when some may not be known yet.
	assumedShares int
	assumedUntil  time.Time
	active        activeSet
	mover         *mover
	draining      bool
}

func newState(self kctport.EntryRecord) *state {
	return &state{
		lapseTime: lapseHeartbeats * defaultHeartbeat,
		self:      self, records: map[string]*record{}, moveRecords: map[string]*record{}, lapsed: map[string]*record{},
		tombstones: map[string]tombstone{}, lastPresent: map[kctport.InstanceID]time.Time{},
		members: newMembers(self.ID), active: newActiveSet(), mover: newMover(self.ID),
	}
}

// assumeShares assumes a number of entries that share fleet-wide limits for the time after the start, when some may not be known yet.
func (s *state) assumeShares(shares int, now time.Time) {
	s.assumedShares, s.assumedUntil = shares, now.Add(limitShareRetention)
}

// contact is a reply of the store to this entry or to the reader that it follows.
type contact struct {
	// changes is when the store's changes were received, reply when the store answered at all.
	changes time.Time
	reply   time.Time
	// steadySince is since when the store has answered without interruption.
	steadySince time.Time
}

// ownContact returns the contact of a call of this entry that was answered now; withChanges is set for a watch or a reading, which also bring the store's changes.
func (s *state) ownContact(now time.Time, withChanges bool) contact {
	if s.ownSince.IsZero() || now.Sub(s.ownReply) >= s.lapseTime {
		s.ownSince = now
	}
	s.ownReply = now
	c := contact{changes: s.lastContact, reply: now, steadySince: s.ownSince}
	if withChanges {
		c.changes = now
	}
	return c
}

// recordReply records an answer of the store to this entry that brings no changes.
func (s *state) recordReply(now time.Time) []event {
	c := s.ownContact(now, false)
	if s.lastContact.IsZero() {
		return nil
	}
	return s.recordContact(now, c)
}

// recordContact records a contact with the store.
func (s *state) recordContact(now time.Time, c contact) []event {
	e := event{message: "store reachable"}
	wasUnreachable := s.storeUnreachable
	silence := c.reply.Sub(s.lastReply)
	switch {
	case s.lastContact.IsZero():
		s.steadySince, wasUnreachable = c.steadySince, true
	case s.storeUnreachable:
		s.reconnectedAt = now
		e.detail = fmt.Sprintf("last reply %v before", silence.Round(time.Millisecond))
	case silence >= s.lapseTime:
		// No call failed in that time, as in a process that was stopped.
		s.steadySince = c.steadySince
	}
	s.storeUnreachable = false
	s.lastContact, s.lastReply = latest(s.lastContact, c.changes), latest(s.lastReply, c.reply)
	if !s.reconnectedAt.IsZero() {
		s.resolveInterruption(c.steadySince)
	}
	if !wasUnreachable {
		return nil
	}
	return []event{e}
}

// resolveInterruption decides whether records may have expired while the source was without contact. They can't when another source was in contact
// by then, or so soon after that a live endpoint would have renewed its record in time: then only the former source had lost the store.
func (s *state) resolveInterruption(steadySince time.Time) {
	if steadySince.Sub(s.interruptedAt) >= s.lapseTime {
		s.steadySince = s.reconnectedAt
		return
	}
	s.reconnectedAt = time.Time{}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordOutage records that the store is unreachable; only the first of consecutive failures is logged.
func (s *state) recordOutage(now time.Time, detail string) []event {
	if s.storeUnreachable {
		return nil
	}
	if !s.inLapseGrace(now) {
		s.interruptedAt = s.lastReply
	}
	s.storeUnreachable = true
	return []event{{message: "store unreachable", detail: detail}}
}

// inLapseGrace reports whether a deletion may come from an outage of the store, which lets leases expire.
func (s *state) inLapseGrace(now time.Time) bool {
	return s.storeUnreachable || !s.reconnectedAt.IsZero() && now.Before(s.reconnectedAt.Add(lapseGrace))
}

// applyFull replaces all records by a complete reading as of a revision, 0 for an unknown one; older records missing from it are deleted.
func (s *state) applyFull(now time.Time, changes []kctport.RegistryChange, revision kctport.StoreRevision) []event {
	var events []event
	present := make(map[string]bool, len(changes))
	for _, c := range changes {
		present[c.Key] = true
		events = append(events, s.apply(now, c)...)
	}
	for key, r := range s.records {
		if present[key] || !r.missingSince.IsZero() || revision > 0 && r.Revision > revision {
			continue
		}
		deletion := kctport.RegistryChange{Kind: r.Kind, Key: key, Zone: r.Zone, Revision: max(r.Revision, revision), Deleted: true}
		events = append(events, s.apply(now, deletion)...)
		if revision == 0 {
			// The record may be newer than the reading, so that it may come back unchanged.
			r.removal = 0
			delete(s.tombstones, key)
		}
	}
	s.revision = max(s.revision, revision)
	return events
}

// apply applies one change; an older revision of a key never replaces a newer one.
func (s *state) apply(now time.Time, c kctport.RegistryChange) []event {
	if c.Kind == kctport.RecordOther {
		return nil
	}
	if c.Kind == kctport.RecordRules {
		return s.adoptRules(now, c)
	}
	old := s.records[c.Key]
	if c.Deleted {
		return s.removeRecord(now, old, c)
	}
	if old != nil && old.isNewer(c) || old == nil && c.Revision <= s.tombstones[c.Key].removal {
		return nil
	}
	delete(s.tombstones, c.Key)
	r := &record{RegistryChange: c, readAt: now}
	s.records[c.Key] = r
	delete(s.lapsed, c.Key)
	if c.Kind == kctport.RecordMove || c.Kind == kctport.RecordProgress {
		s.moveRecords[c.Key] = r
	}
	s.outbox = append(s.outbox, c)
	return []event{changeEvent(old, c)}
}

// adoptRules puts rules in force if their version is newer than the one in force.
func (s *state) adoptRules(now time.Time, c kctport.RegistryChange) []event {
	if c.Rules == nil {
		return []event{{message: "rules unusable", key: c.Key, detail: c.Problem}}
	}
	if s.rules != nil && c.Rules.Version <= s.rules.Version {
		return nil
	}
	s.rules, s.table, s.rulesChange = c.Rules, kctroutetable.NewTable(c.Rules), c
	s.outbox = append(s.outbox, c)
	detail := fmt.Sprintf("from %s, store age %v", s.source, storeAge(now, s.lastContact).Round(time.Millisecond))
	return []event{{message: "rules adopted", key: c.Key, version: c.Rules.Version, detail: detail}}
}

func (s *state) removeRecord(now time.Time, old *record, c kctport.RegistryChange) []event {
	if old == nil {
		s.addTombstone(now, c.Key, c.Revision)
		return nil
	}
	if c.Revision < old.Revision {
		return nil
	}
	if c.Kind == kctport.RecordEndpoint && s.inLapseGrace(now) {
		old.removal = max(old.removal, c.Revision)
		if !old.missingSince.IsZero() {
			return nil
		}
		old.missingSince = now
		s.lapsed[c.Key] = old
		s.outbox = append(s.outbox, c)
		return []event{{message: "record lapsed during an outage of the store", key: c.Key}}
	}
	s.outbox = append(s.outbox, c)
	s.drop(now, c.Key, c.Revision)
	return []event{{message: "record gone", key: c.Key}}
}

// drop removes a record for good.
func (s *state) drop(now time.Time, key string, removal kctport.StoreRevision) {
	delete(s.records, key)
	delete(s.moveRecords, key)
	delete(s.lapsed, key)
	s.addTombstone(now, key, removal)
}

// addTombstone records the revision of a removal.
func (s *state) addTombstone(now time.Time, key string, removal kctport.StoreRevision) {
	s.tombstones[key] = tombstone{removal: max(removal, s.tombstones[key].removal), at: now}
}

// expire removes lapsed records that were not registered again after an outage, and members, limit shares and tombstones whose retention has ended.
func (s *state) expire(now time.Time) []event {
	var events []event
	for key, r := range s.lapsed {
		if !s.inLapseGrace(now) {
			s.drop(now, key, max(r.Revision, r.removal))
			s.outbox = append(s.outbox, kctport.RegistryChange{Kind: r.Kind, Key: key, Revision: max(r.Revision, r.removal), Deleted: true})
			events = append(events, event{message: "record gone", key: key, detail: "not registered again after the outage of the store"})
		}
	}
	if now.Sub(s.tombstonesChecked) > tombstoneRetention/2 {
		s.tombstonesChecked = now
		for key, t := range s.tombstones {
			if now.Sub(t.at) > tombstoneRetention {
				delete(s.tombstones, key)
			}
		}
	}
	for id, at := range s.lastPresent {
		if now.Sub(at) > limitShareRetention {
			delete(s.lastPresent, id)
		}
	}
	return append(events, s.members.expire(now)...)
}

// fleet builds the fleet state for traffic.
func (s *state) fleet(now time.Time) *kctport.Fleet {
	f := &kctport.Fleet{
		Rules: s.rules, Endpoints: map[kctport.ServiceName][]*kctport.FleetEndpoint{}, LastContact: s.lastContact, Draining: s.draining, Lapsed: len(s.lapsed),
	}
	if s.table != nil {
		f.Table = s.table
	}
	outOfService := s.zonesOutOfService()
	f.Moves = s.moveShares(now)
	for _, r := range s.records {
		if r.Endpoint == nil || r.Endpoint.Leaving || outOfService[r.Endpoint.Zone] {
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
	f.Active = s.active.choose(f.Entries)
	f.ActiveShares = s.activeShares(f, now)
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
// until recently. An entry that isn't active itself takes a smaller share.
func (s *state) activeShares(f *kctport.Fleet, now time.Time) int {
	if slices.ContainsFunc(f.Active, func(e kctport.EntryRecord) bool { return e.ID == s.self.ID }) {
		active := len(f.Active) + 1
		if now.Before(s.assumedUntil) {
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

// readers lists the entries that read the store for their zones, sorted by zone.
func (s *state) readers() []kctport.EntryRecord {
	var readers []kctport.EntryRecord
	for _, r := range s.records {
		if r.Reader != nil {
			readers = append(readers, *r.Reader)
		}
	}
	slices.SortFunc(readers, func(a, b kctport.EntryRecord) int { return cmp.Compare(a.Zone, b.Zone) })
	return readers
}

// endpoint returns the endpoint's own record with the end of its cold period.
func (r *record) endpoint() *kctport.FleetEndpoint {
	f := &kctport.FleetEndpoint{EndpointRecord: *r.Endpoint}
	if r.Endpoint.ColdRemaining > 0 {
		f.ColdUntil = r.readAt.Add(r.Endpoint.ColdRemaining)
	}
	return f
}
