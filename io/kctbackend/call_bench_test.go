package kctbackend_test

import (
	"context"
	"testing"

	kctport "kingcupturn"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kcttimer"
)

// BenchmarkCall measures one exchange with an endpoint stand-in without service time, client and endpoint included.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fake := kctfake.NewEndpoint("a", kctfake.WithService("search", "a", "v1"), kctfake.WithHoldings(kctport.Holding{Snapshot: 7, Shard: 1, Shards: 2}), kctfake.WithSlots(64, 64))
	at, err := fake.Start(ctx)
	if err != nil {
		b.Fatal(err)
	}
	defer fake.Stop()
	client := kctbackend.New(kcttimer.New())
	defer client.Close()
	fx := &fixture{}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := client.Call(ctx, kctport.Endpoint{ID: "a", Address: at}, fx.newCall(replyTimeout)); err != nil {
				b.Error(err)
			}
		}
	})
}
