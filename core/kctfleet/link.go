package kctfleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	kctport "kingcupturn"
)

// link is a feed that this entry follows; its goroutine passes the updates to the control goroutine.
type link struct {
	entry  kctport.EntryRecord
	uplink *uplink
	cancel context.CancelFunc
	// accept selects the origins whose members the feed reports.
	accept func(origin kctport.InstanceID) bool
	// grace is added to originGrace for the members that nobody reports after the end of the feed.
	grace time.Duration
	// updated is closed after the first update, and done when the feed has ended and no longer counts.
	updated, done chan struct{}
}

// openHub follows an entry for everything that it passes on.
func (c *Controller) openHub(ctx context.Context, entry kctport.EntryRecord) *link {
	l := &link{entry: entry, grace: sourceChangeGrace, accept: func(origin kctport.InstanceID) bool { return origin != c.self.ID }}
	c.open(ctx, l)
	return l
}

// openPeer follows another reader; of the members it reports only its own subscribers.
func (c *Controller) openPeer(ctx context.Context, reader kctport.EntryRecord) *link {
	l := &link{entry: reader, accept: func(origin kctport.InstanceID) bool { return origin == reader.ID }}
	c.open(ctx, l)
	return l
}

// open follows the feed of a link until the context ends, the link is closed or the feed fails.
func (c *Controller) open(ctx context.Context, l *link) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.uplink = newUplink(c.Self)
	l.updated, l.done = make(chan struct{}), make(chan struct{})
	var once sync.Once
	go func() {
		defer close(l.done)
		defer l.cancel()
		c.update(ctx, c.openLink(l))
		err := c.feed.Follow(ctx, l.entry, l.uplink, func(f kctport.FeedUpdate) {
			c.update(ctx, func(s *state, now time.Time) []event {
				return append(s.applyFeedUpdate(now, l, f), c.mergeReports(s, now, l, f.Suspicions, f.Moves)...)
			})
			once.Do(func() {
				c.log.LogChange("following entry", string(l.entry.ID), describeContact(f.Store), 0)
				close(l.updated)
			})
		})
		detail := "closed by this entry"
		if ctx.Err() == nil {
			detail = err.Error()
		}
		c.update(context.WithoutCancel(ctx), func(s *state, now time.Time) []event {
			delete(c.links, l)
			return s.endLink(now, l, detail)
		})
	}()
}

// endLink forgets a link; the members that no other link reports expire.
func (s *state) endLink(now time.Time, l *link, detail string) []event {
	s.contact.feedEnded(l)
	s.members.markUnreachable(now.Add(l.grace), func(origin kctport.InstanceID) bool {
		for other := range s.contact.feeds {
			if other.accept(origin) {
				return false
			}
		}
		return l.accept(origin)
	})
	return append(s.contact.assess(now), event{message: "feed ended", key: string(l.entry.ID), detail: detail})
}

// close ends the link and waits for its end.
func (l *link) close() {
	l.cancel()
	<-l.done
}

// hasEnded reports whether the link has ended.
func (l *link) hasEnded() bool {
	return isClosed(l.done)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// describeContact describes what an entry says of the store, for the log.
func describeContact(c kctport.StoreContact) string {
	age, silence := c.Age.Round(time.Millisecond), c.Silence.Round(time.Millisecond)
	if c.Watcher == "" {
		return fmt.Sprintf("no contact with the store, age %v, last reply %v before, revision %v", age, silence, c.Revision)
	}
	return fmt.Sprintf("the store is watched by %s, %d feeds away, age %v, last reply %v before, revision %v", c.Watcher, c.Hops, age, silence, c.Revision)
}
