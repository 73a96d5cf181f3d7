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

// silent is a set of ports whose calls do nothing, so that only control's own work is measured.
type silent struct{ now time.Time }

func (s *silent) Now() time.Time { return s.now }

func (s *silent) Subscribe(context.Context, time.Duration) <-chan time.Time { return nil }

func (s *silent) After(context.Context, time.Duration) <-chan time.Time                { return nil }
func (s *silent) Disconnect(kctport.InstanceID)                                        {}
func (s *silent) Status(context.Context, kctport.Endpoint) (r kctport.Status, e error) { return }
func (s *silent) Call(context.Context, kctport.Endpoint, kctport.PartCall) (r kctport.PartReply, e error) {
	return
}

// sized returns a controller that knows a fleet of the given size, as it stands after its start.
func sized(tb testing.TB, members, endpoints int) (*Controller, *silent) {
	tb.Helper()
	clock := &silent{now: time.Unix(1_800_000_000, 0)}
	zone := func(n int) kctport.Zone { return kctport.Zone(fmt.Sprintf("zone-%d", n%targetZones)) }
	member := func(n int) kctport.Member {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7100)
		return kctport.Member{ID: kctport.InstanceID(fmt.Sprintf("entry-%d", n)), Incarnation: kctport.Incarnation(n + 1), Zone: zone(n), Peer: at, Caller: at}
	}
	c := New(member(0), Ports{Timer: clock, Backend: clock}, Codec{}, 1)
	c.send = func(func(context.Context)) {}
	changes := make([]kctport.Member, 0, members)
	for n := 1; n < members; n++ {
		changes = append(changes, member(n))
	}
	for len(changes) > 0 {
		some := changes[:min(8, len(changes))]
		changes = changes[len(some):]
		c.table.HandleProbe(clock.now, kctport.Probe{From: some[0], Changes: some})
	}
	list := make([]kctport.Endpoint, endpoints)
	for n := range list {
		list[n] = kctport.Endpoint{
			ID: kctport.InstanceID(fmt.Sprintf("endpoint-%d", n)), Service: kctport.ServiceName(fmt.Sprintf("service-%d", n/300)),
			Zone: zone(n), Version: "v1", Address: netip.MustParseAddrPort("10.1.2.3:8000"),
		}
	}
	c.learnEndpoints(clock.now, list)
	c.onTick(clock.now)
	for _, s := range c.endpoints.all {
		c.take(clock.now, s, kctport.EndpointReport{Endpoint: s.endpoint, Owner: s.owner, Counter: 1, Status: kctport.Status{
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

// BenchmarkTick is one quiet tick; there are 10 a second.
func BenchmarkTick(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("members=%d/endpoints=%d", s.members, s.endpoints), func(b *testing.B) {
			c, clock := sized(b, s.members, s.endpoints)
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

// BenchmarkEndpointChange is one changed endpoint of another owner, with the view it leads to.
func BenchmarkEndpointChange(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("members=%d/endpoints=%d", s.members, s.endpoints), func(b *testing.B) {
			c, clock := sized(b, s.members, s.endpoints)
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
				c.take(clock.now, other, kctport.EndpointReport{Endpoint: other.endpoint, Owner: other.owner, Counter: counter, Status: kctport.Status{
					BootID: counter, Slots: 4, Holdings: []kctport.Holding{{Snapshot: 1, Shard: 0, Shards: 1}},
				}})
				c.publish(clock.now)
			}
		})
	}
}

// BenchmarkMemberChange is one member that restarts, with the owners and the view that follow.
func BenchmarkMemberChange(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("members=%d/endpoints=%d", s.members, s.endpoints), func(b *testing.B) {
			c, clock := sized(b, s.members, s.endpoints)
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
