package kctadmission

import (
	"sync"
	"time"
)

const (
	// repeatShare is the part of the longest time that callers of a route wait which is missing when a request has been sent before.
	repeatShare = 0.08
	// waitRetention is how long the longest time that a caller waits is kept after the last request with it.
	waitRetention = 10 * time.Second
)

// Repeats tells requests that callers sent before from others. A caller that repeats a request, because it was refused or failed, has less time left; the
// request itself doesn't say so. It is safe for concurrent use.
type Repeats struct {
	mu      sync.Mutex
	longest map[string]longestWait
}

// longestWait is the longest time that callers of a route wait.
type longestWait struct {
	wait time.Duration
	at   time.Time
}

// NewRepeats returns a Repeats that knows no routes.
func NewRepeats() *Repeats {
	return &Repeats{longest: map[string]longestWait{}}
}

// IsRepeat reports whether a request on a route, whose caller waits for a time, has probably been sent before.
func (r *Repeats) IsRepeat(now time.Time, route string, wait time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.longest[route]
	if wait >= l.wait || now.Sub(l.at) > waitRetention {
		r.longest[route] = longestWait{wait, now}
		return false
	}
	if wait < time.Duration((1-repeatShare)*float64(l.wait)) {
		return true
	}
	l.at = now
	r.longest[route] = l
	return false
}

// Prune drops the routes for which keep returns false.
func (r *Repeats) Prune(keep func(route string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.longest {
		if !keep(name) {
			delete(r.longest, name)
		}
	}
}
