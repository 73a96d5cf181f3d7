package kctsuspect

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

const (
	// Quarantine is how long a request is refused after its verdict. Each further crash doubles the time, up to maxQuarantineFactor.
	Quarantine          = time.Minute
	maxQuarantineFactor = 16
	// SuspicionLifetime is how long a suspicion lasts without a further crash.
	SuspicionLifetime = 10 * time.Minute
	// releaseSpread spreads the ends of the quarantine over the entries, so that one of them tries the request first and the others learn of its crash.
	releaseSpread = 10 * time.Second
	// trialTime is how long an entry refuses a request again after it tried it at the end of its quarantine, unless that run ends well.
	trialTime = 5 * time.Second
	// maxSuspects bounds the suspects; those without a quarantine, and then those that were updated first, are dropped beyond it.
	maxSuspects = 4096
	// expiryInterval is the time between two searches for suspicions whose lifetime has ended.
	expiryInterval = time.Second
)

// Mark is a moment in the order of the events that one Memory knows of.
type Mark uint64

// Incarnation is one run of an endpoint.
type Incarnation struct {
	Endpoint kctport.InstanceID
	Started  time.Time
}

// normalized returns the incarnation as a key: entries tell each other starts in microseconds, and records may hold them in other locations.
func (i Incarnation) normalized() Incarnation {
	return Incarnation{i.Endpoint, i.Started.Round(0).UTC().Truncate(time.Microsecond)}
}

// Involved is a request that was in flight when an endpoint crashed.
type Involved struct {
	Fingerprint kctport.Fingerprint
	// Sent and Cut are the marks at which the request was sent and its connection ended.
	Sent, Cut Mark
	// InFlight is the time between the two.
	InFlight time.Duration
}

// Verdict is a change of what is believed of a request.
type Verdict struct {
	Fingerprint kctport.Fingerprint
	// Refused is how long the request is refused, 0 when it no longer is.
	Refused time.Duration
	// Crashes is the number of its crashes, one after the other, and Evidence their log-likelihood ratio.
	Crashes  int
	Evidence float64
}

// Memory holds the evidence on requests that crash endpoints, from the crashes that this entry saw and the suspicions of others; it is safe for concurrent
// use.
//
// A crash counts against each request that was in flight, but if some of them were in crashes before, only against the one that was in most of them. A
// request is in a further crash only if it was sent after the one before was known, so that endpoints which crash at the same moment count once. A run that
// ends well refutes all evidence.
type Memory struct {
	timer      kctport.Timer
	self       kctport.InstanceID
	quarantine time.Duration
	onVerdict  func(Verdict)
	marks      atomic.Uint64
	// size is the number of suspects, so that traffic needs no lock while there are none.
	size atomic.Int64

	mu       sync.RWMutex
	suspects map[kctport.Fingerprint]*suspect
	// crashed holds the suspects of each crash.
	crashed   map[Incarnation][]kctport.Fingerprint
	expiredAt time.Time
}

// MemoryOption configures a Memory.
type MemoryOption func(*Memory)

// WithQuarantine sets how long a request is refused at first.
func WithQuarantine(d time.Duration) MemoryOption {
	return func(m *Memory) { m.quarantine = d }
}

// WithSelf sets the identifier of this entry, by which the ends of quarantines are spread.
func WithSelf(self kctport.InstanceID) MemoryOption {
	return func(m *Memory) { m.self = self }
}

// WithOnVerdict calls f when a request is refused from now on, or no longer.
func WithOnVerdict(f func(Verdict)) MemoryOption {
	return func(m *Memory) { m.onVerdict = f }
}

