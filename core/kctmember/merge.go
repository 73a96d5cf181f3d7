package kctmember

import (
	"slices"
	"time"

	kctport "kingcupturn"
)

// maxRetired bounds the remembered incarnations of one member.
const maxRetired = 4

// AddListed adds members from the settings or from the platform's list; it never changes the state of a known member, since the list lags.
func (t *Table) AddListed(now time.Time, members []kctport.Member) {
	for _, m := range members {
		if m.ID == t.self.ID {
			continue
		}
		if m.ID == "" {
			t.learnSeed(m)
			continue
		}
		e, ok := t.entries[m.ID]
		if !ok {
			if !m.Alive() {
				continue
			}
			m.State = kctport.MemberAlive
			e = t.add(now, m)
			// Entries get the same list; in its order they would all probe one member after the other.
			t.first = append(t.first, m.ID)
			i := t.random.IntN(len(t.first))
			t.first[i], t.first[len(t.first)-1] = t.first[len(t.first)-1], t.first[i]
		}
		e.listed = now
		t.learned = now
	}
}

// learnSeed keeps an address without a name, which is probed while no member is known.
func (t *Table) learnSeed(m kctport.Member) {
	same := func(s kctport.Member) bool { return s.Peer == m.Peer }
	if m.Peer != t.self.Peer && !slices.ContainsFunc(t.seeds, same) {
		t.seeds = append(t.seeds, m)
	}
}

// hear takes a message that came from the member itself, which outranks every statement about another incarnation.
func (t *Table) hear(now time.Time, m kctport.Member) {
	if m.ID == t.self.ID || m.ID == "" {
		return
	}
	e, ok := t.entries[m.ID]
	switch {
	case !ok:
		e = t.add(now, m)
	case e.member.Incarnation != m.Incarnation:
		t.replace(now, e, m)
	default:
		t.update(now, e, m)
	}
	e.heard = now
	if e.member.State == kctport.MemberDead {
		// The member is told of its death by the next probe and refutes it in the reply.
		t.hurry(m.ID)
	}
}

// merge takes a statement about a member from another one.
func (t *Table) merge(now time.Time, m kctport.Member) {
	if m.ID == t.self.ID {
		t.refute(m)
		return
	}
	e, ok := t.entries[m.ID]
	switch {
	case !ok:
		if m.Alive() {
			t.add(now, m)
		}
	case e.member.Incarnation == m.Incarnation:
		t.update(now, e, m)
	case m.Incarnation == 0 || slices.Contains(e.retired, m.Incarnation):
		return
	case e.member.Incarnation == 0 || m.Alive():
		sure := e.member.Incarnation == 0 && m.Alive()
		t.replace(now, e, m)
		if !sure {
			// Which of two random incarnations is newer only the member itself can say.
			spread := time.Duration(1+t.random.IntN(len(t.entries)+1)) * verifySpread
			t.checks = append(t.checks, check{id: m.ID, at: now.Add(spread)})
		}
	}
}

// refute raises this entry's counter above a statement that it is not alive.
func (t *Table) refute(m kctport.Member) {
	if m.Incarnation != 0 && m.Incarnation != t.self.Incarnation {
		return
	}
	if m.State == kctport.MemberAlive || m.Counter < t.self.Counter || t.self.State == kctport.MemberLeaving {
		return
	}
	t.self.Counter = m.Counter + 1
	t.version++
	t.news.add(t.self.ID)
}

// replace starts a new life of a member.
func (t *Table) replace(now time.Time, e *entry, m kctport.Member) {
	if old := e.member.Incarnation; old != 0 {
		e.retired = append(e.retired, old)
		if len(e.retired) > maxRetired {
			e.retired = e.retired[1:]
		}
	}
	e.retired = slices.DeleteFunc(e.retired, func(i kctport.Incarnation) bool { return i == m.Incarnation })
	e.member, e.since = m, now
	t.tell(m)
}

// update applies a statement about the known incarnation if it is newer.
func (t *Table) update(now time.Time, e *entry, m kctport.Member) {
	m.Revision = max(m.Revision, e.member.Revision)
	if m.Revision != e.member.Revision {
		e.member.Revision = m.Revision
		t.version++
	}
	if !newer(m, e.member) {
		return
	}
	if m.State != e.member.State {
		e.since = now
	}
	e.member = m
	t.tell(m)
}

// newer orders statements about one incarnation.
func newer(a, b kctport.Member) bool {
	return a.Counter > b.Counter || a.Counter == b.Counter && a.State > b.State
}

// hurry asks for a probe of a member at the next tick.
func (t *Table) hurry(id kctport.InstanceID) {
	if !slices.Contains(t.urgent, id) {
		t.urgent = append(t.urgent, id)
	}
}
