package kctfleet

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// leaseTime is how long a zone stays without a reader after it died; its subscribers use another zone's meanwhile.
	leaseTime = 3 * time.Second
	// renewInterval allows two failed renewals in a lease's time.
	renewInterval = 900 * time.Millisecond
	// revokeTimeout bounds the removal of the reader's record at the end of the process.
	revokeTimeout = 300 * time.Millisecond
	// startSpread keeps entries that start together from claiming a zone together; each attempt is two priced calls.
	startSpread = 400 * time.Millisecond
	// claimSpread does the same when a reader has vanished.
	claimSpread = 500 * time.Millisecond
	// claimInterval bounds the attempts of an entry that the store refuses.
	claimInterval = 3 * time.Second
	// quickTimeout bounds the first calls of an entry: it serves nobody until then, and a store that has just come back answers a new
	// call sooner than the one that was lost.
	quickTimeout = 400 * time.Millisecond
	// soloTime is how long an entry that reaches no reader follows the store itself before it looks for one again.
	soloTime = 3 * time.Second
	// awayPatience is how long a reader may be without the store before its subscribers look for a better one; rules must be in force
	// within 3 s.
	awayPatience = 1200 * time.Millisecond
	// failureMemory is how long a reader whose feed broke is tried last; its record stays in the store for as long.
	failureMemory = leaseTime
	// staleReader is how much older than this entry's picture a reader's may be to count as complete.
	staleReader = time.Second
	// surveyInterval is how often a subscriber looks at its situation.
	surveyInterval = 250 * time.Millisecond
)

// errLookElsewhere ends a feed that works when there is reason for another source.
var errLookElsewhere = errors.New("another source is wanted")

// source keeps this entry informed until the context ends: as its zone's reader, from a reader, or from the store alone.
func (c *Controller) source(ctx context.Context) {
	c.first(ctx)
	c.spread(ctx, startSpread)
	for ctx.Err() == nil {
		readers, err := c.knownReaders(ctx)
		if err == nil && c.vacant(readers) {
			c.claimed = c.timer.Now()
			if c.lead(ctx) {
				continue
			}
			// Another entry was faster.
			readers, err = c.knownReaders(ctx)
		}
		if c.subscribe(ctx, readers, err != nil) {
			continue
		}
		if err != nil {
			c.failed(ctx, err)
			continue
		}
		c.solo(ctx)
	}
}

// first reads the store once. An entry that starts serves nobody until it has a picture, and after a loss of power the readers in the
// store's records know no more than this entry. Without an answer in time the readers are tried, whose feeds are compressed.
func (c *Controller) first(ctx context.Context) {
	quick, cancel := context.WithTimeout(ctx, quickTimeout)
	defer cancel()
	l, err := c.registry.Load(quick)
	if err != nil {
		c.log.LogChange("store not read at the start", "", err.Error(), 0)
		return
	}
	c.loaded(ctx, l)
}

func (c *Controller) spread(ctx context.Context, most time.Duration) {
	c.pause(ctx, time.Duration(c.random.Int64N(int64(most))))
}

// knownReaders returns the readers as the store has them; when it is out of reach, those last heard.
func (c *Controller) knownReaders(ctx context.Context) ([]kctport.EntryRecord, error) {
	quick, cancel := context.WithTimeout(ctx, quickTimeout)
	defer cancel()
	readers, err := c.registry.Readers(quick)
	if err != nil {
		return *c.readers.Load(), err
	}
	return readers, nil
}

// vacant reports whether this entry's zone has no reader.
func (c *Controller) vacant(readers []kctport.EntryRecord) bool {
	if c.leaving.Load() {
		return false
	}
	for _, r := range readers {
		if r.Zone == c.self.Zone && r.ID != c.self.ID {
			return false
		}
	}
	return true
}

