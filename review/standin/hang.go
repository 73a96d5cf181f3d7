package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// darken makes the address of a machine that is gone silent: connections are neither taken nor refused. The function undoes it.
func darken(address string) (func(), error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	// The queue of a listener that nobody accepts from is full after one connection or two; further ones get no reply.
	var fill []net.Conn
	for {
		c, err := net.DialTimeout("tcp", address, 20*time.Millisecond)
		if err != nil {
			break
		}
		fill = append(fill, c)
	}
	return func() {
		for _, c := range fill {
			c.Close()
		}
		syscall.Close(fd)
	}, nil
}

const (
	// stops is the number of planned stops, and lossStep how much later after SIGTERM the machines are lost each time.
	stops     = 8
	firstLoss = 2300 * time.Millisecond
	lossStep  = 50 * time.Millisecond
)

// hangCase: machines are lost for good while another one is stopped as planned.
func hangCase(d *deployment, trouble bool) (bool, error) {
	var services []string
	for i := range 4 {
		services = append(services, fmt.Sprintf("shard%d", i))
	}
	// Each zone lacks the server of one shard.
	for n, z := range []string{"z1", "z2", "z3"} {
		d.addEntry(z)
		for i, s := range services {
			if i == n {
				continue
			}
			if _, err := d.addServer(s, z, 10*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	d.configure(1, []route{{
		Name: "search", Host: "search.example", Prefix: "/search/", Kind: "idempotent", Timeout: 800, Target: 150, Priority: 1, Attempts: 2,
		Gather: services, Top: 10, Coverage: 0.5,
	}}, services)
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var requests sync.WaitGroup
	stopped, others := d.entries[0], d.entries[1:]
	for range 4 {
		c := d.newClient()
		requests.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
					c.send(stopped, "GET", "search.example", "/search/find", nil, 800*time.Millisecond, services, 10)
				}
			}
		})
	}
	time.Sleep(time.Second)
	hung := 0
	for n := range stops {
		term := time.Now()
		if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		d.record.add("%s gets SIGTERM", stopped.name)
		var undo []func()
		if trouble {
			time.Sleep(firstLoss + time.Duration(n)*lossStep)
			for _, e := range others {
				e.kill()
			}
			lost := time.Since(term)
			for _, e := range others {
				u, err := darken(e.address("relay"))
				if err != nil {
					return false, err
				}
				undo = append(undo, u)
			}
			d.record.add("the other machines are gone %.2f s after SIGTERM", lost.Seconds())
		}
		select {
		case <-stopped.done:
			d.record.say("stop %d: %s ended %.2f s after SIGTERM", n+1, stopped.name, time.Since(term).Seconds())
		case <-time.After(time.Until(term.Add(graceS*time.Second + 500*time.Millisecond))):
			hung++
			d.record.say("stop %d: %s is still there %.2f s after SIGTERM, grace-s is %d: the platform kills it", n+1, stopped.name, time.Since(term).Seconds(), graceS)
			stopped.kill()
		}
		for _, u := range undo {
			u()
		}
		for _, e := range d.entries {
			if e == stopped || trouble {
				if err := d.start(e); err != nil {
					return false, err
				}
			}
		}
		for _, e := range d.entries {
			if !e.waitReady(10 * time.Second) {
				return false, fmt.Errorf("%s is not ready", e.name)
			}
		}
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	requests.Wait()
	d.record.say("%d of %d stops hung until SIGKILL", hung, stops)
	return hung > 0, nil
}
