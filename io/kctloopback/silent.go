package kctloopback

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// fillTimeout is how long a connection to a full queue is tried; the kernel completes one on the loopback address at once.
const fillTimeout = 20 * time.Millisecond

// Silence makes an IPv4 loopback address behave like that of a machine without power: connections to it get no reply. Port 0 stands for a free port; the
// address in use is returned with a function that frees it.
func Silence(at netip.AddrPort) (netip.AddrPort, func(), error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return at, nil, eris.Wrap(err, "open a socket")
	}
	at, err = listenFull(fd, at)
	if err != nil {
		syscall.Close(fd)
		return at, nil, err
	}
	// The queue of a listener that accepts nothing is full after one connection or two; further ones get no reply.
	var queued []net.Conn
	for {
		c, err := net.DialTimeout("tcp", at.String(), fillTimeout)
		if err != nil {
			break
		}
		queued = append(queued, c)
	}
	return at, func() {
		for _, c := range queued {
			c.Close()
		}
		syscall.Close(fd)
	}, nil
}

// listenFull binds a socket to an address and listens with the shortest queue.
func listenFull(fd int, at netip.AddrPort) (netip.AddrPort, error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return at, eris.Wrap(err, "set SO_REUSEADDR")
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return at, eris.Wrapf(err, "bind to %s", at)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return at, eris.Wrapf(err, "listen at %s", at)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return at, eris.Wrap(err, "read the address of a socket")
	}
	if v4, ok := bound.(*syscall.SockaddrInet4); ok {
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port)), nil
	}
	return at, eris.Errorf("address %v of a socket", bound)
}
