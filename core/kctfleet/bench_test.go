package kctfleet

import (
	"fmt"
	"testing"
	"time"

	kctport "kingcupturn"
)

// BenchmarkChange measures a change of one endpoint and the fleet state built from it, by the size of the fleet; docs/CAPACITY.md uses the slope.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 71_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := sizedState(n)
			b.ReportAllocs()
			number := uint64(n)
			for b.Loop() {
				number++
				s.apply(start, sizedEndpoint(int(number)%n, number))
				s.outbox = nil
				s.fleet(start)
			}
		})
	}
}

// BenchmarkHeartbeat measures a subscriber's heartbeat that changes nothing.
func BenchmarkHeartbeat(b *testing.B) {
	s := sizedState(1_000)
	member := kctport.FeedMember{Origin: "e", Entry: kctport.EntryRecord{ID: "m"}}
	for b.Loop() {
		s.members.set(member)
		s.expire(start)
	}
}

// sizedState returns a state with n endpoints in services of 17, and one entry for every 17 endpoints.
func sizedState(n int) *state {
	s := newTestState(kctport.EntryRecord{ID: "e", Zone: "z"})
	for i := range n {
		s.apply(start, sizedEndpoint(i, uint64(i+1)))
	}
	for i := range n / 17 {
		e := kctport.EntryRecord{ID: kctport.InstanceID(fmt.Sprint("m", i)), Zone: kctport.Zone(fmt.Sprint("z", i%17)), Cores: 1, Load: 0.1}
		s.members.set(kctport.FeedMember{Origin: "r", Entry: e})
	}
	s.expire(start.Add(time.Millisecond))
	return s
}

func sizedEndpoint(i int, number uint64) kctport.RegistryChange {
	c := endpointChange(fmt.Sprint("i-", i), number)
	c.Endpoint.Service = kctport.ServiceName(fmt.Sprint("s", i/17))
	return c
}
