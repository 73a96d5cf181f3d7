package kctquota

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// groupOf spreads connections over addresses.
func groupOf(n, addresses int) Group {
	n %= addresses
	return Group{"callers", netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})}
}

// opener opens connections and closes those that give way.
type opener struct {
	account *Account
	victims []*Holder
}

func (o *opener) open(b *testing.B, now time.Time, key Group, size int) *Holder {
	var h *Holder
	h, err := o.account.Open(now, key, func(bool, Reason) { o.victims = append(o.victims, h) })
	if err != nil {
		b.Fatal(err)
	}
	h.ReadBody(now)
	if size > 0 && !h.Take(now, size) {
		b.Fatal("no memory")
	}
	for _, v := range o.victims {
		v.Close()
	}
	o.victims = o.victims[:0]
	return h
}

// newOpener returns an opener with connections whose bodies are being read and hold size bytes.
func newOpener(b *testing.B, bounds Bounds, connections, addresses, size int) (o *opener, all []*Holder) {
	o = &opener{account: New(bounds)}
	for n := range connections {
		all = append(all, o.open(b, start, groupOf(n, addresses), size))
	}
	return o, all
}

// BenchmarkRequest measures what a request costs without a crowd, from its first byte to the end of its answer.
func BenchmarkRequest(b *testing.B) {
	for _, connections := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			_, all := newOpener(b, Bounds{Connections: connections, Bytes: 1 << 30}, connections, connections, 0)
			n := 0
			for b.Loop() {
				h := all[n%len(all)]
				n++
				h.Begin(start)
				h.ReadBody(start)
				h.Run()
				h.Answer(start, 1000)
				h.Rest(start)
			}
		})
	}
}

// BenchmarkNewcomer measures a new connection for which another one gives way.
func BenchmarkNewcomer(b *testing.B) {
	for _, connections := range []int{100, 1_000, 10_000} {
		for _, addresses := range []int{1, connections} {
			b.Run(fmt.Sprintf("%d of %d addresses", connections, addresses), func(b *testing.B) {
				o, _ := newOpener(b, Bounds{Connections: connections, Bytes: 1 << 30}, connections, addresses, 0)
				n := 0
				for b.Loop() {
					o.open(b, start, groupOf(n, addresses), 0)
					n++
				}
			})
		}
	}
}

// BenchmarkShortMemory measures a request for memory for which the heaviest connection gives way.
func BenchmarkShortMemory(b *testing.B) {
	const size = 256 << 10
	for _, connections := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			o, _ := newOpener(b, Bounds{Connections: 2 * connections, Bytes: connections * size}, connections, 1, size)
			n := 0
			for b.Loop() {
				n++
				o.open(b, start.Add(time.Duration(n)*time.Millisecond), groupOf(0, 1), size)
			}
		})
	}
}
