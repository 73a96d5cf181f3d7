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

// crashWindow is the time after a crash in which further resets at the endpoint, such as those on stale connections, belong to the same crash; no endpoint
// restarts faster.
const crashWindow = 100 * time.Millisecond

// attempt is one request in flight; counted is set when a crash that it was part of has been recorded.
type attempt struct {
	fingerprint kctport.Fingerprint
	sent        Mark
	start       time.Time
	counted     bool
}

// Admit records the start of an attempt at an owned endpoint; an error wraps ErrNotRun and ErrQuarantined, or ErrNotRun and ErrShed when another suspect body is in flight there.
func (l *List) Admit(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint) error {
	if err := l.Check(fingerprint); err != nil {
		return err
	}
	l.Memory.Admit(fingerprint)
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
	e.attempts = append(e.attempts, attempt{fingerprint: fingerprint, sent: l.Mark(), start: l.timer.Now()})
	return nil
}

// Finish records the end of an admitted attempt and returns the suspicions to send to other entries.
func (l *List) Finish(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint, err error) []kctport.Suspicion {
	now := l.timer.Now()
	crashed := errors.Is(err, kctport.ErrReset) && !errors.Is(err, kctport.ErrNotRun)
	if bodies := l.remove(now, endpoint, fingerprint, crashed); len(bodies) > 0 {
		// The owner of an endpoint sees all of its crashes, so that their time tells them apart.
		return l.RecordCrash(Incarnation{endpoint, now}, 0, bodies)
	}
	if err == nil {
		return l.RecordSuccess(fingerprint)
	}
	return nil
}

// remove removes an attempt and, if it ended with a crash that is not recorded yet, returns the bodies that were in flight.
func (l *List) remove(now time.Time, endpoint kctport.InstanceID, fingerprint kctport.Fingerprint, crashed bool) []Involved {
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
	var bodies []Involved
	if crashed && !e.attempts[i].counted && now.Sub(e.crashed) >= crashWindow {
		bodies = e.recordCrash(now, l.Mark())
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
func (e *endpointState) recordCrash(now time.Time, mark Mark) []Involved {
	e.crashed = now
	var bodies []Involved
	for i := range e.attempts {
		a := &e.attempts[i]
		known := slices.IndexFunc(bodies, func(b Involved) bool { return b.Fingerprint == a.fingerprint })
		if !a.counted && known < 0 {
			bodies = append(bodies, Involved{Fingerprint: a.fingerprint, Sent: a.sent, Cut: mark, InFlight: now.Sub(a.start)})
		}
		a.counted = true
	}
	return bodies
}
