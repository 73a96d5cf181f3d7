package kctmember

import (
	"slices"
	"time"

	kctport "kingcupturn"
)

// HandleProbe takes a probe from another entry and returns the reply; when the probe has another target, the reply of that target goes back instead (see Indirect).
func (t *Table) HandleProbe(now time.Time, probe kctport.Probe) kctport.ProbeReply {
	t.hear(now, probe.From)
	for _, m := range probe.Changes {
		t.merge(now, m)
	}
	return kctport.ProbeReply{From: t.self, Revision: t.self.Revision, Changes: t.changes(probe.From.ID)}
}

// Indirect returns the probe to send to the target on behalf of the asking entry, which gets the target's reply; it is false when the probe is for this entry or its target is unknown.
func (t *Table) Indirect(probe kctport.Probe) (OutgoingProbe, bool) {
	e, ok := t.entries[probe.Target]
	if !ok {
		return OutgoingProbe{}, false
	}
	return t.send(e.member, RoundTimeout/2), true
}

// HandleReply takes the reply to a probe sent to a member; the reply to an indirect probe comes from its target.
func (t *Table) HandleReply(now time.Time, to kctport.InstanceID, reply kctport.ProbeReply) {
	if e, ok := t.entries[to]; ok && reply.From.ID != to && t.entries[reply.From.ID] != nil {
		e.heard = now
	}
	t.hear(now, reply.From)
	for _, m := range reply.Changes {
		t.merge(now, m)
	}
	t.attempts = slices.DeleteFunc(t.attempts, func(a *attempt) bool { return a.id == reply.From.ID })
}

// HandleFailure takes the failure of a probe or of a session: helpers are asked at once if the member is being probed, otherwise it is probed at the next tick.
func (t *Table) HandleFailure(now time.Time, id kctport.InstanceID) {
	e, ok := t.entries[id]
	if !ok || !e.member.Alive() {
		return
	}
	if a := t.attempt(id); a != nil {
		if a.round == 0 {
			a.next = now
		}
		return
	}
	if now.Sub(e.tried) >= t.period {
		t.hurry(id)
	}
}

func (t *Table) attempt(id kctport.InstanceID) *attempt {
	for _, a := range t.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// probe starts a direct attempt at a member, unless one is running.
func (t *Table) probe(now time.Time, id kctport.InstanceID, out []OutgoingProbe) []OutgoingProbe {
	e, ok := t.entries[id]
	if !ok || e.member.State == kctport.MemberLeaving || t.attempt(id) != nil {
		return out
	}
	e.tried = now
	if e.member.Alive() {
		t.attempts = append(t.attempts, &attempt{id: id, next: now.Add(RoundTimeout)})
	}
	return append(out, t.send(e.member, RoundTimeout))
}

func (t *Table) send(to kctport.Member, timeout time.Duration) OutgoingProbe {
	return OutgoingProbe{To: to, Timeout: timeout, Probe: kctport.Probe{
		From: t.self, Revision: t.self.Revision, Changes: t.changes(to.ID),
	}}
}

// changes returns the statements to piggyback on a message to a member, first the one that the member has to refute.
func (t *Table) changes(to kctport.InstanceID) []kctport.Member {
	out := make([]kctport.Member, 0, maxFill+1)
	if e, ok := t.entries[to]; ok && (e.member.State == kctport.MemberSuspect || e.member.State == kctport.MemberDead) {
		out = append(out, e.member)
	}
	for _, g := range []*gossip{&t.news, &t.joins} {
		for _, id := range g.take(maxChanges-len(out), len(t.entries)+1) {
			if m, ok := t.Member(id); ok && id != to && id != t.self.ID {
				out = append(out, m)
			}
		}
	}
	for i := len(out); i < maxFill && len(t.order) > 0; i++ {
		id := t.order[t.random.IntN(len(t.order))]
		if e, ok := t.entries[id]; ok && id != to {
			out = append(out, e.member)
		}
	}
	return out
}

// some returns up to limit random live members other than one.
func (t *Table) some(limit int, except kctport.InstanceID) []kctport.InstanceID {
	var out []kctport.InstanceID
	for range 4 * limit {
		if len(t.order) == 0 || len(out) == limit {
			break
		}
		id := t.order[t.random.IntN(len(t.order))]
		e, ok := t.entries[id]
		if ok && id != except && e.member.State == kctport.MemberAlive && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}
