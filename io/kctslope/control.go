package kctslope

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"time"

	kctport "kingcupturn"
)

// A day of the target on the design page.
const (
	day = 24 * time.Hour
	// dayEvents is instances that fail, are restarted or replaced; daemons and endpoints share in them by their number.
	dayEvents  = 410 + 8000
	dayChanges = 7400
	// passedOn is the number of copies of a report that reach an entry in a fleet that passes news on.
	passedOn = 7
	// probesPerSecond reach an entry, as many as it sends.
	probesPerSecond = 2
)

func (m *measurement) controlSizes() []int {
	if m.short {
		return []int{9, 50, 200, 500}
	}
	return []int{9, 50, 500, 1500, targetMembers}
}

func endpointsFor(members int) int { return members * targetEndpoints / targetMembers }

// controlState measures control without a network at sizes up to the target.
func (m *measurement) controlState(ctx context.Context) ([]Series, error) {
	t := table{part: "control"}
	for _, members := range m.controlSizes() {
		m.log("control with %d members and %d endpoints", members, endpointsFor(members))
		if err := m.controlCost(ctx, &t, members); err != nil {
			return nil, err
		}
	}
	return t.fitted(), nil
}

func (m *measurement) controlCost(ctx context.Context, t *table, members int) error {
	// Memory of earlier, larger parts would count as resident here.
	debug.FreeOSMemory()
	before := memory()
	c, err := newModel(ctx, members, endpointsFor(members))
	if err != nil {
		return err
	}
	defer c.stop()
	x := float64(members)
	t.add("members", x, "live heap of control state (MB)", (float64(memory())-float64(before))/mega)
	for _, a := range actions(c) {
		rounds := a.rounds
		if m.short {
			rounds = max(1, rounds/5)
		}
		used, err := during(m.timer, func() error { return repeat(ctx, rounds, a.do) })
		if err != nil {
			return err
		}
		t.add("members", x, a.name+" (ms)", 1000*used.processor.Seconds()/float64(rounds))
	}
	if err := m.daySample(ctx, t, c); err != nil {
		return err
	}
	return m.outages(ctx, t, c)
}

// action is one input of control.
type action struct {
	name   string
	rounds int
	do     func(context.Context) error
}

func actions(c *model) []action {
	var others []*kctport.Replica
	for r := range c.control.View().Replicas() {
		if r.Owner != c.members[0].ID {
			others = append(others, r)
		}
	}
	other := others[0]
	return []action{
		{"quiet tick", 500, c.step},
		{"probe received", 500, func(ctx context.Context) error { return c.probed(ctx, c.members[1]) }},
		{"endpoint report with its view", 100, func(ctx context.Context) error {
			if err := c.report(ctx, other, warm(c.counter), kctport.HealthOK, 0); err != nil {
				return err
			}
			return c.step(ctx)
		}},
		{"copy of a report", 500, func(ctx context.Context) error { return c.report(ctx, other, warm(c.counter), kctport.HealthOK, 0) }},
		{"member restart with its views", 20, func(ctx context.Context) error { return c.restart(ctx, len(c.members)-1) }},
		{"configuration change with its view", 10, func(ctx context.Context) error {
			if err := c.push(ctx); err != nil {
				return err
			}
			return c.step(ctx)
		}},
		{"reading of the instance list", 5, func(ctx context.Context) error { return c.list(ctx, 1) }},
	}
}

func repeat(ctx context.Context, rounds int, do func(context.Context) error) error {
	for range rounds {
		if err := do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// restart replaces a member by its next life, which takes its endpoints back.
func (m *model) restart(ctx context.Context, n int) error {
	gone := m.members[n]
	gone.Counter++
	gone.State = kctport.MemberLeaving
	if err := m.probed(ctx, m.members[1], gone); err != nil {
		return err
	}
	if err := m.step(ctx); err != nil {
		return err
	}
	m.members[n].Incarnation++
	m.members[n].Counter = 0
	if err := m.probed(ctx, m.members[n]); err != nil {
		return err
	}
	return m.step(ctx)
}

// daySample runs some minutes of a day's events, spread evenly; the events of instances are in proportion to the size.
func (m *measurement) daySample(ctx context.Context, t *table, c *model) error {
	length := 10 * time.Minute
	if m.short {
		length = 30 * time.Second
	}
	random := rand.New(rand.NewPCG(m.seed, uint64(len(c.members))))
	sent, reports := c.peers.shares.Load(), c.peers.reports.Load()
	used, err := during(m.timer, func() error {
		for range length / tick {
			if err := c.live(ctx, random); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	x, seconds := float64(len(c.members)), length.Seconds()
	held, err := resident()
	if err != nil {
		return err
	}
	t.add("members", x, "resident memory of a process with control only (MB)", float64(held)/mega)
	t.add("members", x, "processor time in a day's events without list readings (ms/s)", 1000*used.processor.Seconds()/seconds)
	t.add("members", x, "share messages sent in a day's events (1/s)", float64(c.peers.shares.Load()-sent)/seconds)
	t.add("members", x, "endpoint reports sent in a day's events (1/s)", float64(c.peers.reports.Load()-reports)/seconds)
	return nil
}

// live runs one step with the events that a day's rates bring.
func (m *model) live(ctx context.Context, random *rand.Rand) error {
	chance := func(perDay float64) bool { return random.Float64() < perDay*float64(tick)/float64(day) }
	scale := float64(len(m.members)) / targetMembers
	daemons := dayEvents * float64(targetMembers) / (targetMembers + targetEndpoints)
	if chance(daemons * scale) {
		if err := m.restart(ctx, 1+random.IntN(len(m.members)-1)); err != nil {
			return err
		}
	}
	if chance((dayEvents - daemons) * scale) {
		if err := m.replace(ctx, random); err != nil {
			return err
		}
	}
	if chance(dayChanges) {
		if err := m.push(ctx); err != nil {
			return err
		}
	}
	if m.steps%(int(time.Second/tick)/probesPerSecond) == 0 {
		if err := m.probed(ctx, m.members[1+random.IntN(len(m.members)-1)]); err != nil {
			return err
		}
	}
	return m.step(ctx)
}

// replace lets an endpoint go down, come back cold and become warm, with the copies that other entries pass on.
func (m *model) replace(ctx context.Context, random *rand.Rand) error {
	view := m.control.View()
	var name kctport.ServiceName
	at := random.IntN(len(view.Services))
	for name = range view.Services {
		if at--; at < 0 {
			break
		}
	}
	all := view.Services[name].Replicas
	r := all[random.IntN(len(all))]
	for _, health := range []kctport.Health{kctport.HealthDown, kctport.HealthCold, kctport.HealthOK} {
		boot := m.counter
		if health == kctport.HealthDown {
			boot = r.Status.BootID
		}
		if err := m.report(ctx, r, warm(boot), health, passedOn); err != nil {
			return err
		}
		if err := m.step(ctx); err != nil {
			return err
		}
	}
	return nil
}
