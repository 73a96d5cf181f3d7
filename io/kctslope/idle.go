package kctslope

import (
	"context"
	"errors"
	"fmt"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
)

const megabyte = 1 << 20

// sweep is a list of fleets that differ in one size, whose name is x.
type sweep struct {
	x      string
	sizeOf func(fleetSize) int
	sizes  []fleetSize
}

func idleSweeps(short bool) []sweep {
	members := sweep{x: "members", sizeOf: func(s fleetSize) int { return s.members }}
	if short {
		for _, n := range []int{3, 4, 6, 9} {
			members.sizes = append(members.sizes, fleetSize{members: n, endpoints: 12, services: 4, zones: 3})
		}
		return []sweep{members}
	}
	endpoints := sweep{x: "endpoints", sizeOf: func(s fleetSize) int { return s.endpoints }}
	services := sweep{x: "services", sizeOf: func(s fleetSize) int { return s.services }}
	for i, n := range []int{4, 9, 18, 36} {
		members.sizes = append(members.sizes, fleetSize{members: n, endpoints: 36, services: 12, zones: 3})
		endpoints.sizes = append(endpoints.sizes, fleetSize{members: 9, endpoints: 36 << i, services: 12, zones: 3})
		services.sizes = append(services.sizes, fleetSize{members: 9, endpoints: 144, services: 6 << i, zones: 3})
	}
	return []sweep{members, endpoints, services}
}

// changeSweeps varies the rate of configuration changes, with the longest history.
func changeSweeps(short bool) []sweep {
	changes := sweep{x: "changes a second", sizeOf: func(s fleetSize) int { return s.changes }}
	rates := []int{0, 1, 2, 4}
	if short {
		rates = []int{0, 2}
	}
	for _, n := range rates {
		changes.sizes = append(changes.sizes, fleetSize{members: 9, endpoints: 36, services: 12, zones: 3, changes: n, history: kctconfig.MaxHistory})
	}
	return []sweep{changes}
}

// measureIdle measures entries without queries and without changes.
func (m *measurement) measureIdle(ctx context.Context) ([]Series, error) {
	return m.measureSweeps(ctx, "fleet", idleSweeps(m.short))
}

// measureChanges measures entries without queries while the configuration changes.
func (m *measurement) measureChanges(ctx context.Context) ([]Series, error) {
	return m.measureSweeps(ctx, "changes", changeSweeps(m.short))
}

func (m *measurement) measureSweeps(ctx context.Context, name string, plan []sweep) ([]Series, error) {
	t := table{part: name}
	for _, dimension := range plan {
		for _, size := range dimension.sizes {
			m.log("measuring a fleet of %+v", size)
			c, err := m.measureFleet(ctx, size)
			if err != nil {
				return nil, err
			}
			x, value := dimension.x, float64(dimension.sizeOf(size))
			t.add(x, value, "processor time a daemon (ms/s)", c.cpuTime)
			t.add(x, value, "control messages a daemon sends and receives (bytes/s)", c.control)
			t.add(x, value, "live heap and stacks a daemon (MB)", c.liveMemory)
			t.add(x, value, "platform reads of all daemons (1/s)", c.reads)
			t.add(x, value, "platform watches begun by all daemons (1/s)", c.watches)
			t.add(x, value, "platform writes of all daemons (1/s)", c.writes)
		}
	}
	return t.fitted(), nil
}

// fleetCost holds costs in the units of the series: ms/s, bytes/s and MB per daemon, calls per second of all daemons.
type fleetCost struct {
	cpuTime, control, liveMemory, reads, watches, writes float64
}

func (m *measurement) measureFleet(ctx context.Context, size fleetSize) (fleetCost, error) {
	memoryBefore := liveMemory()
	f, err := startFleet(ctx, m.timer, m.endpointSet, size)
	if err != nil {
		return fleetCost{}, err
	}
	defer func() { _ = f.stop() }()
	if err := pause(ctx, m.timer, m.settle()); err != nil {
		return fleetCost{}, err
	}
	bytesBefore, err := f.controlBytes(ctx)
	if err != nil {
		return fleetCost{}, err
	}
	callsBefore := f.platform.CallCounts()
	used, err := measureUsage(m.timer, func() error { return f.applyChanges(ctx, m.window()) })
	if err != nil {
		return fleetCost{}, err
	}
	callsAfter := f.platform.CallCounts()
	bytesAfter, err := f.controlBytes(ctx)
	if err != nil {
		return fleetCost{}, err
	}
	seconds, n := used.elapsed.Seconds(), float64(size.members)
	return fleetCost{
		cpuTime:    1000 * used.cpuTime.Seconds() / seconds / n,
		control:    (bytesAfter - bytesBefore) / seconds / n,
		liveMemory: (float64(liveMemory()) - float64(memoryBefore)) / n / megabyte,
		reads:      float64(callsAfter.Reads-callsBefore.Reads) / seconds,
		watches:    float64(callsAfter.Watches-callsBefore.Watches) / seconds,
		writes:     float64(callsAfter.Writes-callsBefore.Writes) / seconds,
	}, nil
}

func (f *fleet) controlBytes(ctx context.Context) (float64, error) {
	var total float64
	for _, d := range f.daemons {
		n, err := scrapeMetric(ctx, d.settings.Caller, controlBytes)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// applyChanges makes configuration changes at the fleet's rate for the length of the window, through the entries in turn.
// An entry answers up to half a second after a change is in force, so changes overlap.
func (f *fleet) applyChanges(ctx context.Context, window time.Duration) error {
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
			_, err := f.applyChange(ctx, n)
			done <- err
		}()
	}
	var failed error
	for range count {
		failed = errors.Join(failed, <-done)
	}
	return failed
}

// applyChange sets the default objective through entry n modulo the number of entries.
func (f *fleet) applyChange(ctx context.Context, n int) (kctport.ChangeResult, error) {
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
