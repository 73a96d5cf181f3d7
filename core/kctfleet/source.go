package kctfleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// leaseTTL is how long the record of a failed reader remains; its subscribers use another zone's reader meanwhile.
	leaseTTL = 3 * time.Second
	// renewInterval allows two failed renewals within leaseTTL.
	renewInterval = 900 * time.Millisecond
	// renewTimeout bounds a renewal, by which a reader notices first that its calls get no answer. The store replies within 0.25 s at the 60-fold
	// slowdown of the site files.
	renewTimeout = 600 * time.Millisecond
	// revokeTimeout bounds the removal of the reader's record at shutdown.
	revokeTimeout = 300 * time.Millisecond
	// startJitter spreads the claims of entries that start together; each attempt is two billed calls.
	startJitter = 400 * time.Millisecond
	// claimJitter spreads the claims of entries whose reader has failed.
	claimJitter = 500 * time.Millisecond
	// claimInterval is the shortest time between an entry's claims, which the store may refuse.
	claimInterval = 3 * time.Second
	// shortCallTimeout bounds the calls that precede a choice of source: a starting entry serves no callers until it has one, and after an outage the
	// store answers a new call sooner than one that was lost in the outage.
	shortCallTimeout = 400 * time.Millisecond
	// aloneTimeout is how long an entry that reaches no reader follows the store itself before it tries the readers again.
	aloneTimeout = 3 * time.Second
	// readerOutageTimeout is how long a reader may report that it can't reach the store before its subscribers try another source: longer than a
	// reader takes to repeat a call whose reply was lost, and short enough for changes to take effect within the required 3 s by another source.
	readerOutageTimeout = 300 * time.Millisecond
	// sharedOutageTimeout takes its place while no reader can reach the store, since each change of the source is a billed call of each entry.
	sharedOutageTimeout = 1200 * time.Millisecond
	// feedFailureRetention is how long a reader whose feed failed is tried last; its record stays in the store for as long.
	feedFailureRetention = leaseTTL
	// maxReaderLag is how much older than this entry's state a reader's may be to count as complete.
	maxReaderLag = time.Second
	// sourceCheckInterval is how often an entry checks for other sources, and a reader for other readers.
	sourceCheckInterval = 250 * time.Millisecond
)

// errChangeSource is the cause that ends a working feed when another source may be better.
var errChangeSource = errors.New("changing to another source")

// source keeps the state up to date until the context ends: as the zone's reader, from a reader, or from the store alone.
func (c *Controller) source(ctx context.Context) {
	c.loadOnce(ctx)
	c.randomPause(ctx, startJitter)
	for ctx.Err() == nil {
		readers, err := c.knownReaders(ctx)
		if err == nil && c.zoneWithoutReader(readers) {
			c.lastClaim = c.timer.Now()
			if c.runAsReader(ctx) {
				continue
			}
			// Another entry claimed the zone first.
			readers, err = c.knownReaders(ctx)
		}
		if c.subscribe(ctx, readers, err != nil) {
			continue
		}
		if err != nil {
			c.handleStoreError(ctx, err)
			continue
		}
		c.followStoreAlone(ctx)
	}
}

// loadOnce reads the store once. A starting entry serves no callers until it has a fleet state, and after a power failure the readers in the
// store's records have no more state than this entry. Without an answer in time the readers are tried, whose feeds are compressed.
func (c *Controller) loadOnce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	l, err := c.registry.Load(callCtx)
	if err != nil {
		c.log.LogChange("store not read at the start", "", err.Error(), 0)
		return
	}
	c.applyLoaded(ctx, l)
}

func (c *Controller) randomPause(ctx context.Context, limit time.Duration) {
	c.pause(ctx, time.Duration(c.random.Int64N(int64(limit))))
}

// knownReaders returns the readers on record in the store; while it is unreachable, those last received, with the error.
func (c *Controller) knownReaders(ctx context.Context) ([]kctport.EntryRecord, error) {
	callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	readers, err := c.registry.Readers(callCtx)
	if err != nil {
		c.update(ctx, func(s *state, _ time.Time) []event {
			s.ownSince = time.Time{}
			return nil
		})
		return *c.readers.Load(), err
	}
	c.update(ctx, func(s *state, now time.Time) []event { return s.recordReply(now) })
	return readers, nil
}

