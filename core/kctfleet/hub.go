package kctfleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
)

// heartbeatInterval is how often subscribers get an update when nothing changes.
const heartbeatInterval = 400 * time.Millisecond

// ageTolerance is how much younger the state must have become for an update of its own; the ages that feeds tell vary by their round trips.
const ageTolerance = 50 * time.Millisecond

// subscription is one subscriber's feed; only the control goroutine sends on and closes updates while it runs.
type subscription struct {
	controller *Controller
	// updates holds the one pending update.
	updates chan kctport.FeedUpdate
	entry   kctport.EntryRecord
	ended   bool
	// sentFull is set once the subscriber has been sent a full update.
	sentFull bool
}

var _ kctport.FeedSource = (*Controller)(nil)

// Subscribe registers an entry; it gets a full update as soon as this entry has received the store's state.
func (c *Controller) Subscribe(ctx context.Context, entry kctport.EntryRecord) kctport.FeedSubscription {
	u := &subscription{controller: c, updates: make(chan kctport.FeedUpdate, 1), entry: entry}
	registered := c.update(ctx, func(s *state, now time.Time) []event {
		c.subscribers[u] = true
		u.enqueue(c.firstUpdate(s, u, now))
		s.members.set(kctport.FeedMember{Origin: s.self.ID, Entry: entry})
		return []event{{message: "entry subscribed", key: string(entry.ID), detail: fmt.Sprintf("this entry watches the store: %t", s.contact.own.watching)}}
	})
	if !registered {
		u.closeOnce()
	}
	return u
}

// Updates is closed when the subscription ends.
func (u *subscription) Updates() <-chan kctport.FeedUpdate {
	return u.updates
}

// Heartbeat stores the subscriber's current record and takes its suspicions.
func (u *subscription) Heartbeat(ctx context.Context, heartbeat kctport.FeedHeartbeat) {
	entry := heartbeat.Entry
	u.controller.update(ctx, func(s *state, now time.Time) []event {
		events := u.controller.mergeReports(s, now, nil, heartbeat.Suspicions, heartbeat.Moves)
		if u.ended || !s.members.set(kctport.FeedMember{Origin: s.self.ID, Entry: entry}) {
			return events
		}
		if entry.Leaving != u.entry.Leaving {
			u.entry = entry
			return append(events, event{message: "entry leaving", key: string(entry.ID)})
		}
		u.entry = entry
		return append(events, event{})
	})
}

// End removes the subscriber; an entry that has meanwhile subscribed again stays a member.
func (u *subscription) End(ctx context.Context) {
	if u.controller.update(ctx, func(s *state, _ time.Time) []event { return u.controller.endSubscription(s, u) }) {
		return
	}
	select {
	case <-u.controller.stopped:
		// The control goroutine, which otherwise owns the channel, has ended.
		u.closeOnce()
	default:
	}
}

func (u *subscription) closeOnce() {
	if !u.ended {
		u.ended = true
		close(u.updates)
	}
}

// endSubscription closes a subscription; it runs on the control goroutine.
func (c *Controller) endSubscription(s *state, u *subscription) []event {
	if u.ended {
		return nil
	}
	u.closeOnce()
	delete(c.subscribers, u)
	for other := range c.subscribers {
		if other.entry.ID == u.entry.ID {
			return nil
		}
	}
	s.members.set(kctport.FeedMember{Origin: s.self.ID, Entry: u.entry, Unsubscribed: true})
	return []event{{message: "entry unsubscribed", key: string(u.entry.ID)}}
}

// Contact returns this entry's contact with the store, for an entry that looks for one to follow.
func (c *Controller) Contact(ctx context.Context) kctport.StoreContact {
	answer := make(chan kctport.StoreContact, 1)
	if c.update(ctx, func(s *state, now time.Time) []event {
		answer <- s.contact.report(now)
		return nil
	}) {
		// An update that panics gives no answer.
		select {
		case contact := <-answer:
			return contact
		case <-ctx.Done():
		case <-c.stopped:
		}
	}
	return kctport.StoreContact{Age: storeAge(time.Time{}, time.Time{}), Silence: storeAge(time.Time{}, time.Time{})}
}

