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
	// CrashLimit is the number of charges at which a body is refused: one crash makes it suspect, two more condemn it, which keeps the loss at 3 endpoints.
	CrashLimit = 2
	// Quarantine is how long a condemned body is refused.
	Quarantine = 60 * time.Second
	// SuspicionLifetime is how long a suspicion lasts that neither a crash nor a success changed.
	SuspicionLifetime = 10 * time.Minute
	// settle is the time after a crash in which further resets at the endpoint belong to it, such as those on stale connections; no server restarts faster.
	settle = 100 * time.Millisecond
	// capacity bounds the suspects remembered.
	capacity = 4096
	// stripes is the number of locks over which endpoints spread.
	stripes = 64
)

// Option changes a setting of a List.
type Option func(*List)

// WithQuarantine sets how long a condemned body is refused.
func WithQuarantine(d time.Duration) Option {
	return func(l *List) { l.quarantine = d }
}

// List holds the suspects an entry knows and the attempts in flight at the endpoints it owns.
type List struct {
	timer      kctport.Timer
	quarantine time.Duration
	// suspects is replaced as a whole: it is read with every attempt and changes with a crash.
	suspects atomic.Pointer[map[kctport.Fingerprint]suspect]
	mu       sync.Mutex
	stripes  [stripes]stripe
}

// suspect is a body that may crash endpoints; it is refused until a time if that is set.
type suspect struct {
	charges int
	since   time.Time
	until   time.Time
}

// NewList returns a list without suspects.
func NewList(timer kctport.Timer, opts ...Option) *List {
	l := &List{timer: timer, quarantine: Quarantine}
	l.suspects.Store(&map[kctport.Fingerprint]suspect{})
	for i := range l.stripes {
		l.stripes[i].flights = map[kctport.InstanceID]*flight{}
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Check refuses a quarantined body with ErrQuarantined and ErrNotRun.
func (l *List) Check(fingerprint kctport.Fingerprint) error {
	s, ok := (*l.suspects.Load())[fingerprint]
	if ok && l.timer.Now().Before(s.until) {
		return eris.Wrapf(errors.Join(kctport.ErrQuarantined, kctport.ErrNotRun), "body %x crashed endpoints, refused until %s", uint64(fingerprint), s.until.Format(time.RFC3339))
	}
	return nil
}

// Suspected reports whether a body is suspect, so that it has to prove itself on one endpoint first.
func (l *List) Suspected(fingerprint kctport.Fingerprint) bool {
	s, ok := (*l.suspects.Load())[fingerprint]
	return ok && l.timer.Now().Sub(s.since) < SuspicionLifetime
}

// Merge takes suspicions of other entries; a lower number of charges than known changes nothing.
func (l *List) Merge(suspicions []kctport.Suspicion) {
	if len(suspicions) == 0 {
		return
	}
	now := l.timer.Now()
	l.change(now, func(m map[kctport.Fingerprint]suspect) {
		for _, s := range suspicions {
			known, ok := m[s.Fingerprint]
			switch {
			case now.Before(known.until):
				// A late or repeated suspicion neither ends nor extends a quarantine.
			case s.Cleared:
				delete(m, s.Fingerprint)
			case !ok || s.AttributedCrashes > known.charges:
				m[s.Fingerprint] = l.charged(now, s.AttributedCrashes)
			}
		}
	})
}

// Suspicions returns what is known, for an entry that has just started and missed the pushes.
func (l *List) Suspicions() []kctport.Suspicion {
	now := l.timer.Now()
	var out []kctport.Suspicion
	for f, s := range *l.suspects.Load() {
		charges := s.charges
		if now.Before(s.until) {
			charges = CrashLimit
		}
		if now.Sub(s.since) < SuspicionLifetime {
			out = append(out, kctport.Suspicion{Fingerprint: f, AttributedCrashes: charges})
		}
	}
	return out
}

// charged returns a suspect with a number of charges, refused from the limit on.
func (l *List) charged(now time.Time, charges int) suspect {
	s := suspect{charges: charges, since: now}
	if charges >= CrashLimit {
		// After the quarantine one more crash is enough to be refused again.
		s.charges, s.until = CrashLimit-1, now.Add(l.quarantine)
	}
	return s
}

// change replaces the suspects by a changed copy without forgotten ones.
func (l *List) change(now time.Time, edit func(map[kctport.Fingerprint]suspect)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := maps.Clone(*l.suspects.Load())
	edit(m)
	maps.DeleteFunc(m, func(_ kctport.Fingerprint, s suspect) bool { return now.Sub(s.since) >= SuspicionLifetime })
	for f, s := range m {
		if len(m) <= capacity {
			break
		}
		if !now.Before(s.until) {
			delete(m, f)
		}
	}
	l.suspects.Store(&m)
}

func (l *List) stripe(endpoint kctport.InstanceID) *stripe {
	return &l.stripes[xxhash.Sum64String(string(endpoint))%stripes]
}
