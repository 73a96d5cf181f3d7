package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// proxy stands between the entries and the store. Its connections may go silent for good, while new ones work.
type proxy struct {
	address string
	target  string

	mu    sync.Mutex
	conns []*atomic.Bool
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// silence makes all open connections silent.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Store(true)
	}
	n := len(p.conns)
	p.conns = nil
	return n
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	silent := &atomic.Bool{}
	p.mu.Lock()
	p.conns = append(p.conns, silent)
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			if err != nil {
				return
			}
			if silent.Load() {
				// The bytes are lost.
				continue
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
	}
	go pipe(upstream, c)
	go pipe(c, upstream)
	<-done
	if silent.Load() {
		// The other side hears nothing of the end either.
		io.Copy(io.Discard, c)
	}
}

// The size and the pace of the changes: gap_s 0.08 for 4 s, as in the site file.
const (
	stormRoutes = 1400
	stormGap    = 80 * time.Millisecond
	stormTime   = 4 * time.Second
)

// stormCase: configurations come in quick succession while the open connections to the store have gone silent.
func stormCase(d *deployment, trouble bool) (bool, error) {
	zones := []string{"z1", "z2", "z3"}
	p, err := newProxy(d.net+".251", d.store.address)
	if err != nil {
		return false, err
	}
	d.storeAddress = func(*entry) string { return p.address }
	var mu sync.Mutex
	// ranBy holds the service that ran each request.
	ranBy := map[string]string{}
	for _, z := range zones {
		d.addEntry(z)
		for _, service := range []string{"old", "new"} {
			s, err := d.addServer(service, z, 5*time.Millisecond)
			if err != nil {
				return false, err
			}
			s.onRun = func(s *server, r *http.Request, _ []byte) bool {
				mu.Lock()
				ranBy[r.Header.Get("Kingcupturn-Attempt-Id")] = s.service
				mu.Unlock()
				return true
			}
		}
	}
	config := func(version int, service string) (time.Time, int) {
		routes := []route{{Name: "moved", Host: "desk.example", Prefix: "/moved/", Kind: "idempotent", Timeout: 2000, Target: 300, Priority: 1, Attempts: 2, Service: service}}
		for i := range stormRoutes {
			routes = append(routes, route{
				Name: fmt.Sprintf("route-%04d-%s", i, strings.Repeat("n", 24)), Host: fmt.Sprintf("host%04d.%s.example", i, strings.Repeat("h", 24)),
				Prefix: fmt.Sprintf("/path%04d/%s/", i, strings.Repeat("p", 24)), Kind: "idempotent", Timeout: 1000 + version, Target: 300, Priority: 2, Attempts: 2,
				Service: "old",
			})
		}
		return d.configure(version, routes, []string{"old", "new"})
	}
	_, size := config(1, "old")
	d.record.say("a configuration of %d routes has %d bytes", stormRoutes+1, size)
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	type sample struct {
		answer
		e *entry
	}
	var samples []sample
	var requests sync.WaitGroup
	for _, e := range d.entries {
		c := d.newClient()
		requests.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := c.send(e, "GET", "desk.example", "/moved/x", nil, 2*time.Second, nil, 0)
				mu.Lock()
				samples = append(samples, sample{a, e})
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	version := 1
	began := time.Now()
	silenced := time.Time{}
	for time.Since(began) < stormTime {
		next := time.Now().Add(stormGap)
		version++
		config(version, "old")
		d.record.add("version %d acknowledged", version)
		if silenced.IsZero() && time.Since(began) > stormTime/8 {
			silenced = time.Now()
			if trouble {
				d.record.say("%d open connections to the store go silent, new ones work", p.silence())
			}
		}
		time.Sleep(time.Until(next))
	}
	version++
	acknowledged, _ := config(version, "new")
	d.record.say("version %d acknowledged: /moved/ goes to the service new", version)
	time.Sleep(28 * time.Second)
	close(stop)
	requests.Wait()
	from := acknowledged.Add(applyMS * time.Millisecond)
	if touch := silenced.Add(stableWindow); touch.After(from) {
		from = touch
	}
	late, total := 0, 0
	var last time.Duration
	mu.Lock()
	defer mu.Unlock()
	for _, s := range samples {
		if !s.sent.After(from) {
			continue
		}
		total++
		if ranBy[s.id] == "old" {
			late++
			last = max(last, s.sent.Sub(acknowledged))
			d.record.add("request %s, sent to %s %.2f s after the acknowledgement, was run by the service old", s.id, s.e.name, s.sent.Sub(acknowledged).Seconds())
		}
	}
	d.record.say("CONFIG: %d of %d requests sent later than %d ms after the acknowledgement, by machines in touch, were run by the old service, the last %.1f s after it",
		late, total, applyMS, last.Seconds())
	return late > 0, nil
}