// zoneWithoutReader reports whether this entry's zone has no reader.
func (c *Controller) zoneWithoutReader(readers []kctport.EntryRecord) bool {
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

// runAsReader claims the zone and follows the store for it until the lease or the context ends; it returns false when the claim failed.
func (c *Controller) runAsReader(ctx context.Context) bool {
	lease, err := c.registry.Grant(ctx, leaseTTL)
	if err == nil {
		err = c.registry.Claim(ctx, c.self, lease)
	}
	if err != nil {
		c.log.LogChange("zone not claimed", string(c.self.Zone), err.Error(), 0)
		return false
	}
	c.log.LogChange("zone claimed", string(c.self.Zone), "", 0)
	leaseCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	followerDone, peersDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(followerDone)
		c.followStore(leaseCtx)
	}()
	go func() {
		defer close(peersDone)
		c.followOtherReaders(leaseCtx)
	}()
	c.renew(leaseCtx, lease)
	cancel()
	<-followerDone
	<-peersDone
	c.log.LogChange("zone given up", string(c.self.Zone), "", 0)
	return true
}

// renew renews the lease until the lease or the context ends or this entry leaves, and revokes a lease that is still valid.
func (c *Controller) renew(ctx context.Context, lease kctport.Lease) {
	renewed := c.timer.Now()
	var err error
	for ctx.Err() == nil && !c.leaving.Load() {
		if err == nil {
			c.pause(ctx, renewInterval)
		}
		err = c.renewOnce(ctx, lease)
		switch now := c.timer.Now(); {
		case err == nil:
			renewed = now
			// A lost reply to one renewal is not an outage, and the watch may report contact only at the end of its wait.
			c.update(ctx, func(s *state, now time.Time) []event { return s.recordReply(now) })
		case now.Sub(renewed) > leaseTTL:
			c.log.LogChange("reader's lease not renewed in time", string(c.self.Zone), err.Error(), 0)
			return
		}
		if errors.Is(err, kctport.ErrNotFound) {
			c.log.LogChange("reader's lease ended", string(c.self.Zone), err.Error(), 0)
			return
		}
		if err != nil && ctx.Err() == nil {
			c.handleStoreError(ctx, err)
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := c.registry.Revoke(ctx, lease); err != nil {
		c.log.LogChange("reader's lease not revoked", string(c.self.Zone), err.Error(), 0)
	}
}

func (c *Controller) renewOnce(ctx context.Context, lease kctport.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	return c.registry.Renew(ctx, lease)
}

// followStoreAlone follows the store without being a reader, until there is a reader to try or the zone can be claimed, for at most aloneTimeout.
func (c *Controller) followStoreAlone(ctx context.Context) {
	c.log.LogChange("following the store alone", string(c.self.ID), "no reader can be reached", 0)
	ctx, cancel := context.WithTimeout(ctx, aloneTimeout)
	defer cancel()
	followerDone := make(chan struct{})
	go func() {
		defer close(followerDone)
		c.followStore(ctx)
	}()
	ticks := c.timer.Subscribe(ctx, sourceCheckInterval)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticks:
			readers := *c.readers.Load()
			if c.zoneWithoutReader(readers) && now.Sub(c.lastClaim) > claimInterval || c.hasUntriedReader(readers) {
				cancel()
			}
		}
	}
	<-followerDone
}

// hasUntriedReader reports whether there is another reader whose feed has not failed recently.
func (c *Controller) hasUntriedReader(readers []kctport.EntryRecord) bool {
	return slices.ContainsFunc(readers, func(r kctport.EntryRecord) bool { return r.ID != c.self.ID && !c.failedRecently(r) })
}

func (c *Controller) failedRecently(r kctport.EntryRecord) bool {
	at, ok := c.feedFailures[r.ID]
	return ok && c.timer.Now().Sub(at) < feedFailureRetention
}

// subscribe follows the nearest working reader; it returns false when there is none. A reader that can't reach the store is accepted only when
// this entry can't reach it either and no other reader can.
func (c *Controller) subscribe(ctx context.Context, readers []kctport.EntryRecord, storeUnreachable bool) bool {
	for _, acceptUnreachable := range []bool{false, true} {
		if acceptUnreachable && !storeUnreachable {
			break
		}
		for _, r := range c.ranked(readers) {
			if c.subscribeAt(ctx, r, acceptUnreachable) {
				return true
			}
		}
	}
	return false
}

