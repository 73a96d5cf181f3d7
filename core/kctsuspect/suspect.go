package kctsuspect

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	kctport "kingcupturn"
)

const (
	// CrashLimit is the least number of crashes, one after the other and without a run that ended well, at which a request is refused. Two are not enough:
	// while endpoints crash for other reasons, a request that was in flight at one is repeated at another.
	CrashLimit = 3
	// minEvidence is the log-likelihood ratio at which CrashLimit crashes are enough, and weakLimit the number of crashes that are enough without it: a request
	// that endpoints crash with so often is not served anyway.
	minEvidence = 6.0
	weakLimit   = 8
	// strikeCost is subtracted from the evidence of each crash. Where endpoints crash for other reasons the time until a crash is anywhere in their lifetime,
	// whose average evidence is 1.
	strikeCost = 2.0
	// minInFlight bounds the evidence of one crash; no request crashes an endpoint sooner after it was sent.
	minInFlight = time.Millisecond
	// weakQuarantine is the part of the quarantine for which a request is refused on weak evidence.
	weakQuarantine = 0.25
	// maxStrikes bounds the crashes that are kept of one suspect, since a request over many shards may crash an endpoint of each.
	maxStrikes = 16
)

// suspect is the evidence against one request.
type suspect struct {
	round   uint64
	strikes []strike
	updated time.Time
	// crashes is the number of crashes, one after the other, that no other request explains, and evidence their log-likelihood ratio.
	crashes  int
	evidence float64
	// last is the greatest number of a crash, and refusedFor the one for which the request is refused until refusedUntil; triedAt is when it was last tried
	// after that.
	last         int
	refusedFor   int
	refusedUntil time.Time
	triedAt      time.Time
}

// strike is one crash that a request was in flight at.
type strike struct {
	incarnation Incarnation
	crashes     int
	inFlight    time.Duration
	lifetime    time.Duration
	mark        Mark
	// explained is set when another request is the likelier cause of the crash.
	explained bool
}

// weight returns the log-likelihood ratio of a crash by the request against one for another reason: the longer an endpoint has run and the shorter the
// request was in flight, the less likely is the second. Without a lifetime it counts as much as is needed.
func (k *strike) weight() float64 {
	if k.lifetime <= 0 {
		return minEvidence
	}
	return math.Log(max(1, float64(k.lifetime)/float64(max(minInFlight, k.inFlight)))) - strikeCost
}

// crashesBefore returns the greatest number of crashes that was known at a mark and that no other request explains.
func (s *suspect) crashesBefore(mark Mark) int {
	most := 0
	for _, k := range s.strikes {
		if !k.explained && k.mark < mark {
			most = max(most, k.crashes)
		}
	}
	return most
}

// assess works out crashes and evidence. Several endpoints that crashed at the same moment, such as those of a gathered request, count as one.
func (s *suspect) assess() {
	weights := map[int]float64{}
	for i := range s.strikes {
		k := &s.strikes[i]
		if k.explained {
			continue
		}
		if w, ok := weights[k.crashes]; !ok || k.weight() > w {
			weights[k.crashes] = k.weight()
		}
	}
	s.crashes, s.evidence, s.last = len(weights), 0, 0
	for n, w := range weights {
		s.evidence += w
		s.last = max(s.last, n)
	}
}

// isCause reports whether the evidence is enough to refuse the request, and whether only for the number of crashes.
func (s *suspect) isCause() (cause, weak bool) {
	if s.crashes >= CrashLimit && s.evidence >= minEvidence {
		return true, false
	}
	return s.crashes >= weakLimit, true
}

// refused returns the time for which the request is refused; nil stands for one that is not suspect.
func (s *suspect) refused(now time.Time) time.Duration {
	if s == nil || s.refusedUntil.IsZero() {
		return 0
	}
	return max(0, s.refusedUntil.Sub(now), s.triedAt.Add(trialTime).Sub(now))
}

// find returns the strike of a crash, nil without one.
func (s *suspect) find(incarnation Incarnation) *strike {
	if s == nil {
		return nil
	}
	for i := range s.strikes {
		if s.strikes[i].incarnation == incarnation {
			return &s.strikes[i]
		}
	}
	return nil
}

// isExpired reports whether the suspicion has lasted for long enough.
func (s *suspect) isExpired(now time.Time) bool {
	return now.Sub(s.updated) >= SuspicionLifetime && now.Sub(s.refusedUntil) >= SuspicionLifetime
}

// add adds a suspicion and reports whether it was not known; the caller holds the lock.
func (m *Memory) add(now time.Time, s kctport.Suspicion, mark Mark) bool {
	known := m.suspects[s.Fingerprint]
	if known == nil {
		known = &suspect{round: s.Round}
	}
	switch {
	case s.Cleared && s.Round >= known.round:
		m.forget(now, s.Fingerprint)
		m.put(s.Fingerprint, &suspect{round: s.Round + 1, updated: now})
		if now.Before(known.refusedUntil) {
			m.onVerdict(Verdict{Fingerprint: s.Fingerprint})
		}
		return true
	case s.Cleared || s.Round < known.round || s.Crashes < 1:
		return false
	case s.Round > known.round:
		m.forget(now, s.Fingerprint)
		known = &suspect{round: s.Round}
	}
	incarnation := Incarnation{s.Endpoint, s.Started}.normalized()
	if incarnation.Endpoint != "" && known.find(incarnation) != nil {
		return false
	}
	if len(known.strikes) >= maxStrikes && !m.dropLowest(s.Fingerprint, known, s.Crashes) {
		return false
	}
	known.strikes = append(known.strikes, strike{incarnation: incarnation, crashes: s.Crashes, inFlight: s.InFlight, lifetime: s.Lifetime, mark: mark})
	known.updated = now
	m.put(s.Fingerprint, known)
	if incarnation.Endpoint == "" {
		// Without the endpoint no other request can explain the crash.
		m.judge(now, s.Fingerprint)
		return true
	}
	m.crashed[incarnation] = append(m.crashed[incarnation], s.Fingerprint)
	m.explain(now, incarnation)
	return true
}