// lead claims the zone and reads the store for it until the lease or the context ends; it is false without the claim.
func (c *Controller) lead(ctx context.Context) bool {
	lease, err := c.registry.Grant(ctx, leaseTime)
	if err == nil {
		err = c.registry.Claim(ctx, c.self, lease)
	}
	if err != nil {
		c.log.LogChange("zone not claimed", string(c.self.Zone), err.Error(), 0)
		return false
	}
	c.log.LogChange("zone claimed", string(c.self.Zone), "", 0)
	term, end := context.WithCancel(ctx)
	defer end()
	follower, peers := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(follower)
		c.follow(term)
	}()
	go func() {
		defer close(peers)
		c.mesh(term)
	}()
	c.renew(term, lease)
	end()
	<-follower
	<-peers
	c.log.LogChange("zone given up", string(c.self.Zone), "", 0)
	return true
}

// renew holds the lease until it ends or this entry leaves.
func (c *Controller) renew(ctx context.Context, lease kctport.Lease) {
	renewed := c.timer.Now()
	for ctx.Err() == nil && !c.leaving.Load() {
		c.pause(ctx, renewInterval)
		err := c.registry.Renew(ctx, lease)
		switch now := c.timer.Now(); {
		case err == nil:
			renewed = now
		case now.Sub(renewed) > leaseTime:
			c.log.LogChange("reader's lease not renewed in its time", string(c.self.Zone), err.Error(), 0)
			return
		}
		if errors.Is(err, kctport.ErrNotFound) {
			c.log.LogChange("reader's lease ended", string(c.self.Zone), err.Error(), 0)
			return
		}
		if err != nil && ctx.Err() == nil {
			c.failed(ctx, err)
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := c.registry.Revoke(ctx, lease); err != nil {
		c.log.LogChange("reader's lease not ended", string(c.self.Zone), err.Error(), 0)
	}
}

// solo follows the store without being a reader, until there is a reader to try or the zone can be claimed, at most for some time.
func (c *Controller) solo(ctx context.Context) {
	c.log.LogChange("following the store alone", string(c.self.ID), "no reader can be reached", 0)
	ctx, cancel := context.WithTimeout(ctx, soloTime)
	defer cancel()
	follower := make(chan struct{})
	go func() {
		defer close(follower)
		c.follow(ctx)
	}()
	ticks := c.timer.Subscribe(ctx, surveyInterval)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticks:
			readers := *c.readers.Load()
			if c.vacant(readers) && now.Sub(c.claimed) > claimInterval || c.untried(readers) {
				cancel()
			}
		}
	}
	<-follower
}

// untried reports whether there is a reader that did not fail lately.
func (c *Controller) untried(readers []kctport.EntryRecord) bool {
	return slices.ContainsFunc(readers, func(r kctport.EntryRecord) bool { return r.ID != c.self.ID && !c.failedLately(r) })
}

func (c *Controller) failedLately(r kctport.EntryRecord) bool {
	at, ok := c.failures[r.ID]
	return ok && c.timer.Now().Sub(at) < failureMemory
}

// subscribe follows the nearest reader that works; it is false when none did. A reader that is itself without the store
// is accepted when this entry is too and no other reader has it.
func (c *Controller) subscribe(ctx context.Context, readers []kctport.EntryRecord, away bool) bool {
	for _, acceptAway := range []bool{false, true} {
		if acceptAway && !away {
			break
		}
		for _, r := range c.ranked(readers) {
			if c.subscribeAt(ctx, r, acceptAway) {
				return true
			}
		}
	}
	return false
}

// ranked orders the other readers: those that failed lately last, else the own zone's first.
func (c *Controller) ranked(readers []kctport.EntryRecord) []kctport.EntryRecord {
	rank := func(r kctport.EntryRecord) int {
		switch {
		case c.failedLately(r):
			return 2
		case r.Zone != c.self.Zone:
			return 1
		}
		return 0
	}
	others := slices.DeleteFunc(slices.Clone(readers), func(r kctport.EntryRecord) bool { return r.ID == c.self.ID })
	slices.SortStableFunc(others, func(a, b kctport.EntryRecord) int { return cmp.Compare(rank(a), rank(b)) })
	return others
}

