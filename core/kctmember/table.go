package kctmember

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	kctport "kingcupturn"
)

// OutgoingProbe is a probe to send now; the caller passes its reply to HandleReply, or its failure to HandleFailure with the Subject.
type OutgoingProbe struct {
	To    kctport.Member
	Probe kctport.Probe
	// Timeout is how long the sender waits for the reply.
	Timeout time.Duration
}

// Subject returns the member whose liveness the probe checks.
func (s OutgoingProbe) Subject() kctport.InstanceID {
	if s.Probe.Target != "" {
		return s.Probe.Target
	}
	return s.To.ID
}

// peer is the state of one other member.
type peer struct {
	member kctport.Member
	// stateSince is when the state last changed.
	stateSince time.Time
	// contact is when the member last answered or sent a probe, lastProbed when it was last probed.
	contact    time.Time
	lastProbed time.Time
	sample     sample
	// lastListed is when the member was last on the platform's list.
	lastListed time.Time
	// retired holds earlier incarnations; late statements about them are ignored.
	retired []kctport.Incarnation
}

// attempt is a series of probes of one member: a direct one, then rounds of a direct one and indirect ones through helpers.
type attempt struct {
	id kctport.InstanceID
	// roundEnd is when the current round ends.
	roundEnd time.Time
	round    int
}

// delayedProbe is a probe due at a later time.
type delayedProbe struct {
	id kctport.InstanceID
	at time.Time
}

// Table is one entry's view of the membership; it isn't safe for concurrent use.
type Table struct {
	self             kctport.Member
	random           *rand.Rand
	period           time.Duration
	suspicionTimeout time.Duration

	peers map[kctport.InstanceID]*peer
	// order is the random order of regular probes; members no longer in the table are skipped.
	order    []kctport.InstanceID
	position int
	unprobed []kctport.InstanceID
	urgent   []kctport.InstanceID
	delayed  []delayedProbe
	seeds    []kctport.Member
	attempts []*attempt
	suspects []kctport.InstanceID
	// dead lists members found dead; those that are no longer dead are dropped when probeDead selects them.
	dead []kctport.InstanceID
	// updates is sent before joins, which can be thousands when a fleet starts and would delay the updates.
	updates gossipQueue
	joins   gossipQueue

	lastTick     time.Time
	nextPeriod   time.Time
	periods      int
	lastList     time.Time
	lastSweep    time.Time
	leavePending bool
	version      uint64
}

// NewTable returns a table with only this entry; the seed determines its random choices.
func NewTable(self kctport.Member, seed int64, opts ...Option) *Table {
	t := &Table{
		self:             self,
		random:           rand.New(rand.NewPCG(uint64(seed), uint64(self.Incarnation))),
		period:           Period,
		suspicionTimeout: SuspicionTimeout,
		peers:            map[kctport.InstanceID]*peer{},
		updates:          newGossipQueue(),
		joins:            newGossipQueue(),
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

// Leave announces the departure of this entry, which continues to answer probes.
func (t *Table) Leave(_ time.Time) {
	if t.self.State == kctport.MemberLeaving {
		return
	}
	t.self.State = kctport.MemberLeaving
	t.version++
	t.self.Counter++
	t.updates.add(t.self.ID)
	t.leavePending = true
}

// Version returns a number that changes whenever the result of Members may have changed.
func (t *Table) Version() uint64 {
	return t.version
}

// Members returns this entry and the other live ones, sorted by ID.
func (t *Table) Members() []kctport.Member {
	out := make([]kctport.Member, 0, len(t.peers)+1)
	out = append(out, t.self)
	for _, p := range t.peers {
		if p.member.Alive() {
			out = append(out, p.member)
		}
	}
	slices.SortFunc(out, func(a, b kctport.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return out
}

// Member returns a member in any state, and false if it is unknown.
func (t *Table) Member(id kctport.InstanceID) (kctport.Member, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	if p, ok := t.peers[id]; ok {
		return p.member, true
	}
	return kctport.Member{}, false
}

// add puts a new member into the table and at a random place in the probe order.
func (t *Table) add(now time.Time, m kctport.Member) *peer {
	p := &peer{member: m, stateSince: now}
	t.peers[m.ID] = p
	t.version++
	t.order = append(t.order, m.ID)
	i := t.random.IntN(len(t.order))
	t.order[i], t.order[len(t.order)-1] = t.order[len(t.order)-1], t.order[i]
	t.announce(m)
	return p
}

// announce queues a member's new state for the other members and tracks it if it is suspect or dead.
func (t *Table) announce(m kctport.Member) {
	t.version++
	if m.State == kctport.MemberAlive && m.Counter == 0 {
		if m.Incarnation != 0 {
			t.joins.add(m.ID)
		}
		return
	}
	t.joins.remove(m.ID)
	t.updates.add(m.ID)
	switch {
	case m.State == kctport.MemberSuspect && !slices.Contains(t.suspects, m.ID):
		t.suspects = append(t.suspects, m.ID)
	case m.State == kctport.MemberDead && !slices.Contains(t.dead, m.ID):
		t.dead = append(t.dead, m.ID)
	}
}
