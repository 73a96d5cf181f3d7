package kctfleet

import (
	"sync"
	"time"

	kctport "kingcupturn"
)

const (
	// reportBuffer holds the suspicions of this entry's traffic until the control goroutine takes them; further ones are dropped.
	reportBuffer = 1024
	// maxPending bounds the suspicions and the reports on moves that wait for a slow entry; the first ones are dropped.
	maxPending = 4096
)

// WithSuspicions sets the memory of requests that crash endpoints, whose evidence entries tell each other over feeds.
func WithSuspicions(m kctport.SuspicionMemory) Option {
	return func(c *Controller) { c.suspicions = m }
}

type noSuspicions struct{}

func (noSuspicions) Merge([]kctport.Suspicion) []kctport.Suspicion { return nil }

func (noSuspicions) Suspicions() []kctport.Suspicion { return nil }

// Report tells other entries of suspicions of this entry's traffic; it never blocks.
func (c *Controller) Report(suspicions []kctport.Suspicion) {
	select {
	case c.reports <- suspicions:
	default:
		c.droppedReports.Add(1)
	}
}

// DroppedReports returns the number of reports that were dropped since the start.
func (c *Controller) DroppedReports() uint64 {
	return c.droppedReports.Load()
}

// mergeReports takes what came from a link, nil for a subscriber, and passes on what was not known. It runs on the control goroutine.
func (c *Controller) mergeReports(s *state, now time.Time, from *link, suspicions []kctport.Suspicion, moves []kctport.MoveReport) []event {
	if news := c.suspicions.Merge(suspicions); len(news) > 0 {
		c.passOn(s, from, news, nil)
	}
	return c.mergeMoves(s, now, from, moves)
}

// passOn sends suspicions and stops of versions to the subscribers and to all entries that this one follows but the one from which they came. Every entry
// passes on only what it did not know, which ends their spread. It runs on the control goroutine.
func (c *Controller) passOn(s *state, from *link, suspicions []kctport.Suspicion, stops []kctport.MoveReport) {
	s.suspicionOutbox = append(s.suspicionOutbox, suspicions...)
	s.stopOutbox = append(s.stopOutbox, stops...)
	for l := range c.links {
		if l != from {
			l.uplink.add(suspicions, stops)
		}
	}
}

// uplink is what this entry tells an entry that it follows.
type uplink struct {
	self    func() kctport.EntryRecord
	pending chan struct{}

	mu         sync.Mutex
	suspicions []kctport.Suspicion
	moves      []kctport.MoveReport
}

var _ kctport.FeedSubscriber = (*uplink)(nil)

func newUplink(self func() kctport.EntryRecord) *uplink {
	return &uplink{self: self, pending: make(chan struct{}, 1)}
}

// Heartbeat returns the current record, and what was added since the last call.
func (u *uplink) Heartbeat() kctport.FeedHeartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	h := kctport.FeedHeartbeat{Entry: u.self(), Suspicions: u.suspicions, Moves: u.moves}
	u.suspicions, u.moves = nil, nil
	return h
}

// Pending has an element when something was added that no heartbeat has had.
func (u *uplink) Pending() <-chan struct{} {
	return u.pending
}

// add adds suspicions and reports on moves to the next heartbeat.
func (u *uplink) add(suspicions []kctport.Suspicion, moves []kctport.MoveReport) {
	if len(suspicions) == 0 && len(moves) == 0 {
		return
	}
	u.mu.Lock()
	u.suspicions, u.moves = lastOf(append(u.suspicions, suspicions...)), lastOf(append(u.moves, moves...))
	u.mu.Unlock()
	select {
	case u.pending <- struct{}{}:
	default:
	}
}

// lastOf drops the first elements beyond maxPending.
func lastOf[E any](all []E) []E {
	return all[max(0, len(all)-maxPending):]
}

// openLink registers a link that this entry is about to follow; its first heartbeat has all suspicions and stops. It runs on the control goroutine.
func (c *Controller) openLink(l *link) update {
	return func(s *state, _ time.Time) []event {
		c.links[l] = true
		l.uplink.add(c.suspicions.Suspicions(), s.mover.stopReports())
		return nil
	}
}

// linkTowards returns the link over which reports reach an entry: the one to it, or any other; nil without a link.
func (c *Controller) linkTowards(id kctport.InstanceID) *link {
	var best *link
	for l := range c.links {
		if l.entry.ID == id {
			return l
		}
		if best == nil || l.entry.ID < best.entry.ID {
			best = l
		}
	}
	return best
}
