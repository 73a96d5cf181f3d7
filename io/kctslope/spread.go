package kctslope

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// changesTimed is the number of configuration changes timed at each size.
const changesTimed = 10

// measurePropagation measures the time until all entries of a fleet have a change and have detected a killed entry.
func (m *measurement) measurePropagation(ctx context.Context) ([]Series, error) {
	sizes := []int{4, 9, 18, 36}
	if m.short {
		sizes = []int{3, 9}
	}
	t := table{part: "spread"}
	for _, n := range sizes {
		m.log("measuring propagation over %d entries", n)
		if err := m.measurePropagationSize(ctx, &t, n); err != nil {
			return nil, err
		}
	}
	return t.fitted(), nil
}

func (m *measurement) measurePropagationSize(ctx context.Context, t *table, members int) error {
	f, err := startFleet(ctx, m.timer, m.endpointSet, fleetSize{members: members, endpoints: 12, services: 4, zones: 3})
	if err != nil {
		return err
	}
	defer func() { _ = f.stop() }()
	var worst time.Duration
	count := changesTimed
	if m.short {
		count = 2
	}
	for n := range count {
		took, err := f.timePropagation(ctx, n)
		if err != nil {
			return err
		}
		worst = max(worst, took)
	}
	t.add("members", float64(members), "longest time until a change is in force everywhere (ms)", 1000*worst.Seconds())
	took, err := f.timeDetection(ctx)
	if err != nil {
		return err
	}
	t.add("members", float64(members), "time until all know of a killed entry (ms)", 1000*took.Seconds())
	return nil
}

// timePropagation returns the time from the request for change n until it is in force at every entry.
func (f *fleet) timePropagation(ctx context.Context, n int) (time.Duration, error) {
	start := f.timer.Now()
	type outcome struct {
		result kctport.ChangeResult
		err    error
	}
	changed := make(chan outcome, 1)
	before := f.daemons[0].entry.View().Revision
	go func() {
		result, err := f.applyChange(ctx, n)
		changed <- outcome{result, err}
	}()
	// The entry answers only after it has counted the entries that have the change, so the views are polled concurrently.
	err := f.waitUntil(ctx, func() bool { return f.allNewerThan(before) })
	took := f.timer.Now().Sub(start)
	if o := <-changed; o.err != nil {
		return 0, o.err
	}
	return took, eris.Wrap(err, "propagation")
}

func (f *fleet) allNewerThan(revision kctport.Revision) bool {
	for _, d := range f.daemons {
		if d.entry.View().Revision <= revision {
			return false
		}
	}
	return true
}

// timeDetection kills the last entry and returns the time until no other entry lists it as alive.
func (f *fleet) timeDetection(ctx context.Context) (time.Duration, error) {
	last := f.daemons[len(f.daemons)-1]
	start := f.timer.Now()
	if err := last.kill(); err != nil {
		return 0, err
	}
	err := f.waitUntil(ctx, func() bool {
		for _, d := range f.daemons[:len(f.daemons)-1] {
			if m, ok := d.entry.View().Members[last.settings.ID]; ok && m.Alive() {
				return false
			}
		}
		return true
	})
	return f.timer.Now().Sub(start), eris.Wrap(err, "detection")
}
