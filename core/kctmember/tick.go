package kctmember

import (
	"slices"
	"time"

	kctport "kingcupturn"
)

// sweepInterval is the interval at which expired members are removed.
const sweepInterval = 10 * time.Second

// Tick returns the probes to send now; it is called several times per period.
func (t *Table) Tick(now time.Time) []OutgoingProbe {
	t.resetAfterPause(now)
	out := t.advanceAttempts(now, nil)
	t.expireSuspects(now)
	out = t.probeUrgent(now, out)
	if t.leavePending {
		t.leavePending = false
		for _, id := range t.randomAlive(leaveFanout, "") {
			out = t.probe(now, id, out)
		}
	}
	if !now.Before(t.nextPeriod) {
		t.nextPeriod = t.nextPeriod.Add(t.period)
		if t.nextPeriod.Before(now) {
			t.nextPeriod = now.Add(t.period)
		}
		out = t.probeRegular(now, out)
	}
	t.removeExpired(now)
	return out
}

// resetAfterPause drops attempts and restarts suspicion timeouts after a pause of this process, during which no reply could arrive; at the first tick
// it sets the start of the first period.
func (t *Table) resetAfterPause(now time.Time) {
	if t.lastTick.IsZero() {
		t.nextPeriod = now.Add(time.Duration(t.random.Int64N(int64(t.period))))
	} else if now.Sub(t.lastTick) > pauseLimit {
		t.attempts = nil
		for _, id := range t.suspects {
			if p, ok := t.peers[id]; ok {
				p.stateSince = now
			}
		}
	}
	t.lastTick = now
}

// advanceAttempts starts the next round of attempts without a reply, and suspects the target after the last round.
func (t *Table) advanceAttempts(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	remaining := t.attempts[:0]
	for _, a := range t.attempts {
		p, ok := t.peers[a.id]
		if !ok || !p.member.Alive() {
			continue
		}
		if !now.Before(a.roundEnd) {
			a.round++
			a.roundEnd = now.Add(RoundTimeout)
			if a.round == rounds {
				t.suspect(now, p)
				continue
			}
			out = t.probeRound(p.member, out)
		}
		remaining = append(remaining, a)
	}
	clear(t.attempts[len(remaining):])
	t.attempts = remaining
	return out
}

// probeRound adds the probes of one further round, directly and through helpers.
func (t *Table) probeRound(target kctport.Member, out []OutgoingProbe) []OutgoingProbe {
	out = append(out, t.outgoing(target, RoundTimeout))
	for _, id := range t.randomAlive(helpers, target.ID) {
		s := t.outgoing(t.peers[id].member, RoundTimeout)
		s.Probe.Target = target.ID
		out = append(out, s)
	}
	return out
}

func (t *Table) suspect(now time.Time, p *peer) {
	if p.member.State != kctport.MemberAlive {
		return
	}
	p.member.State, p.stateSince = kctport.MemberSuspect, now
	t.announce(p.member)
	// Only the entry that raised the suspicion probes the suspect at once; a probe from each entry would flood it.
	t.probeSoon(p.member.ID)
}

// expireSuspects declares suspects dead that didn't refute the suspicion in time.
func (t *Table) expireSuspects(now time.Time) {
	t.suspects = slices.DeleteFunc(t.suspects, func(id kctport.InstanceID) bool {
		p, ok := t.peers[id]
		if !ok || p.member.State != kctport.MemberSuspect {
			return true
		}
		if now.Sub(p.stateSince) < t.suspicionTimeout {
			return false
		}
		p.member.State, p.stateSince = kctport.MemberDead, now
		t.announce(p.member)
		return true
	})
}

// probeUrgent adds the probes that don't wait for the next period, at most maxUrgent per tick.
func (t *Table) probeUrgent(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	t.delayed = slices.DeleteFunc(t.delayed, func(c delayedProbe) bool {
		if now.Before(c.at) {
			return false
		}
		t.probeSoon(c.id)
		return true
	})
	n := min(maxUrgent, len(t.urgent))
	for _, id := range t.urgent[:n] {
		out = t.probe(now, id, out)
	}
	t.urgent = slices.Delete(t.urgent, 0, n)
	return out
}

// probeRegular adds the probes of one period.
func (t *Table) probeRegular(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	t.periods++
	before := len(out)
	for len(t.unprobed) > 0 && len(out) == before {
		id := t.unprobed[0]
		t.unprobed = t.unprobed[1:]
		// Members already in contact are probed too, since otherwise the samples would be biased towards unreachable members.
		if p, ok := t.peers[id]; ok && p.member.Alive() {
			out = t.probeSample(now, id, out)
		}
	}
	if len(out) == before {
		out = t.probeNext(now, out)
	}
	noneSent := len(out) == before
	if noneSent || t.periods%deadProbePeriods == 0 {
		out = t.probeDead(now, out)
	}
	if len(t.peers) == 0 || noneSent && t.periods%deadProbePeriods == 0 {
		for _, m := range t.seeds {
			out = append(out, t.outgoing(m, RoundTimeout))
		}
	}
	return out
}

// probeNext probes the next live member in the random order.
func (t *Table) probeNext(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	for range len(t.order) + 1 {
		if t.position >= len(t.order) {
			t.reshuffle()
			if len(t.order) == 0 {
				return out
			}
		}
		id := t.order[t.position]
		t.position++
		p, ok := t.peers[id]
		if !ok || !p.member.Alive() {
			continue
		}
		before := len(out)
		if out = t.probeSample(now, id, out); len(out) > before {
			return out
		}
	}
	return out
}

// reshuffle starts a new random order and drops members no longer in the table.
func (t *Table) reshuffle() {
	t.position = 0
	t.order = slices.DeleteFunc(t.order, func(id kctport.InstanceID) bool { return t.peers[id] == nil })
	t.random.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// probeDead probes a random dead member, so that the sides of a healed partition reconnect.
func (t *Table) probeDead(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	for len(t.dead) > 0 {
		i := t.random.IntN(len(t.dead))
		id := t.dead[i]
		if p, ok := t.peers[id]; ok && p.member.State == kctport.MemberDead {
			return t.probe(now, id, out)
		}
		t.dead = slices.Delete(t.dead, i, i+1)
	}
	return out
}

// removeExpired removes members that were dead or departed for Retention, or for ListGrace without being on the platform's list.
func (t *Table) removeExpired(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for id, p := range t.peers {
		inState := now.Sub(p.stateSince)
		unlisted := t.lastList.Sub(p.lastListed) > ListGrace && !t.lastList.IsZero()
		if !p.member.Alive() && (inState > Retention || unlisted && inState > ListGrace) {
			delete(t.peers, id)
		}
	}
	t.order = slices.DeleteFunc(t.order, func(id kctport.InstanceID) bool { return t.peers[id] == nil })
	t.position = min(t.position, len(t.order))
}
