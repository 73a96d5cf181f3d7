package kctfleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// turnStep is how much later than the one before it each of the first entries of a zone calls the store without contact, and turnDelay that of the
	// others: a complete reading of a large store takes longer than turnStep, and only as many at once as the store can bear.
	turnStep   = 100 * time.Millisecond
	turnDelay  = 500 * time.Millisecond
	firstTurns = 4
)

// turn returns how long an entry leaves the store to those of its zone that come before it.
func turn(rank int) time.Duration {
	return time.Duration(min(rank, firstTurns-1))*turnStep + time.Duration(max(0, rank-firstTurns+1))*turnDelay
}

// rank returns how many entries of the zone come before this one when somebody has to call the store.
func (l *sourceLoop) rank() int {
	return slices.IndexFunc(l.zoneEntries(), func(e kctport.EntryRecord) bool { return e.ID == l.self.ID })
}

// zoneEntries lists the entries of this zone in the order in which they call the store, with those that failed recently last.
func (l *sourceLoop) zoneEntries() []kctport.EntryRecord {
	entries := []kctport.EntryRecord{l.self}
	for _, e := range l.Fleet().Entries {
		if e.Zone == l.self.Zone && e.ID != l.self.ID {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b kctport.EntryRecord) int {
		return cmp.Or(cmp.Compare(l.failedRank(a), l.failedRank(b)), cmp.Compare(idHash(a.ID), idHash(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return entries
}

// recordFailure records that an entry did not answer, or that its feed ended, and forgets older failures.
func (l *sourceLoop) recordFailure(id kctport.InstanceID) {
	now := l.timer.Now()
	maps.DeleteFunc(l.failures, func(_ kctport.InstanceID, at time.Time) bool { return now.Sub(at) >= failureRetention })
	l.failures[id] = now
}

// failedWithin reports whether an entry did not answer within the last time.
func (l *sourceLoop) failedWithin(e kctport.EntryRecord, last time.Duration) bool {
	at, ok := l.failures[e.ID]
	return ok && l.timer.Now().Sub(at) < last
}

func (l *sourceLoop) failedRank(e kctport.EntryRecord) int {
	if l.failedWithin(e, failureRetention) {
		return 1
	}
	return 0
}
