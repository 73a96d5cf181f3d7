package kctsuspect

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// stripe guards the endpoints of one lock.
type stripe struct {
	mu      sync.Mutex
	flights map[kctport.InstanceID]*flight
}

// flight is what runs at one endpoint.
type flight struct {
	attempts []attempt
	// crashed is when the last crash was noticed.
	crashed time.Time
}

// attempt is one request in flight; counted is set once a crash was charged that it took part in.
type attempt struct {
	fingerprint kctport.Fingerprint
	counted     bool
}

// Admit begins an attempt at an owned endpoint; an error wraps ErrNotRun with ErrQuarantined, or with ErrShed when another suspect is running there.
func (l *List) Admit(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint) error {
	if err := l.Check(fingerprint); err != nil {
		return err
	}
	s := l.stripe(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flights[endpoint]
	if f == nil {
		f = &flight{}
		s.flights[endpoint] = f
	}
	if l.Suspected(fingerprint) {
		for _, a := range f.attempts {
			if a.fingerprint != fingerprint && l.Suspected(a.fingerprint) {
				return eris.Wrapf(errors.Join(kctport.ErrShed, kctport.ErrNotRun), "endpoint %s is running another suspect body", endpoint)
			}
		}
	}
	f.attempts = append(f.attempts, attempt{fingerprint: fingerprint})
	return nil
}

// Finish ends an attempt that Enter began and returns the suspicions to tell other entries.
func (l *List) Finish(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint, err error) []kctport.Suspicion {
	now := l.timer.Now()
	crashed := errors.Is(err, kctport.ErrReset) && !errors.Is(err, kctport.ErrNotRun)
	if group := l.remove(now, endpoint, fingerprint, crashed); len(group) > 0 {
		return l.charge(now, group)
	}
	if err == nil {
		return l.clear(now, fingerprint)
	}
	return nil
}

// remove takes an attempt out of flight and, if it reveals a crash, returns the bodies that were in flight.
func (l *List) remove(now time.Time, endpoint kctport.InstanceID, fingerprint kctport.Fingerprint, crashed bool) []kctport.Fingerprint {
	s := l.stripe(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flights[endpoint]
	if f == nil {
		return nil
	}
	i := f.find(fingerprint, crashed)
	if i < 0 {
		return nil
	}
	var group []kctport.Fingerprint
	if crashed && !f.attempts[i].counted && now.Sub(f.crashed) >= settle {
		group = f.crash(now)
	}
	f.attempts = slices.Delete(f.attempts, i, i+1)
	if len(f.attempts) == 0 && now.Sub(f.crashed) >= settle {
		delete(s.flights, endpoint)
	}
	return group
}

// find returns the attempt to end; of several with one body a reset ends those of the last crash first.
func (f *flight) find(fingerprint kctport.Fingerprint, crashed bool) int {
	found := -1
	for i, a := range f.attempts {
		if a.fingerprint != fingerprint {
			continue
		}
		if a.counted == crashed {
			return i
		}
		found = i
	}
	return found
}

// crash marks all attempts in flight, so that their own resets count no further crash, and returns their bodies.
func (f *flight) crash(now time.Time) []kctport.Fingerprint {
	f.crashed = now
	var group []kctport.Fingerprint
	for i := range f.attempts {
		a := &f.attempts[i]
		if !a.counted && !slices.Contains(group, a.fingerprint) {
			group = append(group, a.fingerprint)
		}
		a.counted = true
	}
	return group
}

// charge applies one crash: the only suspect in the group is charged; the others become suspect without a charge.
func (l *List) charge(now time.Time, group []kctport.Fingerprint) []kctport.Suspicion {
	var out []kctport.Suspicion
	l.change(now, func(m map[kctport.Fingerprint]suspect) {
		var suspects []kctport.Fingerprint
		for _, f := range group {
			if s, ok := m[f]; ok && now.Sub(s.since) < SuspicionLifetime {
				suspects = append(suspects, f)
			}
		}
		for _, f := range group {
			s, ok := m[f]
			charges := s.charges
			// Several suspects meet only when a suspicion arrived during their attempts; a charge could then hit the wrong one.
			if ok && len(suspects) == 1 && suspects[0] == f {
				charges++
			}
			if !now.Before(s.until) {
				m[f] = l.charged(now, charges)
			}
			out = append(out, kctport.Suspicion{Fingerprint: f, AttributedCrashes: charges})
		}
	})
	return out
}

// clear withdraws the suspicion of a body that got a reply.
func (l *List) clear(now time.Time, fingerprint kctport.Fingerprint) []kctport.Suspicion {
	s, ok := (*l.suspects.Load())[fingerprint]
	if !ok || now.Before(s.until) {
		return nil
	}
	l.change(now, func(m map[kctport.Fingerprint]suspect) { delete(m, fingerprint) })
	return []kctport.Suspicion{{Fingerprint: fingerprint, Cleared: true}}
}
