package kctslope

import (
	"context"
	"fmt"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/core/kctidempotency"
)

// measureRoles measures the issuer of idempotency keys and the holder of a version move.
func (m *measurement) measureRoles(ctx context.Context) ([]Series, error) {
	t := table{part: "role"}
	counts := []int{1000, 10_000, 50_000, 200_000}
	if m.short {
		counts = counts[:2]
	}
	for _, n := range counts {
		if err := m.keys(ctx, &t, n); err != nil {
			return nil, err
		}
	}
	c, err := newModel(ctx, 50, endpointsFor(50))
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.startMove(ctx); err != nil {
		return nil, err
	}
	for _, n := range []int{9, 50, 150, 300} {
		if err := m.measureMoveReports(ctx, &t, c, n); err != nil {
			return nil, err
		}
	}
	return t.fitted(), nil
}

// keys measures issuing and using n idempotency keys, each with a reply of ten items.
func (m *measurement) keys(ctx context.Context, t *table, n int) error {
	before := liveMemory()
	table := kctidempotency.NewTable(targetMember(0).ID, 1, m.timer)
	run := func(_ context.Context, e kctport.Execution) (kctport.Result, error) {
		r := kctport.Result{Key: e.Key}
		for i := range 10 {
			r.Items = append(r.Items, kctport.Item{ID: fmt.Sprintf("%s-%d", e.Service, i), Score: 1, Text: "document of a snapshot"})
		}
		return r, nil
	}
	used, err := measureUsage(m.timer, func() error {
		keys, _ := table.Issue(n)
		for _, key := range keys {
			e := kctport.Execution{Key: key, Service: serviceName(0), Route: "slopes", Body: []byte("body"), Deadline: m.timer.Now().Add(queryTimeout)}
			if _, err := table.Run(ctx, e, run); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	t.add("used keys", float64(n), "live heap of used keys (MB)", (float64(liveMemory())-float64(before))/megabyte)
	t.add("used keys", float64(n), "processor time to issue and use the keys (ms)", 1000*used.cpuTime.Seconds())
	// Keeps the table alive until its memory has been measured.
	_ = table.Used()
	return nil
}

// startMove pushes a configuration with a running move of the first service.
func (m *model) startMove(ctx context.Context) error {
	m.revision++
	config := kctconfig.Default()
	config.Revision = m.revision
	now := m.clock.Now()
	config.Moves = []kctport.Move{{
		ID: "move", Service: targetEndpoint(0).Service, From: "v1", To: "v2", State: kctport.MoveRunning,
		Started: now, Deadline: now.Add(time.Hour), Share: 0.05,
	}}
	if _, err := m.control.Push(ctx, config); err != nil {
		return err
	}
	// Control checks moves every half second.
	for range 6 {
		if err := m.step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measureMoveReports measures reports from the given number of entries, each on two versions and three routes.
func (m *measurement) measureMoveReports(ctx context.Context, t *table, c *model, entries int) error {
	const rounds = 20
	used, err := measureUsage(m.timer, func() error {
		for range rounds {
			for n := range entries {
				if err := c.control.Report(ctx, moveEvidence(n)); err != nil {
					return err
				}
			}
		}
		return nil
	})
	t.add("reporting entries", float64(entries), "processor time of the holder for one round of reports (ms)", 1000*used.cpuTime.Seconds()/rounds)
	return err
}

func moveEvidence(n int) []kctport.MoveReport {
	var out []kctport.MoveReport
	for _, version := range []kctport.VersionName{"v1", "v2"} {
		for route := range 3 {
			out = append(out, kctport.MoveReport{
				From: targetMember(n).ID, Move: "move", Version: version, Route: fmt.Sprintf("route-%d", route), Zone: targetZone(n),
				Requests: 100, Timed: 98, Failures: 1, Slow: 2,
			})
		}
	}
	return out
}
