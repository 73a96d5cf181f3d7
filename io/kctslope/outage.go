package kctslope

import (
	"context"

	kctport "kingcupturn"
)

// measureOutages measures control when all entries of a zone or a region fail together and restart together.
func (m *measurement) measureOutages(ctx context.Context, t *table, c *model) error {
	zone := targetZone(1)
	for _, o := range []struct {
		name    string
		selects func(n int) bool
	}{
		{"zone", func(n int) bool { return targetZone(n) == zone }},
		{"region", func(n int) bool { return n%targetZones%targetRegions == 1 }},
	} {
		sent := c.peers.reports.Load()
		x := float64(len(c.members))
		for _, action := range []struct {
			name string
			do   func(context.Context, func(int) bool) error
		}{{"loss", c.failMembers}, {"return", c.restartMembers}} {
			used, err := measureUsage(m.timer, func() error { return action.do(ctx, o.selects) })
			if err != nil {
				return err
			}
			t.add("members", x, action.name+" of a "+o.name+" with its views (ms)", 1000*used.cpuTime.Seconds())
			// Elapsed time is measured too because control publishes no view meanwhile, and a view expires after a second.
			t.add("members", x, action.name+" of a "+o.name+", elapsed (ms)", 1000*used.elapsed.Seconds())
		}
		t.add("members", x, "endpoint reports sent for a "+o.name+" lost and back", float64(c.peers.reports.Load()-sent))
	}
	return nil
}

// failMembers reports the selected members as dead.
func (m *model) failMembers(ctx context.Context, selects func(n int) bool) error {
	return m.changeMembers(ctx, selects, func(member *kctport.Member) {
		member.Counter++
		member.State = kctport.MemberDead
	})
}

// restartMembers reports the selected members as alive with a new incarnation.
func (m *model) restartMembers(ctx context.Context, selects func(n int) bool) error {
	return m.changeMembers(ctx, selects, func(member *kctport.Member) {
		member.Incarnation++
		member.Counter = 0
		member.State = kctport.MemberAlive
	})
}

// changeMembers changes the selected members, delivers the changes in probes from member 2 and runs one second of steps.
func (m *model) changeMembers(ctx context.Context, selects func(n int) bool, change func(*kctport.Member)) error {
	var changes []kctport.Member
	for n := range m.members {
		if !selects(n) {
			continue
		}
		change(&m.members[n])
		changes = append(changes, m.members[n])
		if len(changes) == changesPerProbe {
			if err := m.deliverProbe(ctx, m.members[2], changes...); err != nil {
				return err
			}
			changes = nil
		}
	}
	if err := m.deliverProbe(ctx, m.members[2], changes...); err != nil {
		return err
	}
	return repeat(ctx, 10, m.step)
}
