package kctfleet

import (
	"fmt"
	"time"

	kctport "kingcupturn"
)

const (
	// maxHops is the number of feeds over which a watcher's observation still counts as contact with the store: one to a reader that has lost the store
	// itself, and one to that reader's subscribers. It also ends what circulates between entries that follow each other.
	maxHops = 2
	// ageReserve is the part of the greatest age of the state that is kept for the way of an observation over feeds.
	ageReserve = 100 * time.Millisecond
	// lapseGrace keeps records that disappeared during an outage of the store, or that it lacks when it comes back from an older copy: live endpoints
	// register again within about 2 s of its return.
	lapseGrace = 2200 * time.Millisecond
	// defaultHeartbeat is how often endpoints write their records.
	defaultHeartbeat = 1200 * time.Millisecond
	// lapseHeartbeats is the least number of heartbeats that a live endpoint must miss before its record expires: records expire after three
	// heartbeats of silence, and the last write can be one heartbeat old when an outage begins.
	lapseHeartbeats = 2
	// expiryHeartbeats is the number of heartbeats after which the record of an endpoint that is gone has surely expired, and its removal is known.
	expiryHeartbeats = 4
)

// observation is what an entry that watches the store has seen of it. Passed on over a feed its times stay, so that it only grows older.
type observation struct {
	// watcher is the entry that watches the store, and hops the number of feeds from it to this entry.
	watcher kctport.InstanceID
	hops    int
	// complete is the time up to which the watcher has all changes, and revision the store's revision then.
	complete time.Time
	revision kctport.StoreRevision
	// reply is when the store last answered the watcher at all.
	reply time.Time
	// steadySince is the start of the watcher's contact without an interruption that could let records expire.
	steadySince time.Time
}

// observed converts what a feed says on its arrival.
func observed(now time.Time, c kctport.StoreContact) observation {
	return observation{
		watcher: c.Watcher, hops: c.Hops + 1, complete: now.Add(-c.Age), revision: c.Revision, reply: now.Add(-c.Silence), steadySince: now.Add(-c.Steady),
	}
}

// ownCalls is what this entry's own calls of the store show.
type ownCalls struct {
	// watching is set while this entry watches the store from a complete reading on, and failing after a call without an answer.
	watching, failing bool
	// since is the start of the answers without a failed call, zero after one, reply the last answer, and complete the last one that brought changes.
	since, reply, complete time.Time
}

// storeContact is all that an entry knows of its contact with the store; the control goroutine owns it. The entry is in contact while somebody who
// watches the store, itself or an entry at most maxHops feeds away, has all changes up to less than maxAge ago.
type storeContact struct {
	self   kctport.InstanceID
	maxAge time.Duration
	// heartbeat is how often endpoints write their records, and lapseTime the shortest outage of the store in which the record of a live endpoint can expire.
	heartbeat, lapseTime time.Duration
	own                  ownCalls
	// feeds holds the last observation of each feed that this entry follows.
	feeds map[*link]observation
	// complete is the time up to which all changes have been applied, and revision the store's revision then, zero while it is not known.
	complete time.Time
	revision kctport.StoreRevision
	// heard is when the store last answered anybody, as far as this entry knows.
	heard time.Time
	// lostSince is when contact was lost, zero while there is contact, and cause is why, for the log.
	lostSince time.Time
	cause     string
	// steadySince is the start of the contact without interruption. Between interruptedAt and reconnectedAt nobody is known to have reached the
	// store for so long that records may have expired; reconnectedAt is zero when there is no such time.
	steadySince, interruptedAt, reconnectedAt time.Time
	// restoredAt is when the store was first found to have come back from an older copy.
	restoredAt time.Time
}

func newStoreContact(self kctport.InstanceID, maxAge, heartbeat time.Duration, now time.Time) storeContact {
	return storeContact{self: self, maxAge: maxAge, heartbeat: heartbeat, lapseTime: lapseHeartbeats * heartbeat, feeds: map[*link]observation{}, lostSince: now, cause: "no source yet"}
}

