package kctidempotency

import (
	"context"
	"testing"

	kctport "kingcupturn"
)

// BenchmarkRun measures issue and first use of a key from parallel goroutines.
func BenchmarkRun(b *testing.B) {
	table := NewTable("entry", 1, clock{}, WithCapacity(1<<30))
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			keys, _ := table.Issue(1)
			if _, err := table.Run(context.Background(), kctport.Execution{Key: keys[0]}, reply); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// FuzzParse guards against keys that make the parser panic or that change when decoded and encoded again.
func FuzzParse(f *testing.F) {
	keys, _ := NewTable("entry.1", 7, clock{}).Issue(1)
	f.Add(keys[0])
	f.Fuzz(func(t *testing.T, key string) {
		k, err := parse(key)
		if err != nil {
			return
		}
		if again, err := parse(k.String()); err != nil || again != k {
			t.Errorf("%q decoded to %+v, and to %+v, %v after encoding it again", key, k, again, err)
		}
	})
}
