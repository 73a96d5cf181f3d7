package kctcontrol

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	kctport "kingcupturn"
)

// Sizes of the target on the design page.
const (
	targetMembers   = 4100
	targetEndpoints = 71000
	targetZones     = 17
)

// noopPorts is a set of ports whose calls do nothing, so that a benchmark measures control alone.
type noopPorts struct{ now time.Time }

func (s *noopPorts) Now() time.Time { return s.now }

func (s *noopPorts) Subscribe(context.Context, time.Duration) <-chan time.Time { return nil }

func (s *noopPorts) After(context.Context, time.Duration) <-chan time.Time                { return nil }
func (s *noopPorts) Disconnect(kctport.InstanceID)                                        {}
func (s *noopPorts) Status(context.Context, kctport.Endpoint) (r kctport.Status, e error) { return }
func (s *noopPorts) Call(context.Context, kctport.Endpoint, kctport.PartCall) (r kctport.PartReply, e error) {
	return
}

// newSizedController returns a controller with a fleet of the given size, in its state after the start.
func newSizedController(tb testing.TB, members, endpoints int) (*Controller, *noopPorts) {
	tb.Helper()
	clock := &noopPorts{now: time.Unix(1_800_000_000, 0)}
	zone := func(n int) kctport.Zone { return kctport.Zone(fmt.Sprintf("zone-%d", n%targetZones)) }
	member := func(n int) kctport.Member {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7100)
		return kctport.Member{ID: kctport.InstanceID(fmt.Sprintf("entry-%d", n)), Incarnation: kctport.Incarnation(n + 1), Zone: zone(n), Peer: at, Caller: at}
	}
	c := New(member(0), Ports{Timer: clock, Backend: clock}, Codec{}, 1)
	c.spawn = func(func(context.Context)) {}
	changes := make([]kctport.Member, 0, members)
	for n := 1; n < members; n++ {
		changes = append(changes, member(n))
	}
	for len(changes) > 0 {
		batch := changes[:min(8, len(changes))]
		changes = changes[len(batch):]
		c.table.HandleProbe(clock.now, kctport.Probe{From: batch[0], Changes: batch})
	}
	list := make([]kctport.Endpoint, endpoints)
	for n := range list {
		list[n] = kctport.Endpoint{
			ID: kctport.InstanceID(fmt.Sprintf("endpoint-%d", n)), Service: kctport.ServiceName(fmt.Sprintf("service-%d", n/300)),
			Zone: zone(n), Version: "v1", Address: netip.MustParseAddrPort("10.1.2.3:8000"),
		}
	}
	c.mergeEndpoints(clock.now, list)
	c.onTick(clock.now)
	for _, s := range c.endpoints.all {
		c.acceptReport(clock.now, s, kctport.EndpointReport{Endpoint: s.endpoint, Owner: s.owner, Counter: 1, Status: kctport.Status{
			BootID: 1, Slots: 4, Holdings: []kctport.Holding{{Snapshot: 1, Shard: 0, Shards: 1}},
		}})
	}
	for range 20 {
		clock.now = clock.now.Add(tickPeriod)
		c.onTick(clock.now)
	}
	return c, clock
}

var sizes = []struct{ members, endpoints int }{
	{9, 105}, {50, 860}, {500, 8600}, {1500, 26000}, {targetMembers, targetEndpoints},
}

// BenchmarkTick measures one tick without changes; there are 10 a second.
func BenchmarkTick(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("members=%d/endpoints=%d", s.members, s.endpoints), func(b *testing.B) {
			c, clock := newSizedController(b, s.members, s.endpoints)
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			for b.Loop() {
				clock.now = clock.now.Add(tickPeriod)
				c.onTick(clock.now)
			}
			b.ReportMetric(float64(m.HeapAlloc)/(1<<20), "heapMB")
		})
	}
}

// BenchmarkEndpointChange measures one changed endpoint of another owner and the publication of the view.
func BenchmarkEndpointChange(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("members=%d/endpoints=%d", s.members, s.endpoints), func(b *testing.B) {
			c, clock := newSizedController(b, s.members, s.endpoints)
			var other *endpointState
			for _, e := range c.endpoints.all {
				if e.owner != c.self.ID {
					other = e
					break
				}
			}
			counter := uint64(2)
			for b.Loop() {
				counter++
				clock.now = clock.now.Add(time.Millisecond)
				c.acceptReport(clock.now, other, kctport.EndpointReport{Endpoint: other.endpoint, Owner: other.owner, Counter: counter, Status: kctport.Status{
					BootID: counter, Slots: 4, Holdings: []kctport.Holding{{Snapshot: 1, Shard: 0, Shards: 1}},
				}})
				c.publish(clock.now)
			}
		})
	}
}

// BenchmarkMemberChange measures the restart of one member, with the reassignment of owners and the view.
func BenchmarkMemberChange(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("members=%d/endpoints=%d", s.members, s.endpoints), func(b *testing.B) {
			c, clock := newSizedController(b, s.members, s.endpoints)
			m := c.members.list[len(c.members.list)-1]
			for b.Loop() {
				m.Incarnation++
				clock.now = clock.now.Add(tickPeriod)
				c.table.HandleProbe(clock.now, kctport.Probe{From: m})
				c.onTick(clock.now)
			}
		})
	}
}
