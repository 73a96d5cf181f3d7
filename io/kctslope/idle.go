package kctslope

import (
	"context"
	"errors"
	"fmt"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
)

const mega = 1 << 20

// idleSizes vary one size at a time.
type idleSizes struct {
	x     string
	of    func(fleetSize) int
	sizes []fleetSize
}

func idlePlan(short bool) []idleSizes {
	members := idleSizes{x: "members", of: func(s fleetSize) int { return s.members }}
	if short {
		for _, n := range []int{3, 4, 6, 9} {
			members.sizes = append(members.sizes, fleetSize{members: n, endpoints: 12, services: 4, zones: 3})
		}
		return []idleSizes{members}
	}
	endpoints := idleSizes{x: "endpoints", of: func(s fleetSize) int { return s.endpoints }}
	services := idleSizes{x: "services", of: func(s fleetSize) int { return s.services }}
	for i, n := range []int{4, 9, 18, 36} {
		members.sizes = append(members.sizes, fleetSize{members: n, endpoints: 36, services: 12, zones: 3})
		endpoints.sizes = append(endpoints.sizes, fleetSize{members: 9, endpoints: 36 << i, services: 12, zones: 3})
		services.sizes = append(services.sizes, fleetSize{members: 9, endpoints: 144, services: 6 << i, zones: 3})
	}
	return []idleSizes{members, endpoints, services}
}

// changePlan varies the rate of configuration changes with the longest history.
func changePlan(short bool) []idleSizes {
	changes := idleSizes{x: "changes a second", of: func(s fleetSize) int { return s.changes }}
	rates := []int{0, 1, 2, 4}
	if short {
		rates = []int{0, 2}
	}
	for _, n := range rates {
		changes.sizes = append(changes.sizes, fleetSize{members: 9, endpoints: 36, services: 12, zones: 3, changes: n, history: kctconfig.MaxHistory})
	}
	return []idleSizes{changes}
}

// idle measures entries without queries and without changes.
func (m *measurement) idle(ctx context.Context) ([]Series, error) {
	return m.idleSeries(ctx, "fleet", idlePlan(m.short))
}

// changes measures entries without queries while the configuration changes.
func (m *measurement) changes(ctx context.Context) ([]Series, error) {
	return m.idleSeries(ctx, "changes", changePlan(m.short))
}

func (m *measurement) idleSeries(ctx context.Context, name string, plan []idleSizes) ([]Series, error) {
	t := table{part: name}
	for _, dimension := range plan {
		for _, size := range dimension.sizes {
			m.log("fleet of %+v", size)
			c, err := m.idleCost(ctx, size)
			if err != nil {
				return nil, err
			}
			x, at := dimension.x, float64(dimension.of(size))
			t.add(x, at, "processor time a daemon (ms/s)", c.processor)
			t.add(x, at, "control messages a daemon sends and receives (bytes/s)", c.control)
			t.add(x, at, "live heap and stacks a daemon (MB)", c.memory)
			t.add(x, at, "platform reads of all daemons (1/s)", c.reads)
			t.add(x, at, "platform watches begun by all daemons (1/s)", c.watches)
			t.add(x, at, "platform writes of all daemons (1/s)", c.writes)
		}
	}
	return t.fitted(), nil
}

// idleFigures are costs in the units of the series.
type idleFigures struct {
	processor, control, memory, reads, watches, writes float64
}

func (m *measurement) idleCost(ctx context.Context, size fleetSize) (idleFigures, error) {
	before := memory()
	f, err := startFleet(ctx, m.timer, m.servers, size)
	if err != nil {
		return idleFigures{}, err
	}
	defer func() { _ = f.stop() }()
	if err := pause(ctx, m.timer, m.settle()); err != nil {
		return idleFigures{}, err
	}
	bytes, err := f.controlBytes(ctx)
	if err != nil {
		return idleFigures{}, err
	}
	calls := f.platform.CallCounts()
	used, err := during(m.timer, func() error { return f.change(ctx, m.window()) })
	if err != nil {
		return idleFigures{}, err
	}
	after := f.platform.CallCounts()
	moved, err := f.controlBytes(ctx)
	if err != nil {
		return idleFigures{}, err
	}
	seconds, n := used.elapsed.Seconds(), float64(size.members)
	return idleFigures{
		processor: 1000 * used.processor.Seconds() / seconds / n,
		control:   (moved - bytes) / seconds / n,
		memory:    (float64(memory()) - float64(before)) / n / mega,
		reads:     float64(after.Reads-calls.Reads) / seconds,
		watches:   float64(after.Watches-calls.Watches) / seconds,
		writes:    float64(after.Writes-calls.Writes) / seconds,
	}, nil
}

func (f *fleet) controlBytes(ctx context.Context) (float64, error) {
	var total float64
	for _, d := range f.daemons {
		n, err := scrape(ctx, d.settings.Caller, controlBytes)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// change makes the configuration changes of a window at the fleet's rate, each through another entry. An entry answers
// up to half a second after the change is in force, so changes overlap.
func (f *fleet) change(ctx context.Context, window time.Duration) error {
	if f.size.changes == 0 {
		return pause(ctx, f.timer, window)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := f.timer.Subscribe(ctx, time.Second/time.Duration(f.size.changes))
	count := int(window.Seconds() * float64(f.size.changes))
	done := make(chan error, count)
	for n := range count {
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
		go func() {
			_, err := f.changeOnce(ctx, n)
			done <- err
		}()
	}
	var failed error
	for range count {
		failed = errors.Join(failed, <-done)
	}
	return failed
}

// changeOnce sets the objective of all services through an entry.
func (f *fleet) changeOnce(ctx context.Context, n int) (kctport.ChangeResult, error) {
	d := f.daemons[n%len(f.daemons)]
	result := d.entry.Change(ctx, kctport.ChangeRequest{
		ID: fmt.Sprintf("%s-%d-%d", d.settings.ID, n, f.timer.Now().UnixNano()), Author: "slopes", Kind: kctport.SetDefault,
		Field: "objective", Value: (200*time.Millisecond + time.Duration(n%10)*time.Millisecond).String(),
	})
	if result.Outcome != kctport.Accepted {
		return result, fmt.Errorf("change %d: %s, %s", n, result.Outcome, result.Message)
	}
	return result, nil
}