// put stores a suspect; the caller holds the lock.
func (m *Memory) put(f kctport.Fingerprint, s *suspect) {
	m.suspects[f] = s
	m.size.Store(int64(len(m.suspects)))
}

// explain marks the requests in flight at a crash for which another one is the likelier cause, and judges all of them anew: one that was in more crashes
// before, or in as many and in flight for a shorter time, since the cause of a crash is in flight at most until it. At the first crash of all of them each
// may be the cause. The caller holds the lock.
func (m *Memory) explain(now time.Time, incarnation Incarnation) {
	var top *strike
	var topFingerprint kctport.Fingerprint
	for _, f := range m.crashed[incarnation] {
		s := m.suspects[f].find(incarnation)
		if top == nil || s.crashes > top.crashes || s.crashes == top.crashes && (s.inFlight < top.inFlight || s.inFlight == top.inFlight && f < topFingerprint) {
			top, topFingerprint = s, f
		}
	}
	for _, f := range m.crashed[incarnation] {
		m.suspects[f].find(incarnation).explained = top.crashes > 1 && f != topFingerprint
		m.judge(now, f)
	}
}

// judge decides whether a request is refused; the caller holds the lock.
func (m *Memory) judge(now time.Time, f kctport.Fingerprint) {
	s := m.suspects[f]
	s.assess()
	cause, weak := s.isCause()
	switch {
	case cause && s.last > s.refusedFor:
		d := m.quarantineFor(s.crashes, weak)
		s.refusedFor, s.refusedUntil = s.last, now.Add(d+m.releaseDelay(f))
		m.onVerdict(Verdict{Fingerprint: f, Refused: s.refusedUntil.Sub(now), Crashes: s.crashes, Evidence: s.evidence})
	case !cause && s.refusedFor > 0:
		// Another request turned out to be the likelier cause.
		s.refusedFor, s.refusedUntil = 0, time.Time{}
		m.onVerdict(Verdict{Fingerprint: f, Crashes: s.crashes, Evidence: s.evidence})
	}
}

// quarantineFor returns how long a request is refused after a number of crashes.
func (m *Memory) quarantineFor(crashes int, weak bool) time.Duration {
	if weak {
		return time.Duration(weakQuarantine * float64(m.quarantine))
	}
	return m.quarantine * time.Duration(min(maxQuarantineFactor, 1<<min(crashes-CrashLimit, maxQuarantineFactor)))
}

// releaseDelay is this entry's part of releaseSpread for a request.
func (m *Memory) releaseDelay(f kctport.Fingerprint) time.Duration {
	if m.self == "" {
		return 0
	}
	return time.Duration((xxhash.Sum64String(string(m.self)) ^ uint64(f)) % uint64(releaseSpread))
}

// forget drops a suspect with its crashes, which it no longer explains for others; the caller holds the lock.
func (m *Memory) forget(now time.Time, f kctport.Fingerprint) {
	known := m.suspects[f]
	if known == nil {
		return
	}
	delete(m.suspects, f)
	m.size.Store(int64(len(m.suspects)))
	for _, s := range known.strikes {
		others := slices.DeleteFunc(m.crashed[s.incarnation], func(other kctport.Fingerprint) bool { return other == f })
		if len(others) == 0 {
			delete(m.crashed, s.incarnation)
			continue
		}
		m.crashed[s.incarnation] = others
		m.explain(now, s.incarnation)
	}
}

// dropLowest drops the crash of a suspect with the lowest number, for one with a number above it; false means that there is none. What was dropped is not
// taken again, so that entries with different crashes of a request don't tell each other of them without end. The caller holds the lock.
func (m *Memory) dropLowest(f kctport.Fingerprint, known *suspect, crashes int) bool {
	lowest := 0
	for i, k := range known.strikes {
		if k.crashes < known.strikes[lowest].crashes {
			lowest = i
		}
	}
	if known.strikes[lowest].crashes >= crashes {
		return false
	}
	incarnation := known.strikes[lowest].incarnation
	known.strikes = slices.Delete(known.strikes, lowest, lowest+1)
	m.crashed[incarnation] = slices.DeleteFunc(m.crashed[incarnation], func(other kctport.Fingerprint) bool { return other == f })
	if len(m.crashed[incarnation]) == 0 {
		delete(m.crashed, incarnation)
	}
	return true
}

// expire drops suspects whose lifetime has ended and those beyond maxSuspects; the caller holds the lock.
func (m *Memory) expire(now time.Time) {
	if len(m.suspects) <= maxSuspects && now.Sub(m.expiredAt) < expiryInterval {
		return
	}
	m.expiredAt = now
	for f, known := range m.suspects {
		if known.isExpired(now) {
			m.forget(now, f)
		}
	}
	if len(m.suspects) <= maxSuspects {
		return
	}
	order := slices.SortedFunc(maps.Keys(m.suspects), func(a, b kctport.Fingerprint) int {
		x, y := m.suspects[a], m.suspects[b]
		if refused := now.Before(x.refusedUntil); refused != now.Before(y.refusedUntil) {
			if refused {
				return 1
			}
			return -1
		}
		return x.updated.Compare(y.updated)
	})
	// A quarter is dropped at once, so that the search is not repeated for each further suspect.
	for _, f := range order[:len(order)-3*maxSuspects/4] {
		m.forget(now, f)
	}
}
