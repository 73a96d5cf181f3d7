package kctmember

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	kctport "kingcupturn"
)

// OutgoingProbe is a probe to send now; its reply goes to HandleReply, its failure to HandleFailure with Subject.
type OutgoingProbe struct {
	To    kctport.Member
	Probe kctport.Probe
	// Timeout is how long the sender waits for the reply.
	Timeout time.Duration
}

// Subject names the member whose liveness the probe asks for.
func (s OutgoingProbe) Subject() kctport.InstanceID {
	if s.Probe.Target != "" {
		return s.Probe.Target
	}
	return s.To.ID
}

// entry is what the table knows of one other member.
type entry struct {
	member kctport.Member
	// since is when the state last changed.
	since time.Time
	// heard and tried are when the member last answered or asked, and was last probed.
	heard time.Time
	tried time.Time
	turn  turn
	// listed is when the platform's list last had the member.
	listed time.Time
	// retired holds earlier incarnations, whose late statements are ignored.
	retired []kctport.Incarnation
}

// attempt is a series of probes of one member: a direct one, then rounds with another direct one and helpers.
type attempt struct {
	id kctport.InstanceID
	// next is when the current round ends.
	next  time.Time
	round int
}

// check is a probe due at a later time.
type check struct {
	id kctport.InstanceID
	at time.Time
}

// Table is one entry's picture of the membership; it is owned by one goroutine.
type Table struct {
	self      kctport.Member
	random    *rand.Rand
	period    time.Duration
	suspicion time.Duration

	entries map[kctport.InstanceID]*entry
	// order is the random round of probes; names that left the table are skipped.
	order    []kctport.InstanceID
	position int
	first    []kctport.InstanceID
	urgent   []kctport.InstanceID
	checks   []check
	seeds    []kctport.Member
	attempts []*attempt
	suspects []kctport.InstanceID
	// dead lists members found dead; those that returned are dropped when met.
	dead []kctport.InstanceID
	// news goes out before joins, which can be thousands when a fleet starts and would delay it.
	news  gossip
	joins gossip

	last     time.Time
	next     time.Time
	periods  int
	learned  time.Time
	swept    time.Time
	farewell bool
	version  uint64
}

// NewTable returns a table that knows only this entry; the seed orders its random choices.
func NewTable(self kctport.Member, seed int64, opts ...Option) *Table {
	t := &Table{
		self:      self,
		random:    rand.New(rand.NewPCG(uint64(seed), uint64(self.Incarnation))),
		period:    Period,
		suspicion: SuspicionTimeout,
		entries:   map[kctport.InstanceID]*entry{},
		news:      newGossip(),
		joins:     newGossip(),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Self returns this entry as it announces itself.
func (t *Table) Self() kctport.Member {
	return t.self
}

// SetRevision sets the configuration revision that probes carry.
func (t *Table) SetRevision(r kctport.Revision) {
	if r > t.self.Revision {
		t.self.Revision = r
		t.version++
	}
}

// Leave announces the departure of this entry; it goes on answering probes.
func (t *Table) Leave(_ time.Time) {
	if t.self.State == kctport.MemberLeaving {
		return
	}
	t.self.State = kctport.MemberLeaving
	t.version++
	t.self.Counter++
	t.news.add(t.self.ID)
	t.farewell = true
}

// Version changes whenever Members may return something else.
func (t *Table) Version() uint64 {
	return t.version
}

// Members returns this entry and the live other ones, sorted by name.
func (t *Table) Members() []kctport.Member {
	out := make([]kctport.Member, 0, len(t.entries)+1)
	out = append(out, t.self)
	for _, e := range t.entries {
		if e.member.Alive() {
			out = append(out, e.member)
		}
	}
	slices.SortFunc(out, func(a, b kctport.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return out
}

// Member returns what is known of a member, whatever its state.
func (t *Table) Member(id kctport.InstanceID) (kctport.Member, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	if e, ok := t.entries[id]; ok {
		return e.member, true
	}
	return kctport.Member{}, false
}

// add puts a new member into the table and at a random place of the probe round.
func (t *Table) add(now time.Time, m kctport.Member) *entry {
	e := &entry{member: m, since: now}
	t.entries[m.ID] = e
	t.version++
	t.order = append(t.order, m.ID)
	i := t.random.IntN(len(t.order))
	t.order[i], t.order[len(t.order)-1] = t.order[len(t.order)-1], t.order[i]
	t.tell(m)
	return e
}

// tell makes others learn a member's new state, and starts what the state requires here.
func (t *Table) tell(m kctport.Member) {
	t.version++
	if m.State == kctport.MemberAlive && m.Counter == 0 {
		if m.Incarnation != 0 {
			t.joins.add(m.ID)
		}
		return
	}
	t.joins.remove(m.ID)
	t.news.add(m.ID)
	switch {
	case m.State == kctport.MemberSuspect && !slices.Contains(t.suspects, m.ID):
		t.suspects = append(t.suspects, m.ID)
	case m.State == kctport.MemberDead && !slices.Contains(t.dead, m.ID):
		t.dead = append(t.dead, m.ID)
	}
}
