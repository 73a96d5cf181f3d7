package kctroute_test

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	kctport "kingcupturn"
	"kingcupturn/core/kctroute"
)

var (
	_ kctport.Picker = (*kctroute.Picker)(nil)
	_ kctport.Picker = (*kctroute.RoundRobin)(nil)
)

// newView returns a view of service s with the replicas.
func newView(move *kctport.Move, zones map[kctport.Zone]float64, rs ...*kctport.Replica) *kctport.View {
	v := &kctport.View{
		Self:       kctport.Member{ID: "e", Zone: "a"},
		Members:    map[kctport.InstanceID]kctport.Member{"e": {ID: "e", Zone: "a"}},
		Services:   map[kctport.ServiceName]*kctport.ServiceView{"s": {Name: "s", Replicas: rs, Move: move}},
		ZoneShares: zones,
	}
	return v
}

func newReplica(id string, zone kctport.Zone, version kctport.VersionName, hs ...kctport.Holding) *kctport.Replica {
	return &kctport.Replica{
		Endpoint: kctport.Endpoint{ID: kctport.InstanceID(id), Service: "s", Zone: zone, Version: version},
		Status:   kctport.Status{Slots: 4, Holdings: hs}, Owner: "e", Usable: true,
	}
}

// TestSelectSnapshot guards against selecting a snapshot with a lower coverage than another, or an older one of equal
// coverage, and against a wrong shard count.
func TestSelectSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rs []*kctport.Replica
		covered := make(map[kctport.Snapshot]map[int]bool)
		for i := range rapid.IntRange(1, 8).Draw(t, "replicas") {
			s := kctport.Snapshot(rapid.IntRange(1, 4).Draw(t, "snapshot"))
			h := kctport.Holding{Snapshot: s, Shards: int(s) + 1, Shard: rapid.IntRange(0, int(s)).Draw(t, "shard")}
			r := newReplica(fmt.Sprint(i), "a", "v", h)
			r.Usable = rapid.Bool().Draw(t, "usable")
			rs = append(rs, r)
			if r.Usable {
				if covered[s] == nil {
					covered[s] = make(map[int]bool)
				}
				covered[s][h.Shard] = true
			}
		}
		s, shards, err := kctroute.SelectSnapshot(newView(nil, nil, rs...), []kctport.ServiceName{"s"})
		if err != nil {
			if len(covered) > 0 || !errors.Is(err, kctport.ErrNoSnapshot) {
				t.Fatalf("%v with coverage %v", err, covered)
			}
			return
		}
		if shards["s"] != int(s)+1 {
			t.Fatalf("snapshot %d has %d shards, got %d", s, s+1, shards["s"])
		}
		got := float64(len(covered[s])) / float64(s+1)
		for o, c := range covered {
			share := float64(len(c)) / float64(o+1)
			if share > got || share == got && o > s {
				t.Fatalf("snapshot %d covers %v, but %d covers %v", s, got, o, share)
			}
		}
	})
}

// TestShares guards against a version or a zone that gets more or less than its share of the requests, and against a fallback
// to a version under evaluation.
func TestShares(t *testing.T) {
	h := kctport.Holding{Snapshot: 1, Shards: 1}
	move := &kctport.Move{ID: "m", From: "old", To: "new", Share: 0.05}
	v := newView(move, map[kctport.Zone]float64{"b": 0.3, "c": 0},
		newReplica("old", "a", "old", h), newReplica("new", "a", "new", h),
		newReplica("slow", "b", "old", h), newReplica("out", "c", "old", h))
	v.Self.Zone = "none"
	p := kctroute.NewPicker()
	const n = 20000
	count := make(map[kctport.InstanceID]float64)
	for i := range n {
		r, err := p.Pick(v, kctport.Part{Service: "s"}, 1, fmt.Sprint("q", i), nil)
		if err != nil {
			t.Fatal(err)
		}
		count[r.ID] += 1.0 / n
	}
	// Zone b is a candidate for 0.3 of the old version's requests and gets half of them.
	for id, want := range map[kctport.InstanceID]float64{"new": 0.05, "slow": 0.95 * 0.3 / 2, "out": 0} {
		if tolerance := 5 * math.Sqrt(want*(1-want)/n); math.Abs(count[id]-want) > tolerance {
			t.Errorf("%s got a share of %.4f, want %.4f within %.4f", id, count[id], want, tolerance)
		}
	}
	v = newView(move, nil, newReplica("new", "a", "new", h))
	if _, err := p.Pick(v, kctport.Part{Service: "s"}, 1, "q1", nil); !errors.Is(err, kctport.ErrNoEndpoint) {
		t.Errorf("a version under evaluation got a request beyond its share, error %v", err)
	}
}
