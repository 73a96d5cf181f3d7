package kctsuspect

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	kctport "kingcupturn"
)

// BenchmarkAttempt measures the cost of Admit and Finish for each attempt, from parallel goroutines on 16 endpoints.
func BenchmarkAttempt(b *testing.B) {
	l := NewList(&clock{now: time.Unix(1000, 0)})
	l.Merge([]kctport.Suspicion{{Fingerprint: 1, Crashes: 1}})
	var worker atomic.Uint64
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		n := worker.Add(1)
		endpoint, body := kctport.InstanceID(fmt.Sprint(n%16)), kctport.Fingerprint(n+10)
		for p.Next() {
			if err := l.Admit(endpoint, body); err != nil {
				b.Error(err)
				return
			}
			l.Finish(endpoint, body, nil)
		}
	})
}
