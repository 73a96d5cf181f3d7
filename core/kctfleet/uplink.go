package kctfleet

import (
	"sync"
	"time"

	kctport "kingcupturn"
)

const (
	// reportBuffer holds the suspicions of this entry's traffic until the control goroutine takes them; further ones are dropped.
	reportBuffer = 1024
	// maxPendingSuspicions bounds the suspicions that wait for a slow entry; the first ones are dropped.
	maxPendingSuspicions = 4096
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

// mergeSuspicions takes the suspicions that came from a link, nil for those of a subscriber, and passes on the ones that were not known. It runs on the
// control goroutine.
func (c *Controller) mergeSuspicions(s *state, from *link, suspicions []kctport.Suspicion) []event {
	news := c.suspicions.Merge(suspicions)
	if len(news) == 0 {
		return nil
	}
	c.passOn(s, from, news)
	return nil
}

// passOn sends suspicions to the subscribers and to all entries that this one follows but the one from which they came. Every entry passes on only what
// it did not know, which ends their spread. It runs on the control goroutine.
func (c *Controller) passOn(s *state, from *link, suspicions []kctport.Suspicion) {
	s.suspicionOutbox = append(s.suspicionOutbox, suspicions...)
	for l := range c.links {
		if l != from {
			l.uplink.add(suspicions)
		}
	}
}

// uplink is what this entry tells an entry that it follows.
type uplink struct {
	self    func() kctport.EntryRecord
	pending chan struct{}

	mu         sync.Mutex
	suspicions []kctport.Suspicion
}

var _ kctport.FeedSubscriber = (*uplink)(nil)

func newUplink(self func() kctport.EntryRecord) *uplink {
	return &uplink{self: self, pending: make(chan struct{}, 1)}
}

// Heartbeat returns the current record and the suspicions since the last call.
func (u *uplink) Heartbeat() kctport.FeedHeartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	h := kctport.FeedHeartbeat{Entry: u.self(), Suspicions: u.suspicions}
	u.suspicions = nil
	return h
}

// Pending has an element when there are suspicions that no heartbeat has had.
func (u *uplink) Pending() <-chan struct{} {
	return u.pending
}

// add adds suspicions to the next heartbeat.
func (u *uplink) add(suspicions []kctport.Suspicion) {
	if len(suspicions) == 0 {
		return
	}
	u.mu.Lock()
	u.suspicions = lastSuspicions(append(u.suspicions, suspicions...))
	u.mu.Unlock()
	select {
	case u.pending <- struct{}{}:
	default:
	}
}

// lastSuspicions drops the first suspicions beyond maxPendingSuspicions.
func lastSuspicions(all []kctport.Suspicion) []kctport.Suspicion {
	return all[max(0, len(all)-maxPendingSuspicions):]
}

// openLink registers a link that this entry is about to follow; its first heartbeat has all evidence. It runs on the control goroutine.
func (c *Controller) openLink(l *link) update {
	return func(*state, time.Time) []event {
		c.links[l] = true
		l.uplink.add(c.suspicions.Suspicions())
		return nil
	}
}