// NewMemory returns a memory without suspects.
func NewMemory(timer kctport.Timer, opts ...MemoryOption) *Memory {
	m := &Memory{
		timer: timer, quarantine: Quarantine, onVerdict: func(Verdict) {}, suspects: map[kctport.Fingerprint]*suspect{},
		crashed: map[Incarnation][]kctport.Fingerprint{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Mark returns the current moment; evidence that is recorded later comes after it.
func (m *Memory) Mark() Mark {
	return Mark(m.marks.Add(1))
}

// IsEmpty reports whether no request is suspect, so that no fingerprint has to be computed.
func (m *Memory) IsEmpty() bool {
	return m.size.Load() == 0
}

// Crashes returns the number of crashes, one after the other, for which a request is suspect; 0 for one that is not.
func (m *Memory) Crashes(f kctport.Fingerprint) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known := m.suspects[f]
	if known == nil || known.isExpired(m.timer.Now()) {
		return 0
	}
	return known.crashes
}

// Refused returns the time for which a request is refused, 0 for one that may run.
func (m *Memory) Refused(f kctport.Fingerprint) time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.suspects[f].refused(m.timer.Now())
}

// Admit is Refused for a request that is about to run: after its quarantine an entry lets it through once in trialTime.
func (m *Memory) Admit(f kctport.Fingerprint) time.Duration {
	if m.IsEmpty() {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now, known := m.timer.Now(), m.suspects[f]
	wait := known.refused(now)
	if wait == 0 && known != nil && !known.refusedUntil.IsZero() {
		known.triedAt = now
	}
	return wait
}

// Check returns an error that wraps ErrQuarantined and ErrNotRun for a request that is refused, nil otherwise.
func (m *Memory) Check(f kctport.Fingerprint) error {
	if wait := m.Refused(f); wait > 0 {
		return eris.Wrapf(errors.Join(kctport.ErrQuarantined, kctport.ErrNotRun), "body %x crashed endpoints, refused until %s", uint64(f),
			m.timer.Now().Add(wait).Format(time.RFC3339))
	}
	return nil
}

// Counts returns the numbers of suspects and of those that are refused now.
func (m *Memory) Counts() (suspects, quarantined int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.timer.Now()
	for _, known := range m.suspects {
		if known.crashes > 0 {
			suspects++
		}
		if now.Before(known.refusedUntil) {
			quarantined++
		}
	}
	return suspects, quarantined
}

// RecordCrash records that an endpoint crashed, after it had run for a time, while requests were in flight, and returns the suspicions for other entries.
func (m *Memory) RecordCrash(incarnation Incarnation, lifetime time.Duration, involved []Involved) []kctport.Suspicion {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	var news []kctport.Suspicion
	for _, i := range involved {
		s := kctport.Suspicion{
			Fingerprint: i.Fingerprint, Crashes: 1, Endpoint: incarnation.Endpoint, Started: incarnation.Started, InFlight: i.InFlight, Lifetime: lifetime,
		}
		if known := m.suspects[i.Fingerprint]; known != nil {
			s.Round, s.Crashes = known.round, known.crashesBefore(i.Sent)+1
		}
		if m.add(now, s, i.Cut) {
			news = append(news, s)
		}
	}
	m.expire(now)
	return news
}

// RecordSuccess records that a request ran and its endpoint lived, and returns the suspicions for other entries, none for a request that is not suspect.
func (m *Memory) RecordSuccess(f kctport.Fingerprint) []kctport.Suspicion {
	m.mu.RLock()
	known := m.suspects[f]
	isSuspect := known != nil && len(known.strikes) > 0
	m.mu.RUnlock()
	if !isSuspect {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if known = m.suspects[f]; known == nil || len(known.strikes) == 0 {
		return nil
	}
	s := kctport.Suspicion{Fingerprint: f, Round: known.round, Cleared: true}
	m.add(m.timer.Now(), s, 0)
	return []kctport.Suspicion{s}
}

// Merge applies the suspicions of other entries and returns those that were not known.
func (m *Memory) Merge(suspicions []kctport.Suspicion) []kctport.Suspicion {
	if len(suspicions) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now, mark := m.timer.Now(), m.Mark()
	var news []kctport.Suspicion
	for _, s := range suspicions {
		if m.add(now, s, mark) {
			news = append(news, s)
		}
	}
	m.expire(now)
	return news
}

// Suspicions returns all evidence, for an entry that has none yet.
func (m *Memory) Suspicions() []kctport.Suspicion {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.timer.Now()
	var all []kctport.Suspicion
	for f, known := range m.suspects {
		if known.isExpired(now) {
			continue
		}
		if known.round > 0 {
			all = append(all, kctport.Suspicion{Fingerprint: f, Round: known.round - 1, Cleared: true})
		}
		for _, s := range known.strikes {
			all = append(all, kctport.Suspicion{
				Fingerprint: f, Round: known.round, Crashes: s.crashes, Endpoint: s.incarnation.Endpoint, Started: s.incarnation.Started, InFlight: s.inFlight,
				Lifetime: s.lifetime,
			})
		}
	}
	return all
}
