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
	// gossipStep is the simulated time between the ticks of a member.
	gossipStep = 100 * time.Millisecond
	// gossipLimit bounds the simulated time of one measurement.
	gossipLimit = 5 * time.Minute
	// pushTargets is the number of random members to which control pushes a new configuration in a large fleet.
	pushTargets = 8
)

// gossip runs the member tables of a fleet in steps of simulated time; messages arrive within a step and none is lost.
type gossip struct {
	now    time.Time
	random *rand.Rand
	tables []*kctmember.Table
	index  map[kctport.InstanceID]int
	// silent members neither send nor answer.
	silent map[int]bool
	// revised are members with the new configuration.
	revised []bool
	pushing []int
}

func newGossip(members int, seed uint64) *gossip {
	g := &gossip{
		now: newClock().Now(), random: rand.New(rand.NewPCG(seed, uint64(members))),
		index: map[kctport.InstanceID]int{}, silent: map[int]bool{}, revised: make([]bool, members),
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

// step lets every member tick once and delivers its probes.
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

// push sends the configuration from each member that got it in the last step to some random ones.
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
	if !g.revised[n] && !g.silent[n] {
		g.revised[n] = true
		g.pushing = append(g.pushing, n)
	}
}

func (g *gossip) deliver(from int, s kctmember.OutgoingProbe) {
	to := g.index[s.To.ID]
	if g.silent[to] {
		return
	}
	// A probe between two members makes the one that is behind pull.
	if g.revised[from] || g.revised[to] {
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

// until steps until a condition holds and returns the simulated time.
func (g *gossip) until(ctx context.Context, holds func() bool) (time.Duration, error) {
	start := g.now
	for !holds() {
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		if g.now.Sub(start) > gossipLimit {
			return 0, eris.Wrapf(kctport.ErrTimeout, "not reached in %v of simulated time", gossipLimit)
		}
		g.step()
	}
	return g.now.Sub(start), nil
}

// simulate measures detection and propagation with member tables in simulated time.
func (m *measurement) simulate(ctx context.Context) ([]Series, error) {
	sizes := []int{9, 50, 200, 500, 1500}
	if m.short {
		sizes = []int{9, 18, 50, 100}
	}
	t := table{part: "simulation"}
	for _, n := range sizes {
		m.log("simulation of %d members", n)
		if err := m.simulateSize(ctx, &t, n); err != nil {
			return nil, err
		}
	}
	return t.fitted(), nil
}

func (m *measurement) simulateSize(ctx context.Context, t *table, members int) error {
	g := newGossip(members, m.seed)
	for range 50 {
		g.step()
	}
	x := float64(members)
	g.adopt(0)
	took, err := g.until(ctx, func() bool { return g.count(func(n int) bool { return g.revised[n] }) == members })
	if err != nil {
		return err
	}
	t.add("members", x, "simulated time until a change is in force everywhere (s)", took.Seconds())
	last := members - 1
	g.silent[last] = true
	suspected := func(n int) bool { return n == last || !g.alive(n, last) }
	first, err := g.until(ctx, func() bool { return g.count(suspected) > 1 })
	if err != nil {
		return err
	}
	rest, err := g.until(ctx, func() bool { return g.count(suspected) == members })
	if err != nil {
		return err
	}
	t.add("members", x, "simulated time until the first knows of a silent member (s)", first.Seconds())
	t.add("members", x, "simulated time until all know of a silent member (s)", (first + rest).Seconds())
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