// ranked orders the other readers: the own zone's first, those that failed recently last.
func (c *Controller) ranked(readers []kctport.EntryRecord) []kctport.EntryRecord {
	rank := func(r kctport.EntryRecord) int {
		switch {
		case c.failedRecently(r):
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

// subscribeAt follows one reader until its feed ends and reports whether the feed was usable.
func (c *Controller) subscribeAt(parent context.Context, reader kctport.EntryRecord, acceptUnreachable bool) bool {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	usable, readerUnreachable := false, false
	outageTimeout := readerOutageTimeout
	if acceptUnreachable {
		outageTimeout = sharedOutageTimeout
	}
	var unreachableSince time.Time
	apply := func(f kctport.FeedUpdate) {
		now := c.timer.Now()
		if !usable && (!f.StoreUnreachable || acceptUnreachable) {
			usable = true
			c.log.LogChange("following entry", string(reader.ID), describeFeed(f), 0)
		}
		switch {
		case !f.StoreUnreachable:
			unreachableSince = time.Time{}
		case unreachableSince.IsZero():
			unreachableSince = now
		}
		if !usable || !unreachableSince.IsZero() && now.Sub(unreachableSince) >= outageTimeout {
			// Another reader, or this entry itself, may be able to reach the store.
			readerUnreachable = true
			cancel(errChangeSource)
		}
		c.update(ctx, func(s *state, now time.Time) []event {
			s.source = reader.ID
			return s.applyFeedUpdate(now, f)
		})
		if !f.Full && c.zoneWithoutReader(*c.readers.Load()) && now.Sub(c.lastClaim) > claimInterval {
			c.lastClaim = now
			cancel(errChangeSource)
		}
	}
	err := c.feed.Follow(ctx, reader, c.Self, apply)
	if ctx.Err() == nil || !usable || readerUnreachable {
		c.feedFailures[reader.ID] = c.timer.Now()
	}
	c.update(context.WithoutCancel(ctx), func(s *state, now time.Time) []event {
		s.members.markAllUnreachable(now)
		return nil
	})
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errChangeSource) {
		c.log.LogChange("feed ended", string(reader.ID), errors.Join(context.Cause(ctx), err).Error(), 0)
	}
	if usable && !readerUnreachable && errors.Is(context.Cause(ctx), errChangeSource) {
		c.randomPause(parent, claimJitter)
	}
	return usable
}

// describeFeed describes what an update says of the store, for the log.
func describeFeed(f kctport.FeedUpdate) string {
	return fmt.Sprintf("store unreachable %t, age %v, last reply %v before, revision %d",
		f.StoreUnreachable, f.StoreAge.Round(time.Millisecond), f.StoreSilence.Round(time.Millisecond), f.Revision)
}

// applyFeedUpdate applies an update from a reader.
func (s *state) applyFeedUpdate(now time.Time, f kctport.FeedUpdate) []event {
	var events []event
	if f.StoreUnreachable {
		events = s.recordOutage(now, "the reader can't reach the store")
	} else {
		events = s.recordContact(now, contact{now.Add(-f.StoreAge), now.Add(-f.StoreSilence), now.Add(-f.StoreSteady)})
	}
	if f.Full {
		if now.Add(-f.StoreAge).Before(s.lastContact.Add(-maxReaderLag)) {
			// The reader's state is older than this entry's, so that a record missing from it may be new.
			for _, change := range f.Changes {
				events = append(events, s.apply(now, change)...)
			}
		} else {
			events = append(events, s.applyFull(now, f.Changes, f.Revision)...)
		}
		if s.members.replace(f.Members, func(origin kctport.InstanceID) bool { return origin != s.self.ID }) {
			events = append(events, event{})
		}
		return events
	}
	for _, change := range f.Changes {
		events = append(events, s.apply(now, change)...)
	}
	s.revision = max(s.revision, f.Revision)
	for _, m := range f.Members {
		if m.Origin != s.self.ID && s.members.set(m) {
			events = append(events, event{})
		}
	}
	return events
}

// followOtherReaders follows the members of the other readers until the context ends.
func (c *Controller) followOtherReaders(ctx context.Context) {
	running := map[kctport.InstanceID]chan struct{}{}
	ticks := c.timer.Subscribe(ctx, sourceCheckInterval)
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

// followMembers follows the members that are subscribed at another reader, until its feed ends.
func (c *Controller) followMembers(ctx context.Context, reader kctport.EntryRecord, done chan<- struct{}) {
	defer close(done)
	accept := func(origin kctport.InstanceID) bool { return origin == reader.ID }
	err := c.feed.Follow(ctx, reader, c.Self, func(f kctport.FeedUpdate) {
		c.update(ctx, func(s *state, _ time.Time) []event {
			changed := false
			if f.Full {
				changed = s.members.replace(f.Members, accept)
			} else {
				for _, m := range f.Members {
					changed = accept(m.Origin) && s.members.set(m) || changed
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
		s.members.markUnreachable(reader.ID, now)
		return []event{{message: "feed ended", key: string(reader.ID), detail: err.Error()}}
	})
	c.pause(ctx, retryPause)
}