// subscribeAt follows one reader and reports whether it was of use.
func (c *Controller) subscribeAt(parent context.Context, reader kctport.EntryRecord, acceptAway bool) bool {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	useful, blind := false, false
	heard := c.timer.Now()
	take := func(f kctport.FeedUpdate) {
		now := c.timer.Now()
		if useful = useful || !f.StoreUnreachable || acceptAway; !f.StoreUnreachable {
			heard = now
		}
		if !useful || now.Sub(heard) > awayPatience {
			// Other readers may be served by the store, or this entry itself.
			blind = true
			cancel(errLookElsewhere)
		}
		c.update(ctx, func(s *state, now time.Time) []event { return s.fed(now, f) })
		if !f.Full && c.vacant(*c.readers.Load()) && now.Sub(c.claimed) > claimInterval {
			c.claimed = now
			cancel(errLookElsewhere)
		}
	}
	err := c.feed.Follow(ctx, reader, c.Self, take)
	if ctx.Err() == nil || !useful || blind {
		c.failures[reader.ID] = c.timer.Now()
	}
	c.update(context.WithoutCancel(ctx), func(s *state, now time.Time) []event {
		s.members.loseAll(now)
		return nil
	})
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errLookElsewhere) {
		c.log.LogChange("feed ended", string(reader.ID), errors.Join(context.Cause(ctx), err).Error(), 0)
	}
	if useful && !blind && errors.Is(context.Cause(ctx), errLookElsewhere) {
		c.spread(parent, claimSpread)
	}
	return useful
}

// fed applies a reader's update.
func (s *state) fed(now time.Time, f kctport.FeedUpdate) []event {
	var events []event
	if f.StoreUnreachable {
		events = s.lost("the reader can't reach it")
	} else {
		events = s.heard(now, f.StoreAge)
	}
	if f.Full {
		if now.Add(-f.StoreAge).Before(s.contact.Add(-staleReader)) {
			// The reader has been without the store for longer than this entry, so that what it lacks may be new.
			for _, change := range f.Changes {
				events = append(events, s.apply(now, change)...)
			}
		} else {
			events = append(events, s.load(now, f.Changes)...)
		}
		if s.members.replace(f.Members, func(origin kctport.InstanceID) bool { return origin != s.self.ID }) {
			events = append(events, event{})
		}
		return events
	}
	for _, change := range f.Changes {
		events = append(events, s.apply(now, change)...)
	}
	for _, m := range f.Members {
		if m.Origin != s.self.ID && s.members.set(m) {
			events = append(events, event{})
		}
	}
	return events
}

// mesh follows the other readers for their members, until the context ends.
func (c *Controller) mesh(ctx context.Context) {
	running := map[kctport.InstanceID]chan struct{}{}
	ticks := c.timer.Subscribe(ctx, surveyInterval)
	for {
		for _, r := range *c.readers.Load() {
			if done := running[r.ID]; r.ID != c.self.ID && (done == nil || isClosed(done)) {
				running[r.ID] = make(chan struct{})
				go c.followMembers(ctx, r, running[r.ID])
			}
		}
		select {
		case <-ctx.Done():
			for _, done := range running {
				<-done
			}
			return
		case <-ticks:
		}
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// followMembers takes the members that are subscribed at another reader.
func (c *Controller) followMembers(ctx context.Context, reader kctport.EntryRecord, done chan<- struct{}) {
	defer close(done)
	only := func(origin kctport.InstanceID) bool { return origin == reader.ID }
	err := c.feed.Follow(ctx, reader, c.Self, func(f kctport.FeedUpdate) {
		c.update(ctx, func(s *state, _ time.Time) []event {
			changed := false
			if f.Full {
				changed = s.members.replace(f.Members, only)
			} else {
				for _, m := range f.Members {
					changed = only(m.Origin) && s.members.set(m) || changed
				}
			}
			if !changed {
				return nil
			}
			return []event{{}}
		})
	})
	if ctx.Err() != nil {
		return
	}
	c.update(ctx, func(s *state, now time.Time) []event {
		s.members.lose(reader.ID, now)
		return []event{{what: "feed ended", key: string(reader.ID), detail: err.Error()}}
	})
	c.pause(ctx, retryPause)
}