// best returns the observation with the fewest hops that shows contact with the store.
func (c *storeContact) best(now time.Time) (observation, bool) {
	if o, ok := c.ownObservation(now); ok {
		return o, true
	}
	var best observation
	for _, o := range c.feeds {
		if c.isContact(o, now) && (best.watcher == "" || o.hops < best.hops || o.hops == best.hops && o.complete.After(best.complete)) {
			best = o
		}
	}
	return best, best.watcher != ""
}

// ownObservation returns what this entry sees as a watcher.
func (c *storeContact) ownObservation(now time.Time) (observation, bool) {
	o := observation{watcher: c.self, complete: c.own.complete, revision: c.revision, reply: c.own.reply, steadySince: c.own.since}
	return o, c.own.watching && !c.own.failing && now.Sub(o.complete) <= c.maxAge
}

// isContact reports whether the observation of a feed shows contact with the store; one of a former era says nothing of the store as it is now.
func (c *storeContact) isContact(o observation, now time.Time) bool {
	return o.watcher != "" && o.watcher != c.self && o.hops <= maxHops && now.Sub(o.complete) <= c.maxAge && o.revision.Era >= c.revision.Era
}

// inContact reports whether the state is known to be complete up to less than maxAge ago.
func (c *storeContact) inContact() bool {
	return c.lostSince.IsZero()
}

// ownReply records an answer to a call of this entry; it shows that the store is there, but not what has changed.
func (c *storeContact) ownReply(now time.Time) {
	if c.own.since.IsZero() || now.Sub(c.own.reply) >= c.lapseTime {
		c.own.since = now
	}
	c.own.reply, c.own.failing = now, false
	if !c.inContact() && c.own.since.Sub(c.interruptedAt) < c.lapseTime {
		// Nobody watches the store, but it has not been out long enough for records to expire.
		c.interruptedAt = now
	}
	if !c.inContact() {
		c.heard = latest(c.heard, now)
	}
}

// ownChanges records an answer that brought all changes up to a revision.
func (c *storeContact) ownChanges(now time.Time, revision kctport.StoreRevision) {
	c.ownReply(now)
	c.own.complete, c.complete = now, now
	c.advance(now, revision)
}

// advance records a revision that the store has reached.
func (c *storeContact) advance(now time.Time, revision kctport.StoreRevision) {
	if !c.revision.IsZero() && revision.Era > c.revision.Era {
		c.restoredAt = now
	}
	c.revision = kctport.LatestRevision(c.revision, revision)
}

// ownFailure records a call of this entry that was not answered.
func (c *storeContact) ownFailure(cause string) {
	c.own.since, c.own.failing, c.cause = time.Time{}, true, cause
}

// setWatching records that this entry begins to watch the store from a complete reading on, or that it no longer does.
func (c *storeContact) setWatching(watching bool) {
	if c.own.watching = watching; !watching {
		c.cause = "this entry no longer watches the store"
	}
}

// feedUpdate records what a feed says of the store.
func (c *storeContact) feedUpdate(feed *link, o observation) {
	if old := c.feeds[feed]; old.watcher == o.watcher {
		// What was complete once stays so; the delay of an update is an upper bound.
		o.complete, o.reply = latest(old.complete, o.complete), latest(old.reply, o.reply)
	}
	c.feeds[feed] = o
	if o.watcher == "" {
		c.cause = "the entry that is followed has no contact with the store"
	}
}

// feedEnded forgets a feed.
func (c *storeContact) feedEnded(feed *link) {
	delete(c.feeds, feed)
	c.cause = "a feed ended"
}

// assess draws the conclusions from all observations and returns the changes of contact for the log.
func (c *storeContact) assess(now time.Time) []event {
	best, ok := c.best(now)
	if !ok {
		return c.lose(now)
	}
	for _, o := range c.feeds {
		if c.isContact(o, now) {
			best.steadySince = earliest(best.steadySince, o.steadySince)
		}
	}
	events := c.gain(now, best)
	for _, o := range c.feeds {
		if c.isContact(o, now) {
			c.record(now, o)
		}
	}
	c.record(now, best)
	if !c.reconnectedAt.IsZero() {
		c.resolveInterruption(best.steadySince)
	}
	return events
}

