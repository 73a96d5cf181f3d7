package kctmember

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSecond measures one second of the table's work at one member, with ten ticks, two probes sent and two answered.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{50, 4100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSim(n, 1)
			s.run(3 * time.Second)
			table, peer := s.tables[simID(0)], s.tables[simID(1)]
			now := s.now
			b.ReportAllocs()
			for b.Loop() {
				for i := range 10 {
					now = now.Add(100 * time.Millisecond)
					for _, send := range table.Tick(now) {
						table.HandleReply(now, send.To.ID, s.tables[send.To.ID].HandleProbe(now, send.Probe))
					}
					if i%5 == 0 {
						table.HandleProbe(now, peer.send(table.Self(), RoundTimeout).Probe)
					}
					table.EstimateReachable(now, 4*time.Second)
				}
			}
		})
	}
}
