package kctmember

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	kctport "kingcupturn"
)

// simTick is the interval at which simulated members call Tick.
const simTick = 50 * time.Millisecond

// event is an action at a simulated time.
type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim runs many tables over a simulated lossy network and clock.
type sim struct {
	now    time.Time
	random *rand.Rand
	queue  events
	seq    int
	tables map[kctport.InstanceID]*Table
	// stopped members neither tick nor answer; members with different partitions can't reach each other.
	stopped   map[kctport.InstanceID]bool
	partition map[kctport.InstanceID]int
	// brokenPath is a pair of members that can't reach each other, but all others.
	brokenPath [2]kctport.InstanceID
	loss       float64
	probes     int
	bytes      int
	largest    int
}

func simID(i int) kctport.InstanceID { return kctport.InstanceID(fmt.Sprintf("entry%d", i)) }

func simMember(i int) kctport.Member {
	return kctport.Member{
		ID: simID(i), Incarnation: kctport.Incarnation(1000 + i), Zone: "zone1",
		Peer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7001),
	}
}

// simList returns the platform's list of n members, which has no incarnations.
func simList(n int) []kctport.Member {
	var list []kctport.Member
	for i := range n {
		m := simMember(i)
		m.Incarnation = 0
		list = append(list, m)
	}
	return list
}

// newSim starts n members that have each other's records from the platform's list.
func newSim(n int, seed uint64) *sim {
	s := &sim{
		now: time.Unix(0, 0).Add(time.Hour), random: rand.New(rand.NewPCG(seed, 1)),
		tables:  map[kctport.InstanceID]*Table{},
		stopped: map[kctport.InstanceID]bool{}, partition: map[kctport.InstanceID]int{},
	}
	list := simList(n)
	for i := range n {
		t := NewTable(simMember(i), int64(seed)*1000+int64(i))
		t.AddListed(s.now, list)
		s.start(simID(i), t)
	}
	return s
}

func (s *sim) start(id kctport.InstanceID, t *Table) {
	s.tables[id] = t
	s.after(time.Duration(s.random.Int64N(int64(simTick))), func(now time.Time) { s.tick(now, id, t) })
}

func (s *sim) after(d time.Duration, do func(now time.Time)) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do(e.at)
	}
	s.now = end
}

func (s *sim) tick(now time.Time, id kctport.InstanceID, t *Table) {
	if s.tables[id] != t {
		return
	}
	if !s.stopped[id] {
		for _, send := range t.Tick(now) {
			s.send(id, t, send)
		}
	}
	s.after(simTick, func(now time.Time) { s.tick(now, id, t) })
}

// deliver delivers a message after 1 to 5 ms, or drops it.
func (s *sim) deliver(from, to kctport.InstanceID, size int, do func(now time.Time)) {
	s.bytes += size
	s.largest = max(s.largest, size)
	if s.random.Float64() < s.loss || s.partition[from] != s.partition[to] {
		return
	}
	if s.brokenPath == [2]kctport.InstanceID{from, to} || s.brokenPath == [2]kctport.InstanceID{to, from} {
		return
	}
	s.after(time.Millisecond+time.Duration(s.random.Int64N(int64(4*time.Millisecond))), func(now time.Time) {
		if !s.stopped[to] && s.tables[to] != nil {
			do(now)
		}
	})
}

func (s *sim) send(id kctport.InstanceID, t *Table, send OutgoingProbe) {
	s.probes++
	s.exchange(id, send, func(now time.Time, reply kctport.ProbeReply) { t.HandleReply(now, send.To.ID, reply) })
}

// exchange delivers a probe, the indirect one if it has another target, and the reply.
func (s *sim) exchange(from kctport.InstanceID, send OutgoingProbe, done func(time.Time, kctport.ProbeReply)) {
	to := send.To.ID
	s.deliver(from, to, size(send.Probe.Changes), func(now time.Time) {
		reply := s.tables[to].HandleProbe(now, send.Probe)
		back := func(_ time.Time, r kctport.ProbeReply) {
			s.deliver(to, from, size(r.Changes), func(now time.Time) { done(now, r) })
		}
		next, ok := s.tables[to].Indirect(send.Probe)
		if !ok {
			back(now, reply)
			return
		}
		helper := s.tables[to]
		s.exchange(to, next, func(now time.Time, r kctport.ProbeReply) {
			helper.HandleReply(now, next.To.ID, r)
			back(now, r)
		})
	})
}

// size returns the encoded size of a message: a header and 64 bytes per member, as io/kctproto needs for IDs of this length.
func size(changes []kctport.Member) int { return 16 + 64*(1+len(changes)) }

// countInState counts the running members that have a member in one of the states.
func (s *sim) countInState(id kctport.InstanceID, states ...kctport.MemberState) int {
	n := 0
	for other, t := range s.tables {
		if other == id || s.stopped[other] {
			continue
		}
		m, ok := t.Member(id)
		for _, st := range states {
			if ok && m.State == st {
				n++
			}
		}
	}
	return n
}

// deadPairs counts the ordered pairs of running members of which the first has declared the second dead.
func (s *sim) deadPairs() int {
	n := 0
	for id := range s.tables {
		if !s.stopped[id] {
			n += s.countInState(id, kctport.MemberDead)
		}
	}
	return n
}

// TestDetection guards against a stopped member that others don't declare dead within 10 s, and against live ones declared dead.
func TestDetection(t *testing.T) {
	for _, n := range []int{2, 9, 50} {
		s := newSim(n, 1)
		s.run(30 * time.Second)
		if d := s.deadPairs(); d != 0 {
			t.Errorf("%d members: %d false deaths without a fault", n, d)
		}
		s.stopped[simID(0)] = true
		start := s.now
		for s.countInState(simID(0), kctport.MemberDead) < n-1 && s.now.Sub(start) < 20*time.Second {
			s.run(simTick)
		}
		took := s.now.Sub(start)
		t.Logf("%d members: death known to all after %v", n, took)
		if took > 10*time.Second {
			t.Errorf("%d members: death known to %d after %v", n, s.countInState(simID(0), kctport.MemberDead), took)
		}
	}
}
