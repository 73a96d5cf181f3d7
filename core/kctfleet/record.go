package kctfleet

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctroutetable"
)

// tombstoneRetention is longer than an entry with an old state stays in use.
const tombstoneRetention = 5 * time.Minute

// record is a key of the store as last received.
type record struct {
	kctport.RegistryChange
	// readAt is when the record was read.
	readAt time.Time
	// missingSince is when the key was reported deleted during an outage, and removal the revision of that; zero while it is present.
	missingSince time.Time
	removal      kctport.StoreRevision
	// doubtfulUntil is the time until which the record isn't used, since it may only have been brought back by an older copy of the store.
	doubtfulUntil time.Time
	// unsaved is set for the progress of a move that the store lacks since it came back from an older copy.
	unsaved bool
}

// isNewer reports whether the record, or its removal, is newer than a change; a record that is missing may come back unchanged.
func (r *record) isNewer(c kctport.RegistryChange) bool {
	return c.Revision.Before(r.Revision) || c.Revision == r.Revision && r.missingSince.IsZero() || !r.removal.Before(c.Revision)
}

// keeps reports whether a record of a later era only shows that the copy from which the store has come back is older than what is known.
func (r *record) keeps(c kctport.RegistryChange) bool {
	if c.Revision.Era <= r.Revision.Era || !r.missingSince.IsZero() {
		return false
	}
	// An endpoint that has said that it leaves never takes that back; it may start again.
	left := r.Endpoint != nil && r.Endpoint.Leaving && c.Endpoint != nil && isIncarnation(c.Endpoint, r.Endpoint.Started)
	return left || r.isLaterProgress(c) || bytes.Equal(c.Value, r.Value)
}

// isLaterProgress reports whether the record is the progress of a move, and that of the copy is older.
func (r *record) isLaterProgress(c kctport.RegistryChange) bool {
	return r.Progress != nil && c.Progress != nil && r.Progress.ID == c.Progress.ID && c.Revision.Number < r.Revision.Number
}

// isIncarnation reports whether an endpoint's record is of the incarnation that started at a time; records without a start can't be told apart.
func isIncarnation(e *kctport.EndpointRecord, started time.Time) bool {
	return !started.IsZero() && e.Started.Equal(started)
}

// tombstone is a record that was removed.
type tombstone struct {
	// removal is the revision of the removal, or that of the complete reading which lacked the record.
	removal kctport.StoreRevision
	at      time.Time
	// started is the incarnation of an endpoint, and left is set when it had said that it leaves.
	started time.Time
	left    bool
}

// isReturn reports whether a record of a later era may be the one that was removed, from the copy from which the store has come back.
func (t tombstone) isReturn(c kctport.RegistryChange) bool {
	return c.Revision.Era > t.removal.Era && c.Revision.Number <= t.removal.Number && c.Endpoint != nil && isIncarnation(c.Endpoint, t.started)
}

// applyFull replaces all records by a complete reading as of a revision, zero for an unknown one; older records missing from it are deleted.
func (s *state) applyFull(now time.Time, changes []kctport.RegistryChange, revision kctport.StoreRevision) []event {
	var events []event
	present := make(map[string]bool, len(changes))
	s.readsAll = true
	for _, c := range changes {
		present[c.Key] = true
		events = append(events, s.apply(now, c)...)
	}
	s.readsAll = false
	for key, r := range s.records {
		if present[key] || !r.missingSince.IsZero() || !revision.IsZero() && revision.Before(r.Revision) {
			continue
		}
		deletion := kctport.RegistryChange{Kind: r.Kind, Key: key, Zone: r.Zone, Revision: kctport.LatestRevision(r.Revision, revision), Deleted: true}
		events = append(events, s.apply(now, deletion)...)
		if revision.IsZero() {
			// The record may be newer than the reading, so that it may come back unchanged.
			r.removal = kctport.StoreRevision{}
			delete(s.tombstones, key)
		}
	}
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
	if old != nil && old.isNewer(c) || old == nil && s.isRemoved(c) {
		return nil
	}
	if old != nil && old.keeps(c) {
		old.unsaved = old.unsaved || old.isLaterProgress(c)
		old.Revision = c.Revision
		return nil
	}
	s.recordRequest(now, old, c)
	r := &record{RegistryChange: c, readAt: now}
	if t, ok := s.tombstones[c.Key]; ok && t.isReturn(c) {
		// If the endpoint is gone, its record expires again.
		r.doubtfulUntil = now.Add(expiryHeartbeats * s.contact.heartbeat)
		s.doubtful[c.Key] = r
	}
	delete(s.tombstones, c.Key)
	s.records[c.Key] = r
	delete(s.lapsed, c.Key)
	if c.Kind == kctport.RecordMove || c.Kind == kctport.RecordProgress {
		s.moveRecords[c.Key] = r
	}
	s.outbox = append(s.outbox, c)
	return []event{changeEvent(old, c)}
}

