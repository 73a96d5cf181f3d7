package kctslope

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"time"

	kctport "kingcupturn"
)

// Daily events at the target size of the design page.
const (
	day = 24 * time.Hour
	// eventsPerDay is the number of instances that fail, restart or are replaced, divided between daemons and endpoints in proportion to their numbers.
	eventsPerDay  = 410 + 8000
	changesPerDay = 7400
	// reportCopies is the number of copies of a report that an entry receives from other entries.
	reportCopies = 7
	// probesPerSecond is the number of probes that an entry receives, and the number that it sends.
	probesPerSecond = 2
)

func (m *measurement) memberCounts() []int {
	if m.short {
		return []int{9, 50, 200, 500}
	}
	return []int{9, 50, 500, 1500, targetMembers}
}

func endpointsFor(members int) int { return members * targetEndpoints / targetMembers }

// measureControl measures control with fake ports, without a network, at sizes up to the target.
func (m *measurement) measureControl(ctx context.Context) ([]Series, error) {
	t := table{part: "control"}
	for _, members := range m.memberCounts() {
		m.log("measuring control with %d members and %d endpoints", members, endpointsFor(members))
		if err := m.measureControlSize(ctx, &t, members); err != nil {
			return nil, err
		}
	}
	return t.fitted(), nil
}

func (m *measurement) measureControlSize(ctx context.Context, t *table, members int) error {
	// Memory freed by earlier parts would still count as resident.
	debug.FreeOSMemory()
	before := liveMemory()
	c, err := newModel(ctx, members, endpointsFor(members))
	if err != nil {
		return err
	}
	defer c.stop()
	x := float64(members)
	t.add("members", x, "live heap of control state (MB)", (float64(liveMemory())-float64(before))/megabyte)
	for _, a := range actions(c) {
		rounds := a.rounds
		if m.short {
			rounds = max(1, rounds/5)
		}
		used, err := measureUsage(m.timer, func() error { return repeat(ctx, rounds, a.do) })
		if err != nil {
			return err
		}
		t.add("members", x, a.name+" (ms)", 1000*used.cpuTime.Seconds()/float64(rounds))
	}
	if err := m.measureDay(ctx, t, c); err != nil {
		return err
	}
	return m.measureOutages(ctx, t, c)
}

// action is an input of control whose cost is averaged over rounds.
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
		{"probe received", 500, func(ctx context.Context) error { return c.deliverProbe(ctx, c.members[1]) }},
		{"endpoint report with its view", 100, func(ctx context.Context) error {
			if err := c.deliverReport(ctx, other, warmStatus(c.counter), kctport.HealthOK, 0); err != nil {
				return err
			}
			return c.step(ctx)
		}},
		{"copy of a report", 500, func(ctx context.Context) error {
			return c.deliverReport(ctx, other, warmStatus(c.counter), kctport.HealthOK, 0)
		}},
		{"member restart with its views", 20, func(ctx context.Context) error { return c.restartMember(ctx, len(c.members)-1) }},
		{"configuration change with its view", 10, func(ctx context.Context) error {
			if err := c.pushConfig(ctx); err != nil {
				return err
			}
			return c.step(ctx)
		}},
		{"reading of the instance list", 5, func(ctx context.Context) error { return c.readInstances(ctx, 1) }},
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

// restartMember replaces a member by its next incarnation, which owns the same endpoints again.
func (m *model) restartMember(ctx context.Context, n int) error {
	leaving := m.members[n]
	leaving.Counter++
	leaving.State = kctport.MemberLeaving
	if err := m.deliverProbe(ctx, m.members[1], leaving); err != nil {
		return err
	}
	if err := m.step(ctx); err != nil {
		return err
	}
	m.members[n].Incarnation++
	m.members[n].Counter = 0
	if err := m.deliverProbe(ctx, m.members[n]); err != nil {
		return err
	}
	return m.step(ctx)
}

// measureDay runs 10 minutes (30 s when short) at the event rates of a day; the rate of instance events is proportional to the size.
func (m *measurement) measureDay(ctx context.Context, t *table, c *model) error {
	length := 10 * time.Minute
	if m.short {
		length = 30 * time.Second
	}
	random := rand.New(rand.NewPCG(m.seed, uint64(len(c.members))))
	sent, reports := c.peers.shares.Load(), c.peers.reports.Load()
	used, err := measureUsage(m.timer, func() error {
		for range length / tickPeriod {
			if err := c.stepWithEvents(ctx, random); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	x, seconds := float64(len(c.members)), length.Seconds()
	rss, err := residentMemory()
	if err != nil {
		return err
	}
	t.add("members", x, "resident memory of a process with control only (MB)", float64(rss)/megabyte)
	t.add("members", x, "processor time in a day's events without list readings (ms/s)", 1000*used.cpuTime.Seconds()/seconds)
	t.add("members", x, "share messages sent in a day's events (1/s)", float64(c.peers.shares.Load()-sent)/seconds)
	t.add("members", x, "endpoint reports sent in a day's events (1/s)", float64(c.peers.reports.Load()-reports)/seconds)
	return nil
}

// stepWithEvents runs one step with random events at the rates of a day.
func (m *model) stepWithEvents(ctx context.Context, random *rand.Rand) error {
	occurs := func(perDay float64) bool { return random.Float64() < perDay*float64(tickPeriod)/float64(day) }
	scale := float64(len(m.members)) / targetMembers
	daemons := eventsPerDay * float64(targetMembers) / (targetMembers + targetEndpoints)
	if occurs(daemons * scale) {
		if err := m.restartMember(ctx, 1+random.IntN(len(m.members)-1)); err != nil {
			return err
		}
	}
	if occurs((eventsPerDay - daemons) * scale) {
		if err := m.replaceEndpoint(ctx, random); err != nil {
			return err
		}
	}
	if occurs(changesPerDay) {
		if err := m.pushConfig(ctx); err != nil {
			return err
		}
	}
	if m.steps%(int(time.Second/tickPeriod)/probesPerSecond) == 0 {
		if err := m.deliverProbe(ctx, m.members[1+random.IntN(len(m.members)-1)]); err != nil {
			return err
		}
	}
	return m.step(ctx)
}

// replaceEndpoint reports an endpoint as down, cold and then OK, with the copies that other entries send.
func (m *model) replaceEndpoint(ctx context.Context, random *rand.Rand) error {
	view := m.control.View()
	var name kctport.ServiceName
	skip := random.IntN(len(view.Services))
	for name = range view.Services {
		if skip--; skip < 0 {
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
		if err := m.deliverReport(ctx, r, warmStatus(boot), health, reportCopies); err != nil {
			return err
		}
		if err := m.step(ctx); err != nil {
			return err
		}
	}
	return nil
}
