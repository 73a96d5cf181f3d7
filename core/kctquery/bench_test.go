package kctquery_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctretry"
	"kingcupturn/core/kctroute"
)

// BenchmarkQuery measures the tier's own work for a query to 53 endpoints that reply without delay.
func BenchmarkQuery(b *testing.B) {
	const parts = 53
	f := newFleet(1, 3*parts, func(kctport.Snapshot) int { return parts }, func(*rand.Rand, kctport.PartCall) (time.Duration, error) {
		return 0, nil
	})
	f.publish(kctroute.NewHealth())
	f.view.Expires = time.Now().Add(time.Hour)
	e := f.engine(kctretry.NewHedger(), powerOfTwo)
	q := kctport.Query{Services: []kctport.ServiceName{"s"}, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Query(context.Background(), q); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*parts), "us/part")
}
