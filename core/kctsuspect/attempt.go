package kctsuspect

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// stripe is a lock with the endpoints that it guards.
type stripe struct {
	mu        sync.Mutex
	endpoints map[kctport.InstanceID]*endpointState
}

// endpointState holds the attempts in flight at one endpoint.
type endpointState struct {
	attempts []attempt
	// crashed is the time at which the last crash was detected.
	crashed time.Time
}

// attempt is one request in flight; counted is set when a crash that it was part of has been recorded.
type attempt struct {
	fingerprint kctport.Fingerprint
	counted     bool
}

// Admit records the start of an attempt at an owned endpoint; an error wraps ErrNotRun and ErrQuarantined, or ErrNotRun and ErrShed when another suspect body is in flight there.
func (l *List) Admit(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint) error {
	if err := l.Check(fingerprint); err != nil {
		return err
	}
	s := l.stripe(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[endpoint]
	if e == nil {
		e = &endpointState{}
		s.endpoints[endpoint] = e
	}
	if l.Suspected(fingerprint) {
		for _, a := range e.attempts {
			if a.fingerprint != fingerprint && l.Suspected(a.fingerprint) {
				return eris.Wrapf(errors.Join(kctport.ErrShed, kctport.ErrNotRun), "endpoint %s is running another suspect body", endpoint)
			}
		}
	}
	e.attempts = append(e.attempts, attempt{fingerprint: fingerprint})
	return nil
}

// Finish records the end of an admitted attempt and returns the suspicions to send to other entries.
func (l *List) Finish(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint, err error) []kctport.Suspicion {
	now := l.timer.Now()
	crashed := errors.Is(err, kctport.ErrReset) && !errors.Is(err, kctport.ErrNotRun)
	if bodies := l.remove(now, endpoint, fingerprint, crashed); len(bodies) > 0 {
		return l.attribute(now, bodies)
	}
	if err == nil {
		return l.clear(now, fingerprint)
	}
	return nil
}

// remove removes an attempt and, if it ended with a crash that is not recorded yet, returns the bodies that were in flight.
func (l *List) remove(now time.Time, endpoint kctport.InstanceID, fingerprint kctport.Fingerprint, crashed bool) []kctport.Fingerprint {
	s := l.stripe(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[endpoint]
	if e == nil {
		return nil
	}
	i := e.find(fingerprint, crashed)
	if i < 0 {
		return nil
	}
	var bodies []kctport.Fingerprint
	if crashed && !e.attempts[i].counted && now.Sub(e.crashed) >= crashWindow {
		bodies = e.recordCrash(now)
	}
	e.attempts = slices.Delete(e.attempts, i, i+1)
	if len(e.attempts) == 0 && now.Sub(e.crashed) >= crashWindow {
		delete(s.endpoints, endpoint)
	}
	return bodies
}

// find returns the index of the attempt to remove, or -1. Of several attempts with one body, a reset removes those of a recorded crash first, a reply the others.
func (e *endpointState) find(fingerprint kctport.Fingerprint, crashed bool) int {
	found := -1
	for i, a := range e.attempts {
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

// recordCrash marks all attempts in flight as counted, so that their own resets are not recorded as further crashes, and returns the bodies of those that were not counted before.
func (e *endpointState) recordCrash(now time.Time) []kctport.Fingerprint {
	e.crashed = now
	var bodies []kctport.Fingerprint
	for i := range e.attempts {
		a := &e.attempts[i]
		if !a.counted && !slices.Contains(bodies, a.fingerprint) {
			bodies = append(bodies, a.fingerprint)
		}
		a.counted = true
	}
	return bodies
}

// attribute processes one crash: it is attributed to the suspect body if there is exactly one; the other bodies become or stay suspect.
func (l *List) attribute(now time.Time, bodies []kctport.Fingerprint) []kctport.Suspicion {
	var out []kctport.Suspicion
	l.update(now, func(m map[kctport.Fingerprint]suspect) {
		var suspects []kctport.Fingerprint
		for _, f := range bodies {
			if s, ok := m[f]; ok && now.Sub(s.updated) < SuspicionLifetime {
				suspects = append(suspects, f)
			}
		}
		for _, f := range bodies {
			s, ok := m[f]
			crashes := s.crashes
			// Several suspects run together only if a suspicion arrived during their attempts; the crash could then be attributed to the wrong one.
			if ok && len(suspects) == 1 && suspects[0] == f {
				crashes++
			}
			if !now.Before(s.refusedUntil) {
				m[f] = l.newSuspect(now, crashes)
			}
			out = append(out, kctport.Suspicion{Fingerprint: f, AttributedCrashes: crashes})
		}
	})
	return out
}

// clear removes the suspicion of a body that was answered without an error.
func (l *List) clear(now time.Time, fingerprint kctport.Fingerprint) []kctport.Suspicion {
	s, ok := (*l.suspects.Load())[fingerprint]
	if !ok || now.Before(s.refusedUntil) {
		return nil
	}
	l.update(now, func(m map[kctport.Fingerprint]suspect) { delete(m, fingerprint) })
	return []kctport.Suspicion{{Fingerprint: fingerprint, Cleared: true}}
}
