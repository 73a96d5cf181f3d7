package kctroute_test

import (
	"fmt"
	"testing"

	kctport "kingcupturn"
	"kingcupturn/core/kctroute"
)

// BenchmarkRoute measures the selection of a snapshot and of an endpoint for services of 15 and 1,500 replicas.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{15, 1500} {
		var rs []*kctport.Replica
		for i := range n {
			h := kctport.Holding{Snapshot: 1, Shard: i % (n / 3), Shards: n / 3}
			rs = append(rs, newReplica(fmt.Sprint(i), kctport.Zone([]string{"a", "b", "c"}[i%3]), "v", h))
		}
		v, x := newView(nil, nil, rs...), kctroute.NewIndex()
		p := kctroute.NewPicker(kctroute.WithIndex(x))
		for name, f := range map[string]func() error{
			"pick": func() error {
				_, err := p.Pick(v, kctport.Part{Service: "s", Shard: 1}, 1, "query", nil)
				return err
			},
			"select": func() error {
				_, _, err := x.Select(v, []kctport.ServiceName{"s"})
				return err
			},
		} {
			b.Run(fmt.Sprint(name, n), func(b *testing.B) {
				for b.Loop() {
					if err := f(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
