package kctmember

import (
	"slices"
	"time"

	kctport "kingcupturn"
)

// sweepEvery is the interval at which dead and departed members are forgotten.
const sweepEvery = 10 * time.Second

// Tick returns the probes to send now; it is called several times per period.
func (t *Table) Tick(now time.Time) []OutgoingProbe {
	t.resume(now)
	out := t.advance(now, nil)
	t.bury(now)
	out = t.hasten(now, out)
	if t.farewell {
		t.farewell = false
		for _, id := range t.some(leaveFan, "") {
			out = t.probe(now, id, out)
		}
	}
	if !now.Before(t.next) {
		t.next = t.next.Add(t.period)
		if t.next.Before(now) {
			t.next = now.Add(t.period)
		}
		out = t.regular(now, out)
	}
	t.sweep(now)
	return out
}

// resume forgets what waited during a pause of this process: the others had no chance to be heard.
func (t *Table) resume(now time.Time) {
	if t.last.IsZero() {
		t.next = now.Add(time.Duration(t.random.Int64N(int64(t.period))))
	} else if now.Sub(t.last) > pauseLimit {
		t.attempts = nil
		for _, id := range t.suspects {
			if e, ok := t.entries[id]; ok {
				e.since = now
			}
		}
	}
	t.last = now
}

// advance starts the next round of attempts without a reply and suspects the targets after the last one.
func (t *Table) advance(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	rest := t.attempts[:0]
	for _, a := range t.attempts {
		e, ok := t.entries[a.id]
		if !ok || !e.member.Alive() {
			continue
		}
		if !now.Before(a.next) {
			a.round++
			a.next = now.Add(RoundTimeout)
			if a.round == rounds {
				t.suspect(now, e)
				continue
			}
			out = t.repeat(e.member, out)
		}
		rest = append(rest, a)
	}
	clear(t.attempts[len(rest):])
	t.attempts = rest
	return out
}

// repeat probes a member again, directly and through helpers.
func (t *Table) repeat(target kctport.Member, out []OutgoingProbe) []OutgoingProbe {
	out = append(out, t.send(target, RoundTimeout))
	for _, id := range t.some(helpers, target.ID) {
		s := t.send(t.entries[id].member, RoundTimeout)
		s.Probe.Target = target.ID
		out = append(out, s)
	}
	return out
}

func (t *Table) suspect(now time.Time, e *entry) {
	if e.member.State != kctport.MemberAlive {
		return
	}
	e.member.State, e.since = kctport.MemberSuspect, now
	t.tell(e.member)
	// Only the accuser tells the suspect at once; a probe by each entry would flood it.
	t.hurry(e.member.ID)
}

// bury declares suspects dead that did not refute in time.
func (t *Table) bury(now time.Time) {
	t.suspects = slices.DeleteFunc(t.suspects, func(id kctport.InstanceID) bool {
		e, ok := t.entries[id]
		if !ok || e.member.State != kctport.MemberSuspect {
			return true
		}
		if now.Sub(e.since) < t.suspicion {
			return false
		}
		e.member.State, e.since = kctport.MemberDead, now
		t.tell(e.member)
		return true
	})
}

// hasten sends the probes that do not wait for the period, a bounded number per tick.
func (t *Table) hasten(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	t.checks = slices.DeleteFunc(t.checks, func(c check) bool {
		if now.Before(c.at) {
			return false
		}
		t.hurry(c.id)
		return true
	})
	n := min(maxUrgent, len(t.urgent))
	for _, id := range t.urgent[:n] {
		out = t.probe(now, id, out)
	}
	t.urgent = slices.Delete(t.urgent, 0, n)
	return out
}

// regular sends the probes of one period.
func (t *Table) regular(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	t.periods++
	before := len(out)
	for len(t.first) > 0 && len(out) == before {
		id := t.first[0]
		t.first = t.first[1:]
		// Those heard meanwhile keep their turn: without them the turns would be a sample of members out of reach.
		if e, ok := t.entries[id]; ok && e.member.Alive() {
			out = t.sample(now, id, out)
		}
	}
	if len(out) == before {
		out = t.round(now, out)
	}
	alone := len(out) == before
	if alone || t.periods%deadEvery == 0 {
		out = t.probeDead(now, out)
	}
	if len(t.entries) == 0 || alone && t.periods%deadEvery == 0 {
		for _, m := range t.seeds {
			out = append(out, t.send(m, RoundTimeout))
		}
	}
	return out
}

// round probes the next live member of the random round.
func (t *Table) round(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	for range len(t.order) + 1 {
		if t.position >= len(t.order) {
			t.reshuffle()
			if len(t.order) == 0 {
				return out
			}
		}
		id := t.order[t.position]
		t.position++
		e, ok := t.entries[id]
		if !ok || !e.member.Alive() {
			continue
		}
		before := len(out)
		if out = t.sample(now, id, out); len(out) > before {
			return out
		}
	}
	return out
}

// reshuffle starts a new round and drops names that left the table.
func (t *Table) reshuffle() {
	t.position = 0
	t.order = slices.DeleteFunc(t.order, func(id kctport.InstanceID) bool { return t.entries[id] == nil })
	t.random.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// probeDead probes a random dead member, so that both sides of a healed partition find each other.
func (t *Table) probeDead(now time.Time, out []OutgoingProbe) []OutgoingProbe {
	for len(t.dead) > 0 {
		i := t.random.IntN(len(t.dead))
		id := t.dead[i]
		if e, ok := t.entries[id]; ok && e.member.State == kctport.MemberDead {
			return t.probe(now, id, out)
		}
		t.dead = slices.Delete(t.dead, i, i+1)
	}
	return out
}

// sweep forgets members that are gone for long, or dead and no longer on the platform's list.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for id, e := range t.entries {
		gone := now.Sub(e.since)
		unlisted := t.learned.Sub(e.listed) > ListGrace && !t.learned.IsZero()
		if !e.member.Alive() && (gone > Retention || unlisted && gone > ListGrace) {
			delete(t.entries, id)
		}
	}
	t.order = slices.DeleteFunc(t.order, func(id kctport.InstanceID) bool { return t.entries[id] == nil })
	t.position = min(t.position, len(t.order))
}
