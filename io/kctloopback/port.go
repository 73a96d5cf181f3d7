package kctloopback

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// The range lies below the ephemeral ports of outgoing connections: a connection could take one of those
// between the check that the port is free and the listen on it.
const (
	lowestPort  = 15_000
	highestPort = 32_000
	portTries   = 200
)

// nextPort is a counter, so that one process does not return a port again before the range is used up; a random start makes
// collisions between processes unlikely.
var nextPort atomic.Uint32

func init() {
	nextPort.Store(rand.Uint32N(highestPort - lowestPort))
}

// FreePorts returns loopback addresses on which nothing listens, for instances that announce their addresses before they listen;
// the error wraps ErrUnavailable.
func FreePorts(count int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range portTries {
		if len(out) == count {
			return out, nil
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(lowestPort+nextPort.Add(1)%(highestPort-lowestPort)))
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		out = append(out, address)
	}
	return nil, eris.Wrap(kctport.ErrUnavailable, "no free port found")
}
