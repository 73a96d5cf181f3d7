package kctmember

import (
	"slices"
	"time"

	kctport "kingcupturn"
)

// HandleProbe applies a probe from another entry and returns the reply; if the probe has another target, the caller sends that target's reply instead
// (see Indirect).
func (t *Table) HandleProbe(now time.Time, probe kctport.Probe) kctport.ProbeReply {
	t.receive(now, probe.From)
	for _, m := range probe.Changes {
		t.merge(now, m)
	}
	return kctport.ProbeReply{From: t.self, Revision: t.self.Revision, Changes: t.piggyback(probe.From.ID)}
}

// Indirect returns the probe to send to the target on behalf of the requesting entry, which gets the target's reply, and false if the probe is for this
// entry or its target is unknown.
func (t *Table) Indirect(probe kctport.Probe) (OutgoingProbe, bool) {
	p, ok := t.peers[probe.Target]
	if !ok {
		return OutgoingProbe{}, false
	}
	return t.outgoing(p.member, RoundTimeout/2), true
}

// HandleReply applies the reply to a probe sent to a member; the reply to an indirect probe comes from its target.
func (t *Table) HandleReply(now time.Time, to kctport.InstanceID, reply kctport.ProbeReply) {
	if p, ok := t.peers[to]; ok && reply.From.ID != to && t.peers[reply.From.ID] != nil {
		p.contact = now
	}
	t.receive(now, reply.From)
	for _, m := range reply.Changes {
		t.merge(now, m)
	}
	t.attempts = slices.DeleteFunc(t.attempts, func(a *attempt) bool { return a.id == reply.From.ID })
}

// HandleFailure handles the failure of a probe or of a session: the member is probed in the next tick, also through helpers if it is being probed
// already.
func (t *Table) HandleFailure(now time.Time, id kctport.InstanceID) {
	p, ok := t.peers[id]
	if !ok || !p.member.Alive() {
		return
	}
	if a := t.attempt(id); a != nil {
		if a.round == 0 {
			a.roundEnd = now
		}
		return
	}
	if now.Sub(p.lastProbed) >= t.period {
		t.probeSoon(id)
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
	p, ok := t.peers[id]
	if !ok || p.member.State == kctport.MemberLeaving || t.attempt(id) != nil {
		return out
	}
	p.lastProbed = now
	if p.member.Alive() {
		t.attempts = append(t.attempts, &attempt{id: id, roundEnd: now.Add(RoundTimeout)})
	}
	return append(out, t.outgoing(p.member, RoundTimeout))
}

func (t *Table) outgoing(to kctport.Member, timeout time.Duration) OutgoingProbe {
	return OutgoingProbe{To: to, Timeout: timeout, Probe: kctport.Probe{
		From: t.self, Revision: t.self.Revision, Changes: t.piggyback(to.ID),
	}}
}

// piggyback returns the statements to add to a message to a member, first the one that the member has to refute.
func (t *Table) piggyback(to kctport.InstanceID) []kctport.Member {
	out := make([]kctport.Member, 0, maxRandom+1)
	if p, ok := t.peers[to]; ok && (p.member.State == kctport.MemberSuspect || p.member.State == kctport.MemberDead) {
		out = append(out, p.member)
	}
	for _, g := range []*gossipQueue{&t.updates, &t.joins} {
		for _, id := range g.dequeue(maxChanges-len(out), len(t.peers)+1) {
			if m, ok := t.Member(id); ok && id != to && id != t.self.ID {
				out = append(out, m)
			}
		}
	}
	for i := len(out); i < maxRandom && len(t.order) > 0; i++ {
		id := t.order[t.random.IntN(len(t.order))]
		if p, ok := t.peers[id]; ok && id != to {
			out = append(out, p.member)
		}
	}
	return out
}

// randomAlive returns up to limit random live members other than except.
func (t *Table) randomAlive(limit int, except kctport.InstanceID) []kctport.InstanceID {
	var out []kctport.InstanceID
	for range 4 * limit {
		if len(t.order) == 0 || len(out) == limit {
			break
		}
		id := t.order[t.random.IntN(len(t.order))]
		p, ok := t.peers[id]
		if ok && id != except && p.member.State == kctport.MemberAlive && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}