// firstUpdate returns a full update, or only the contact with the store while this entry has no state to send.
func (c *Controller) firstUpdate(s *state, u *subscription, now time.Time) kctport.FeedUpdate {
	if s.contact.complete.IsZero() {
		return kctport.FeedUpdate{Store: s.contact.report(now), Made: now, Suspicions: c.suspicions.Suspicions(), Moves: s.mover.stopReports()}
	}
	u.sentFull = true
	f := s.fullState(now)
	f.Suspicions, f.Moves = c.suspicions.Suspicions(), s.mover.stopReports()
	return f
}

// fullState returns all records and members.
func (s *state) fullState(now time.Time) kctport.FeedUpdate {
	f := kctport.FeedUpdate{Full: true, Members: s.members.fullState(), Store: s.contact.report(now), Made: now}
	if s.rules != nil {
		f.Changes = append(f.Changes, s.rulesChange)
	}
	for _, r := range s.records {
		f.Changes = append(f.Changes, r.RegistryChange)
	}
	return f
}

// broadcast sends subscribers what has changed, or a heartbeat when one is due.
func (c *Controller) broadcast(s *state, now time.Time) {
	recordChanges, memberChanges, suspicions, stops := s.outbox, s.members.outbox, s.suspicionOutbox, s.stopOutbox
	s.outbox, s.members.outbox, s.suspicionOutbox, s.stopOutbox = nil, nil, nil, nil
	contact := s.contact.report(now)
	// A watch that returns makes the state of all that depend on it younger, so that it isn't left to the next heartbeat.
	isNews := contact.Watcher != c.sentWatcher || contact.Watcher != "" && now.Add(-contact.Age).Sub(c.sentComplete) > ageTolerance
	due := !now.Before(c.nextHeartbeat) || isNews
	if len(recordChanges) == 0 && len(memberChanges) == 0 && len(suspicions) == 0 && len(stops) == 0 && !due {
		return
	}
	c.nextHeartbeat, c.sentWatcher, c.sentComplete = now.Add(heartbeatInterval), contact.Watcher, now.Add(-contact.Age)
	f := kctport.FeedUpdate{Changes: recordChanges, Members: memberChanges, Suspicions: suspicions, Moves: stops, Store: contact, Made: now}
	for u := range c.subscribers {
		g := f
		if !u.sentFull {
			g = c.firstUpdate(s, u, now)
		}
		u.enqueue(g)
	}
}

// enqueue merges an update into the subscriber's pending one, so that a slow subscriber gets the newest records late instead of each of their
// versions, later still. Only the control goroutine calls it, so that the channel always has room.
func (u *subscription) enqueue(f kctport.FeedUpdate) {
	select {
	case pending := <-u.updates:
		f = mergeUpdates(pending, f)
	default:
	}
	u.updates <- f
}

// mergeUpdates merges two consecutive updates into one.
func mergeUpdates(old, next kctport.FeedUpdate) kctport.FeedUpdate {
	if next.Full {
		return next
	}
	supersededKeys := make(map[string]bool, len(next.Changes))
	for _, c := range next.Changes {
		supersededKeys[c.Key] = true
	}
	type member struct{ origin, entry kctport.InstanceID }
	superseded := make(map[member]bool, len(next.Members))
	for _, m := range next.Members {
		superseded[member{m.Origin, m.Entry.ID}] = true
	}
	f := next
	f.Full, f.Changes, f.Members = old.Full, nil, nil
	f.Suspicions, f.Moves = lastOf(slices.Concat(old.Suspicions, next.Suspicions)), lastOf(slices.Concat(old.Moves, next.Moves))
	for _, c := range old.Changes {
		if !supersededKeys[c.Key] {
			f.Changes = append(f.Changes, c)
		}
	}
	for _, m := range old.Members {
		if !superseded[member{m.Origin, m.Entry.ID}] {
			f.Members = append(f.Members, m)
		}
	}
	f.Changes = append(f.Changes, next.Changes...)
	f.Members = append(f.Members, next.Members...)
	return f
}
