package kctslope

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/core/kctmember"
)

const (
	// gossipStep is the simulated time between two ticks of a member.
	gossipStep = 100 * time.Millisecond
	// gossipTimeout bounds the simulated time of one measurement.
	gossipTimeout = 5 * time.Minute
	// pushTargets is the number of random members to which control pushes a new configuration in a large fleet.
	pushTargets = 8
)

// gossip simulates the member tables of a fleet in steps of simulated time; messages arrive within the step and are never lost.
type gossip struct {
	now    time.Time
	random *rand.Rand
	tables []*kctmember.Table
	index  map[kctport.InstanceID]int
	// silent is the set of members that neither send nor answer.
	silent map[int]bool
	// updated marks the members that have the new configuration.
	updated []bool
	// pushing lists the members that push the new configuration in the next step.
	pushing []int
}

func newGossip(members int, seed uint64) *gossip {
	g := &gossip{
		now: newClock().Now(), random: rand.New(rand.NewPCG(seed, uint64(members))),
		index: map[kctport.InstanceID]int{}, silent: map[int]bool{}, updated: make([]bool, members),
	}
	list := make([]kctport.Member, members)
	for n := range list {
		list[n] = targetMember(n)
		g.index[list[n].ID] = n
	}
	for n := range list {
		t := kctmember.NewTable(list[n], int64(seed)*targetMembers+int64(n))
		t.AddListed(g.now, list)
		g.tables = append(g.tables, t)
	}
	return g
}

// step ticks every member once and delivers its probes.
func (g *gossip) step() {
	g.now = g.now.Add(gossipStep)
	g.push()
	for n, t := range g.tables {
		if g.silent[n] {
			continue
		}
		for _, s := range t.Tick(g.now) {
			g.deliver(n, s)
		}
	}
}

// push sends the configuration from each member that received it in the last step to pushTargets random members.
func (g *gossip) push() {
	from := g.pushing
	g.pushing = nil
	for range from {
		for range pushTargets {
			g.adopt(g.random.IntN(len(g.tables)))
		}
	}
}

func (g *gossip) adopt(n int) {
	if !g.updated[n] && !g.silent[n] {
		g.updated[n] = true
		g.pushing = append(g.pushing, n)
	}
}

func (g *gossip) deliver(from int, s kctmember.OutgoingProbe) {
	to := g.index[s.To.ID]
	if g.silent[to] {
		return
	}
	// When a probe shows different revisions, the member with the older one pulls the newer one.
	if g.updated[from] || g.updated[to] {
		g.adopt(from)
		g.adopt(to)
	}
	reply := g.tables[to].HandleProbe(g.now, s.Probe)
	if next, ok := g.tables[to].Indirect(s.Probe); ok {
		target := g.index[next.To.ID]
		if g.silent[target] {
			return
		}
		reply = g.tables[target].HandleProbe(g.now, next.Probe)
	}
	g.tables[from].HandleReply(g.now, s.To.ID, reply)
}

// runUntil steps until a condition holds and returns the simulated time it took, or kctport.ErrTimeout after gossipTimeout.
func (g *gossip) runUntil(ctx context.Context, condition func() bool) (time.Duration, error) {
	start := g.now
	for !condition() {
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		if g.now.Sub(start) > gossipTimeout {
			return 0, eris.Wrapf(kctport.ErrTimeout, "condition not reached within %v of simulated time", gossipTimeout)
		}
		g.step()
	}
	return g.now.Sub(start), nil
}

// measureGossip measures detection of a silent member and propagation of a change in simulated time.
func (m *measurement) measureGossip(ctx context.Context) ([]Series, error) {
	sizes := []int{9, 50, 200, 500, 1500}
	if m.short {
		sizes = []int{9, 18, 50, 100}
	}
	t := table{part: "simulation"}
	for _, n := range sizes {
		m.log("simulating %d members", n)
		if err := m.measureGossipSize(ctx, &t, n); err != nil {
			return nil, err
		}
	}
	return t.fitted(), nil
}

func (m *measurement) measureGossipSize(ctx context.Context, t *table, members int) error {
	g := newGossip(members, m.seed)
	for range 50 {
		g.step()
	}
	x := float64(members)
	g.adopt(0)
	took, err := g.runUntil(ctx, func() bool { return g.count(func(n int) bool { return g.updated[n] }) == members })
	if err != nil {
		return err
	}
	t.add("members", x, "simulated time until a change is in force everywhere (s)", took.Seconds())
	last := members - 1
	g.silent[last] = true
	detected := func(n int) bool { return n == last || !g.alive(n, last) }
	first, err := g.runUntil(ctx, func() bool { return g.count(detected) > 1 })
	if err != nil {
		return err
	}
	remaining, err := g.runUntil(ctx, func() bool { return g.count(detected) == members })
	if err != nil {
		return err
	}
	t.add("members", x, "simulated time until the first knows of a silent member (s)", first.Seconds())
	t.add("members", x, "simulated time until all know of a silent member (s)", (first + remaining).Seconds())
	return nil
}

func (g *gossip) count(holds func(n int) bool) int {
	count := 0
	for n := range g.tables {
		if holds(n) {
			count++
		}
	}
	return count
}

func (g *gossip) alive(table, member int) bool {
	m, ok := g.tables[table].Member(targetMember(member).ID)
	return ok && m.Alive()
}
