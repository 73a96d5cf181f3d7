package kctmember

import (
	"slices"
	"time"

	kctport "kingcupturn"
)

// maxRetired bounds the earlier incarnations kept of one member.
const maxRetired = 4

// AddListed adds members from the settings or the platform's list, and never changes the state of a known member, since the list lags.
func (t *Table) AddListed(now time.Time, members []kctport.Member) {
	for _, m := range members {
		if m.ID == t.self.ID {
			continue
		}
		if m.ID == "" {
			t.addSeed(m)
			continue
		}
		p, ok := t.peers[m.ID]
		if !ok {
			if !m.Alive() {
				continue
			}
			m.State = kctport.MemberAlive
			p = t.add(now, m)
			// All entries get the same list; probing in its order, they would all probe the same member at the same time.
			t.unprobed = append(t.unprobed, m.ID)
			i := t.random.IntN(len(t.unprobed))
			t.unprobed[i], t.unprobed[len(t.unprobed)-1] = t.unprobed[len(t.unprobed)-1], t.unprobed[i]
		}
		p.lastListed = now
		t.lastList = now
	}
}

// addSeed adds an address without an instance ID, which is probed while no live member is known.
func (t *Table) addSeed(m kctport.Member) {
	same := func(s kctport.Member) bool { return s.Peer == m.Peer }
	if m.Peer != t.self.Peer && !slices.ContainsFunc(t.seeds, same) {
		t.seeds = append(t.seeds, m)
	}
}

// receive applies a message from the member itself, which overrides all statements about other incarnations.
func (t *Table) receive(now time.Time, m kctport.Member) {
	if m.ID == t.self.ID || m.ID == "" {
		return
	}
	p, ok := t.peers[m.ID]
	switch {
	case !ok:
		p = t.add(now, m)
	case p.member.Incarnation != m.Incarnation:
		t.replace(now, p, m)
	default:
		t.update(now, p, m)
	}
	p.contact = now
	if p.member.State == kctport.MemberDead {
		// The next probe carries the statement of its death to the member, which refutes it in the reply.
		t.probeSoon(m.ID)
	}
}

// merge applies a statement about a member made by another one.
func (t *Table) merge(now time.Time, m kctport.Member) {
	if m.ID == t.self.ID {
		t.refute(m)
		return
	}
	p, ok := t.peers[m.ID]
	switch {
	case !ok:
		if m.Alive() {
			t.add(now, m)
		}
	case p.member.Incarnation == m.Incarnation:
		t.update(now, p, m)
	case m.Incarnation == 0 || slices.Contains(p.retired, m.Incarnation):
		return
	case p.member.Incarnation == 0 || m.Alive():
		confirmed := p.member.Incarnation == 0 && m.Alive()
		t.replace(now, p, m)
		if !confirmed {
			// Incarnations are random, so only a probe of the member shows which one is newer.
			delay := time.Duration(1+t.random.IntN(len(t.peers)+1)) * verifyJitter
			t.delayed = append(t.delayed, delayedProbe{id: m.ID, at: now.Add(delay)})
		}
	}
}

// refute raises this entry's counter above that of a statement that it isn't alive.
func (t *Table) refute(m kctport.Member) {
	if m.Incarnation != 0 && m.Incarnation != t.self.Incarnation {
		return
	}
	if m.State == kctport.MemberAlive || m.Counter < t.self.Counter || t.self.State == kctport.MemberLeaving {
		return
	}
	t.self.Counter = m.Counter + 1
	t.version++
	t.updates.add(t.self.ID)
}

// replace puts a new incarnation in place of a member's current one.
func (t *Table) replace(now time.Time, p *peer, m kctport.Member) {
	if old := p.member.Incarnation; old != 0 {
		p.retired = append(p.retired, old)
		if len(p.retired) > maxRetired {
			p.retired = p.retired[1:]
		}
	}
	p.retired = slices.DeleteFunc(p.retired, func(i kctport.Incarnation) bool { return i == m.Incarnation })
	p.member, p.stateSince = m, now
	t.announce(m)
}

// update applies a statement about the known incarnation if it is newer.
func (t *Table) update(now time.Time, p *peer, m kctport.Member) {
	m.Revision = max(m.Revision, p.member.Revision)
	if m.Revision != p.member.Revision {
		p.member.Revision = m.Revision
		t.version++
	}
	if !newer(m, p.member) {
		return
	}
	if m.State != p.member.State {
		p.stateSince = now
	}
	p.member = m
	t.announce(m)
}

// newer reports whether statement a supersedes statement b about the same incarnation.
func newer(a, b kctport.Member) bool {
	return a.Counter > b.Counter || a.Counter == b.Counter && a.State > b.State
}

// probeSoon queues a member for a probe in the next tick.
func (t *Table) probeSoon(id kctport.InstanceID) {
	if !slices.Contains(t.urgent, id) {
		t.urgent = append(t.urgent, id)
	}
}