// isRemoved reports whether the record was removed after the change, or for good.
func (s *state) isRemoved(c kctport.RegistryChange) bool {
	t, ok := s.tombstones[c.Key]
	return ok && (!t.removal.Before(c.Revision) || t.left && t.isReturn(c))
}

// adoptRules puts rules in force if their version is newer than the one in force.
func (s *state) adoptRules(now time.Time, c kctport.RegistryChange) []event {
	if c.Rules == nil {
		return []event{{message: "rules unusable", key: c.Key, detail: c.Problem}}
	}
	detail := fmt.Sprintf("from %s, revision %v, store age %v", s.source, c.Revision, storeAge(now, s.contact.complete).Round(time.Millisecond))
	if s.rules != nil && c.Rules.Version <= s.rules.Version {
		if c.Revision == s.rulesChange.Revision {
			return nil
		}
		return []event{{message: "rules not adopted", key: c.Key, version: c.Rules.Version, detail: detail + ", not newer than those in force"}}
	}
	s.rules, s.table, s.rulesChange = c.Rules, kctroutetable.NewTable(c.Rules), c
	s.outbox = append(s.outbox, c)
	return []event{{message: "rules adopted", key: c.Key, version: c.Rules.Version, detail: detail}}
}

func (s *state) removeRecord(now time.Time, old *record, c kctport.RegistryChange) []event {
	if old == nil {
		s.addTombstone(now, c.Key, c.Revision)
		return nil
	}
	if c.Revision.Before(old.Revision) {
		return nil
	}
	if s.mayReturn(now, c.Kind) {
		old.removal = kctport.LatestRevision(old.removal, c.Revision)
		if !old.missingSince.IsZero() {
			return nil
		}
		old.missingSince = now
		old.unsaved = old.Progress != nil
		s.lapsed[c.Key] = old
		s.outbox = append(s.outbox, c)
		return []event{{message: lapseMessage(s.contact.inRestoreGrace(now)), key: c.Key}}
	}
	s.outbox = append(s.outbox, c)
	s.drop(now, c.Key, c.Revision)
	return []event{{message: "record gone", key: c.Key}}
}

// mayReturn reports whether a record that is missing now may be written again soon: endpoints do so after an outage, and each writer of records that
// take effect after the store has come back from an older copy. The tier's own records, those of readers, follow the store.
func (s *state) mayReturn(now time.Time, kind kctport.RecordKind) bool {
	switch kind {
	case kctport.RecordEndpoint:
		return s.contact.inLapseGrace(now)
	case kctport.RecordZoneOut, kctport.RecordMove, kctport.RecordProgress:
		return s.contact.inRestoreGrace(now)
	}
	return false
}

func lapseMessage(isRestored bool) string {
	if isRestored {
		return "record missing in the older copy from which the store came back"
	}
	return "record lapsed during an outage of the store"
}

// drop removes a record for good.
func (s *state) drop(now time.Time, key string, removal kctport.StoreRevision) {
	if r := s.records[key]; r != nil && r.Endpoint != nil {
		s.tombstones[key] = tombstone{started: r.Endpoint.Started, left: r.Endpoint.Leaving}
	}
	delete(s.records, key)
	delete(s.moveRecords, key)
	delete(s.lapsed, key)
	s.addTombstone(now, key, removal)
}

// addTombstone records the revision of a removal.
func (s *state) addTombstone(now time.Time, key string, removal kctport.StoreRevision) {
	t := s.tombstones[key]
	t.removal, t.at = kctport.LatestRevision(removal, t.removal), now
	s.tombstones[key] = t
}

// expireRecords removes lapsed records that were not registered again after an outage, and tombstones whose retention has ended, and ends the doubt about
// records that have not expired.
func (s *state) expireRecords(now time.Time) []event {
	var events []event
	for key, r := range s.lapsed {
		if !s.contact.inLapseGrace(now) {
			s.drop(now, key, kctport.LatestRevision(r.Revision, r.removal))
			s.outbox = append(s.outbox, kctport.RegistryChange{Kind: r.Kind, Key: key, Revision: kctport.LatestRevision(r.Revision, r.removal), Deleted: true})
			events = append(events, event{message: "record gone", key: key, detail: "not written again after the return of the store"})
		}
	}
	for key, r := range s.doubtful {
		switch {
		case s.records[key] != r:
			delete(s.doubtful, key)
		case !now.Before(r.doubtfulUntil):
			delete(s.doubtful, key)
			events = append(events, event{message: "record still there", key: key, detail: "it was removed before the store came back from an older copy"})
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
	return events
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
