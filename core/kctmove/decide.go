package kctmove

import (
	"fmt"
	"strings"
	"time"

	kctport "kingcupturn"
)

// maxEvidenceBytes is the greatest length of the evidence, in bytes, that a change request accepts.
const maxEvidenceBytes = 500

// Decide returns the move's next state, and false when nothing changes; only the entry that holds the move calls it.
func (t *Tracker) Decide(now time.Time, move kctport.Move, endpoints []*kctport.Replica, policy kctport.Policy) (kctport.Move, bool) {
	t.Track(now, move, endpoints, policy)
	m := t.moves[move.ID]
	if m == nil {
		return move, false
	}
	return m.decide(now)
}

func (m *trackedMove) decide(now time.Time) (kctport.Move, bool) {
	move := m.move
	switch {
	case m.stopEvidence != "":
		return m.revert("bad: " + m.stopEvidence)
	case !now.Before(move.Deadline):
		return m.revert(fmt.Sprintf("deadline passed at %.3g%%", 100*move.Share))
	case move.Share <= shareWarming:
		return m.warmUp(now)
	case isFirstStage(move.Share):
		return m.endFirstStage(now)
	case move.Share >= shareDone:
		return m.finish(now)
	}
	share := m.plan.nextInTime(now, move.Share)
	if now.Sub(m.stageStart) < m.plan.dwellAt(m.stageStart, move.Share) || m.evaluator.suspected() {
		return move, false
	}
	return m.withShare(share, "good: "+m.evaluator.summary(move))
}

// finish ends the move once the whole share has been in force for long enough; until then the version is judged, since the old one can still take its place.
func (m *trackedMove) finish(now time.Time) (kctport.Move, bool) {
	if now.Before(m.plan.end) || now.Sub(m.stageStart) < minFinal {
		return m.move, false
	}
	m.evaluator.evaluateOpen(now)
	switch suspected := m.evaluator.suspected(); {
	case suspected && now.Before(m.plan.lastChance):
		return m.move, false
	case suspected:
		return m.revert("suspected at the deadline: " + m.evaluator.summary(m.move))
	}
	move := m.move
	move.State, move.Evidence = kctport.MoveDone, truncate("good: "+m.evaluator.summary(move), maxEvidenceBytes)
	return move, true
}

// warmUp raises the share to the first stage once the new endpoints are usable and warm.
func (m *trackedMove) warmUp(now time.Time) (kctport.Move, bool) {
	usable, warm := m.countReady(now)
	if !now.Before(m.plan.latestFirstStageEnd()) {
		if !m.loweredAt.IsZero() && m.evaluator.likelyGood() {
			next, _ := m.plan.nextStage(m.move.Share)
			return m.withShare(next, "suspicion not confirmed: "+m.evaluator.summary(m.move))
		}
		return m.revert(fmt.Sprintf("not judged in time: %d usable and %d warm endpoints of %s at %s before the deadline",
			usable, warm, m.move.To, m.move.Deadline.Sub(now).Round(time.Second)))
	}
	switch {
	case usable == 0 || m.lowered(now):
		return m.move, false
	// Two thirds are enough, so that one restarting endpoint doesn't delay the move.
	case 3*warm >= 2*usable && (m.warmByTime || m.warmFraction.warm() || !now.Before(m.plan.warmupLatest)):
		return m.withShare(m.plan.first, fmt.Sprintf("%d of %d endpoints of %s are warm", warm, usable, m.move.To))
	case m.move.Share == 0:
		return m.withShare(shareWarming, fmt.Sprintf("warming up %d endpoints of %s", usable, m.move.To))
	}
	return m.move, false
}

// endFirstStage moves to the next stage at the planned time if the evidence shows that the version is good.
func (m *trackedMove) endFirstStage(now time.Time) (kctport.Move, bool) {
	good := m.evaluator.good()
	next, _ := m.plan.nextStage(m.move.Share)
	switch {
	case m.evaluator.suspected():
		if m.lastRate*shareWarming < minLoweredRate {
			// The test goes on at this share.
			return m.move, false
		}
		return m.lowerShare(now)
	case good && !now.Before(m.plan.firstStageEnd()):
		return m.withShare(next, "good: "+m.evaluator.summary(m.move))
	case !good && !now.Before(m.plan.latestFirstStageEnd()) && m.evaluator.likelyGood():
		return m.withShare(next, "good as far as few requests tell: "+m.evaluator.summary(m.move))
	case !good && !now.Before(m.plan.latestFirstStageEnd()):
		return m.revert("too little evidence that the version is good before the deadline: " + m.evaluator.summary(m.move))
	}
	return m.move, false
}

// minLoweredRate is the number of requests a second at the lowest share with which the test of a suspected version goes on there.
const minLoweredRate = 2.0

// lowerShare lowers the share to below 1% while the version is suspected; at a
// low request rate the test itself would take longer than the 5 s within which
// a bad version must lose its traffic.
func (m *trackedMove) lowerShare(now time.Time) (kctport.Move, bool) {
	m.loweredAt, m.loweredScore = now, m.evaluator.worst()
	return m.withShare(shareWarming, "held on suspicion: "+m.evaluator.summary(m.move))
}

// lowered reports whether the share must stay low on suspicion, which ends below releaseScore, or after some time without
// further evidence.
func (m *trackedMove) lowered(now time.Time) bool {
	worst := m.evaluator.worst()
	if worst < releaseScore {
		m.loweredAt = time.Time{}
	}
	// The evidence against a bad version rises even at the low share; that against a good one may take long to fall.
	if !m.loweredAt.IsZero() && now.Sub(m.loweredAt) >= m.plan.lowered && worst <= m.loweredScore {
		m.loweredAt = time.Time{}
	}
	return !m.loweredAt.IsZero()
}

// withShare returns the move with another share.
func (m *trackedMove) withShare(share float64, evidence string) (kctport.Move, bool) {
	move := m.move
	move.Share, move.Evidence, move.Rate = share, truncate(evidence, maxEvidenceBytes), m.lastRate
	return move, true
}

// revert returns the move as reverted, with all traffic on the old version.
func (m *trackedMove) revert(evidence string) (kctport.Move, bool) {
	move := m.move
	move.Share, move.State, move.Evidence = 0, kctport.MoveReverted, truncate(evidence, maxEvidenceBytes)
	return move, true
}

// truncate shortens a text to at most length bytes of valid UTF-8.
func truncate(text string, length int) string {
	return strings.ToValidUTF8(text[:min(len(text), length)], "")
}
