package kctsuspect

import (
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

const (
	// CrashLimit is the number of attributed crashes at which a body is quarantined. The first crash makes it suspect and two more are attributed to it, so that it crashes at most 3 endpoints.
	CrashLimit = 2
	// Quarantine is how long a quarantined body is refused by default.
	Quarantine = 60 * time.Second
	// SuspicionLifetime is how long a suspicion lasts without a further crash; a success ends it earlier.
	SuspicionLifetime = 10 * time.Minute
	// crashWindow is the time after a crash in which further resets at the endpoint, such as those on stale connections, belong to the same crash; no endpoint restarts faster.
	crashWindow = 100 * time.Millisecond
	// maxSuspects is the number of suspects above which those not quarantined are dropped.
	maxSuspects = 4096
	// stripes is the number of locks among which the endpoints are divided.
	stripes = 64
)

// Option configures a List.
type Option func(*List)

// WithQuarantine sets how long a quarantined body is refused.
func WithQuarantine(d time.Duration) Option {
	return func(l *List) { l.quarantine = d }
}

// List holds an entry's suspects and the attempts in flight at the endpoints that it owns.
type List struct {
	timer      kctport.Timer
	quarantine time.Duration
	// suspects is copied on write: every attempt reads it, and it changes only after a crash.
	suspects atomic.Pointer[map[kctport.Fingerprint]suspect]
	mu       sync.Mutex
	stripes  [stripes]stripe
}

// suspect is the state of a body that may crash endpoints: the crashes attributed to it, the time of the last change, and the end of its last quarantine or zero.
type suspect struct {
	crashes      int
	updated      time.Time
	refusedUntil time.Time
}

// NewList returns a list without suspects.
func NewList(timer kctport.Timer, opts ...Option) *List {
	l := &List{timer: timer, quarantine: Quarantine}
	l.suspects.Store(&map[kctport.Fingerprint]suspect{})
	for i := range l.stripes {
		l.stripes[i].endpoints = map[kctport.InstanceID]*endpointState{}
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Check returns an error that wraps ErrQuarantined and ErrNotRun for a quarantined body, nil otherwise.
func (l *List) Check(fingerprint kctport.Fingerprint) error {
	s, ok := (*l.suspects.Load())[fingerprint]
	if ok && l.timer.Now().Before(s.refusedUntil) {
		return eris.Wrapf(errors.Join(kctport.ErrQuarantined, kctport.ErrNotRun), "body %x crashed endpoints, refused until %s", uint64(fingerprint), s.refusedUntil.Format(time.RFC3339))
	}
	return nil
}

// Suspected reports whether a body is suspect; a suspect body is tried on one endpoint first.
func (l *List) Suspected(fingerprint kctport.Fingerprint) bool {
	s, ok := (*l.suspects.Load())[fingerprint]
	return ok && l.timer.Now().Sub(s.updated) < SuspicionLifetime
}

// Merge applies suspicions of other entries; a number of attributed crashes that is not above the known one changes nothing.
func (l *List) Merge(suspicions []kctport.Suspicion) {
	if len(suspicions) == 0 {
		return
	}
	now := l.timer.Now()
	l.update(now, func(m map[kctport.Fingerprint]suspect) {
		for _, s := range suspicions {
			known, ok := m[s.Fingerprint]
			switch {
			case now.Before(known.refusedUntil):
				// A late or repeated suspicion neither ends nor extends a quarantine.
			case s.Cleared:
				delete(m, s.Fingerprint)
			case !ok || s.AttributedCrashes > known.crashes:
				m[s.Fingerprint] = l.newSuspect(now, s.AttributedCrashes)
			}
		}
	})
}

// Suspicions returns all suspicions, for an entry that has just started and did not receive them as they were sent.
func (l *List) Suspicions() []kctport.Suspicion {
	now := l.timer.Now()
	var out []kctport.Suspicion
	for f, s := range *l.suspects.Load() {
		crashes := s.crashes
		if now.Before(s.refusedUntil) {
			crashes = CrashLimit
		}
		if now.Sub(s.updated) < SuspicionLifetime {
			out = append(out, kctport.Suspicion{Fingerprint: f, AttributedCrashes: crashes})
		}
	}
	return out
}

// newSuspect returns a suspect with a number of attributed crashes, quarantined if that reaches CrashLimit.
func (l *List) newSuspect(now time.Time, crashes int) suspect {
	s := suspect{crashes: crashes, updated: now}
	if crashes >= CrashLimit {
		// After the quarantine, one more crash is enough for the next one.
		s.crashes, s.refusedUntil = CrashLimit-1, now.Add(l.quarantine)
	}
	return s
}

// update replaces the suspects by an edited copy without expired ones.
func (l *List) update(now time.Time, edit func(map[kctport.Fingerprint]suspect)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := maps.Clone(*l.suspects.Load())
	edit(m)
	maps.DeleteFunc(m, func(_ kctport.Fingerprint, s suspect) bool { return now.Sub(s.updated) >= SuspicionLifetime })
	for f, s := range m {
		if len(m) <= maxSuspects {
			break
		}
		if !now.Before(s.refusedUntil) {
			delete(m, f)
		}
	}
	l.suspects.Store(&m)
}

// stripe returns the stripe that guards an endpoint.
func (l *List) stripe(endpoint kctport.InstanceID) *stripe {
	return &l.stripes[xxhash.Sum64String(string(endpoint))%stripes]
}
