package kctroute_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	kctport "kingcupturn"
	"kingcupturn/core/kctroute"
)

// newHealth returns a Health that tracks n replicas of each shard of service s.
func newHealth(now time.Time, shards, n int) (*kctroute.Health, []kctport.Endpoint) {
	h := kctroute.NewHealth()
	var es []kctport.Endpoint
	for i := range shards * n {
		es = append(es, kctport.Endpoint{ID: kctport.InstanceID(fmt.Sprint(i)), Service: "s"})
	}
	h.Track(now, es)
	for i, e := range es {
		holding := kctport.Holding{Snapshot: 1, Shard: i % shards, Shards: shards}
		h.Status(now, e.ID, kctport.Status{BootID: 1, Slots: 4, Holdings: []kctport.Holding{holding}}, nil)
	}
	return h, es
}

// TestEjectionBounds guards against ejecting more than a third of a shard's replicas, or its last one, for any sequence of
// observations.
func TestEjectionBounds(t *testing.T) {
	errs := []error{nil, kctport.ErrReset, kctport.ErrTimeout, kctport.ErrFailed, context.Canceled, errors.Join(kctport.ErrShed, kctport.ErrNotRun)}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		shards, n := rapid.IntRange(1, 3).Draw(t, "shards"), rapid.IntRange(1, 7).Draw(t, "replicas")
		h, es := newHealth(now, shards, n)
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			e := rapid.SampledFrom(es).Draw(t, "endpoint")
			o := kctport.Observation{Endpoint: e.ID, Service: "s", Err: rapid.SampledFrom(errs).Draw(t, "err"), Latency: time.Duration(rapid.IntRange(1, 100).Draw(t, "latency")) * time.Millisecond}
			h.Observe(now, []kctport.Observation{o, o, o, o})
			ejected := make([]int, shards)
			for i, e := range es {
				if s, _ := h.Health(now, e.ID); s == kctport.HealthEjected {
					ejected[i%shards]++
				}
			}
			for s, o := range ejected {
				if 3*o > n {
					t.Fatalf("%d of %d replicas of shard %d ejected", o, n, s)
				}
			}
		}
	})
}

// TestHealth guards against an endpoint that stays in use after repeated failures, one that is ejected for errors of the
// caller or the tier, and one that returns from an ejection without probation.
func TestHealth(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name    string
		err     error
		latency time.Duration
		want    kctport.Health
	}{
		{"good", nil, 10 * time.Millisecond, kctport.HealthOK},
		{"reset", kctport.ErrReset, time.Millisecond, kctport.HealthEjected},
		{"slow", nil, 100 * time.Millisecond, kctport.HealthEjected},
		{"straggler that loses to hedges", context.Canceled, 60 * time.Millisecond, kctport.HealthEjected},
		{"caller left", context.Canceled, 10 * time.Millisecond, kctport.HealthOK},
		{"no reply", kctport.ErrTimeout, 60 * time.Millisecond, kctport.HealthEjected},
		{"deadline of the caller too short", kctport.ErrTimeout, 10 * time.Millisecond, kctport.HealthOK},
		{"sheds while the others don't", errors.Join(kctport.ErrShed, kctport.ErrNotRun), 0, kctport.HealthEjected},
		{"changed owner", errors.Join(kctport.ErrNotOwner, kctport.ErrNotRun), 0, kctport.HealthOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, es := newHealth(now, 1, 3)
			var good, faulty []kctport.Observation
			for range 20 {
				for _, e := range es {
					good = append(good, kctport.Observation{Endpoint: e.ID, Service: "s", Latency: 10 * time.Millisecond})
				}
				faulty = append(faulty, kctport.Observation{Endpoint: es[0].ID, Service: "s", Latency: tt.latency, Err: tt.err})
			}
			h.Observe(now, good)
			h.Observe(now, faulty)
			if got, reason := h.Health(now, es[0].ID); got != tt.want {
				t.Errorf("health %v (%s), want %v", got, reason, tt.want)
			}
			if tt.want != kctport.HealthEjected {
				return
			}
			// Each failure on probation doubles the ejection time.
			for period := time.Second; period < 16*time.Second; period *= 2 {
				if got, _ := h.Health(now.Add(period-1), es[0].ID); got != kctport.HealthEjected {
					t.Errorf("health %v before the end of %s, want ejected", got, period)
				}
				now = now.Add(period)
				if got, _ := h.Health(now, es[0].ID); got != kctport.HealthCold {
					t.Errorf("health %v after %s, want cold", got, period)
				}
				h.Observe(now, []kctport.Observation{{Endpoint: es[0].ID, Service: "s", Err: kctport.ErrReset}})
			}
		})
	}
}
