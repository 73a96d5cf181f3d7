package kctfleet

import (
	"context"
	"time"

	kctport "kingcupturn"
)

// feedInterval is how often subscribers hear from this entry when nothing changes.
const feedInterval = 400 * time.Millisecond

// subscription is one subscriber; the control goroutine alone sends and closes.
type subscription struct {
	control *Controller
	// updates holds the one update that waits for the subscriber.
	updates chan kctport.FeedUpdate
	entry   kctport.EntryRecord
	ended   bool
	// told is set once the subscriber has the full picture.
	told bool
}

var _ kctport.FeedSource = (*Controller)(nil)

// Subscribe registers an entry; it gets the full picture as soon as this entry has one.
func (c *Controller) Subscribe(ctx context.Context, entry kctport.EntryRecord) kctport.FeedSubscription {
	u := &subscription{control: c, updates: make(chan kctport.FeedUpdate, 1), entry: entry}
	registered := c.update(ctx, func(s *state, now time.Time) []event {
		c.subscribers[u] = true
		u.offer(u.first(s, now))
		s.members.set(kctport.FeedMember{Origin: s.self.ID, Entry: entry})
		return []event{{what: "entry subscribed", key: string(entry.ID)}}
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

// Heartbeat takes the subscriber's current record.
func (u *subscription) Heartbeat(ctx context.Context, entry kctport.EntryRecord) {
	u.control.update(ctx, func(s *state, _ time.Time) []event {
		if u.ended || !s.members.set(kctport.FeedMember{Origin: s.self.ID, Entry: entry}) {
			return nil
		}
		if entry.Leaving != u.entry.Leaving {
			u.entry = entry
			return []event{{what: "entry leaving", key: string(entry.ID)}}
		}
		u.entry = entry
		return []event{{}}
	})
}

// End removes the subscriber; an entry that has subscribed again meanwhile stays a member.
func (u *subscription) End(ctx context.Context) {
	if u.control.update(ctx, func(s *state, _ time.Time) []event { return u.control.end(s, u) }) {
		return
	}
	select {
	case <-u.control.stopped:
		// The control goroutine, which alone sends and closes otherwise, has ended.
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

// end closes a subscription on the control goroutine.
func (c *Controller) end(s *state, u *subscription) []event {
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
	return []event{{what: "entry unsubscribed", key: string(u.entry.ID)}}
}

// first is the full picture, or while this entry has none the news that it doesn't reach the store.
func (u *subscription) first(s *state, now time.Time) kctport.FeedUpdate {
	if s.contact.IsZero() {
		return kctport.FeedUpdate{StoreUnreachable: true, StoreAge: s.age(now)}
	}
	u.told = true
	return s.full(now)
}

// full is the first update of a subscriber.
func (s *state) full(now time.Time) kctport.FeedUpdate {
	f := kctport.FeedUpdate{Full: true, StoreUnreachable: s.away, StoreAge: s.age(now), Members: s.members.full()}
	if s.rules != nil {
		f.Changes = append(f.Changes, s.rulesChange)
	}
	for _, r := range s.records {
		f.Changes = append(f.Changes, r.RegistryChange)
	}
	return f
}

// age is the time since the store was last heard; a long time when it never was.
func (s *state) age(now time.Time) time.Duration {
	if s.contact.IsZero() {
		return time.Hour
	}
	return now.Sub(s.contact)
}

// broadcast tells subscribers what has changed, or at a beat that nothing has.
func (c *Controller) broadcast(s *state, now time.Time) {
	changes, news := s.outbox, s.members.outbox
	s.outbox, s.members.outbox = nil, nil
	due := !now.Before(c.nextBeat) || s.away != c.toldAway
	if len(changes) == 0 && len(news) == 0 && !due {
		return
	}
	c.nextBeat, c.toldAway = now.Add(feedInterval), s.away
	f := kctport.FeedUpdate{Changes: changes, Members: news, StoreUnreachable: s.away, StoreAge: s.age(now)}
	for u := range c.subscribers {
		g := f
		if !u.told {
			g = u.first(s, now)
		}
		u.offer(g)
	}
}

// offer leaves an update for the subscriber, together with the one that still waits: a slow subscriber gets the newest records late,
// not all of their versions later still. The control goroutine alone calls it, so that there is always room.
func (u *subscription) offer(f kctport.FeedUpdate) {
	select {
	case waiting := <-u.updates:
		f = combine(waiting, f)
	default:
	}
	u.updates <- f
}

// combine makes one update of two that follow each other.
func combine(old, next kctport.FeedUpdate) kctport.FeedUpdate {
	if next.Full {
		return next
	}
	changed := make(map[string]bool, len(next.Changes))
	for _, c := range next.Changes {
		changed[c.Key] = true
	}
	type member struct{ origin, entry kctport.InstanceID }
	known := make(map[member]bool, len(next.Members))
	for _, m := range next.Members {
		known[member{m.Origin, m.Entry.ID}] = true
	}
	f := kctport.FeedUpdate{Full: old.Full, StoreUnreachable: next.StoreUnreachable, StoreAge: next.StoreAge}
	for _, c := range old.Changes {
		if !changed[c.Key] {
			f.Changes = append(f.Changes, c)
		}
	}
	for _, m := range old.Members {
		if !known[member{m.Origin, m.Entry.ID}] {
			f.Members = append(f.Members, m)
		}
	}
	f.Changes = append(f.Changes, next.Changes...)
	f.Members = append(f.Members, next.Members...)
	return f
}