// record records up to when the store is known to have answered and the state to be complete.
func (c *storeContact) record(now time.Time, o observation) {
	c.complete, c.heard = latest(c.complete, o.complete), latest(c.heard, o.reply)
	c.advance(now, o.revision)
}

// lose records the loss of contact.
func (c *storeContact) lose(now time.Time) []event {
	for _, o := range c.feeds {
		c.heard = latest(c.heard, o.reply)
	}
	if c.steadySince.IsZero() {
		// Before the first contact it counts when those that this entry asked last heard from the store.
		c.interruptedAt = c.heard
	}
	if !c.inContact() {
		return nil
	}
	if !c.inLapseGrace(now) {
		c.interruptedAt = c.heard
	}
	c.lostSince = now
	age := fmt.Sprintf(", age of the state %v", storeAge(now, c.complete).Round(time.Millisecond))
	return []event{{message: "store unreachable", detail: c.cause + age}}
}

// gain records contact; the first one after a loss is logged.
func (c *storeContact) gain(now time.Time, o observation) []event {
	silence := o.reply.Sub(c.heard)
	if c.inContact() {
		if silence >= c.lapseTime {
			// No call failed in that time, as in a process that was stopped.
			c.steadySince = o.steadySince
		}
		return nil
	}
	if c.steadySince.IsZero() {
		c.steadySince = o.steadySince
	}
	c.reconnectedAt = now
	c.lostSince = time.Time{}
	return []event{{message: "store reachable", detail: fmt.Sprintf("watched by %s, %d feeds away, last reply %v before", o.watcher, o.hops, silence.Round(time.Millisecond))}}
}

// resolveInterruption decides whether records may have expired while there was no contact. They can't when somebody was in contact by then, or so
// soon after that a live endpoint would have renewed its record in time: then only the former source had lost the store.
func (c *storeContact) resolveInterruption(steadySince time.Time) {
	if !c.interruptedAt.IsZero() && steadySince.Sub(c.interruptedAt) >= c.lapseTime {
		c.steadySince = c.reconnectedAt
		return
	}
	c.reconnectedAt = time.Time{}
}

// inLapseGrace reports whether a deletion may come from an outage of the store, which lets leases expire, or from its return.
func (c *storeContact) inLapseGrace(now time.Time) bool {
	return !c.inContact() || !c.reconnectedAt.IsZero() && now.Before(c.reconnectedAt.Add(lapseGrace)) || c.inRestoreGrace(now)
}

// inRestoreGrace reports whether a record may be missing because the store has just come back from an older copy; its writer writes it again.
func (c *storeContact) inRestoreGrace(now time.Time) bool {
	return !c.restoredAt.IsZero() && now.Before(c.restoredAt.Add(lapseGrace))
}

// report returns what this entry's feed says of the store.
func (c *storeContact) report(now time.Time) kctport.StoreContact {
	o, ok := c.best(now)
	if !ok {
		return kctport.StoreContact{Age: storeAge(now, c.complete), Silence: storeAge(now, c.heard), Revision: c.revision}
	}
	return kctport.StoreContact{
		Watcher: o.watcher, Hops: o.hops, Age: storeAge(now, o.complete), Silence: storeAge(now, o.reply), Steady: c.steady(now), Revision: c.revision,
	}
}

// steady returns the time since the contact with the store was last interrupted.
func (c *storeContact) steady(now time.Time) time.Duration {
	if !c.inContact() || c.steadySince.IsZero() {
		return 0
	}
	return now.Sub(c.steadySince)
}

// storeAge returns the time since a contact with the store, an hour without any.
func storeAge(now, contact time.Time) time.Duration {
	if contact.IsZero() {
		return time.Hour
	}
	return now.Sub(contact)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
