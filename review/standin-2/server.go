package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// arrival is one arrival of a request at a server.
type arrival struct {
	at       time.Time
	id       string
	server   *server
	executed bool
	status   int
	// cold is set when the server was cold at the arrival.
	cold bool
}

// server stands in for one server of a service. Its fields above mu are set before it starts.
type server struct {
	world    *world
	id       string
	service  string
	zone     string
	version  string
	capacity int
	// work returns how long a request takes.
	work func() time.Duration
	// coldFor is how long the server stays cold, and coldCrash the number of requests in a second beyond which it then crashes.
	coldFor   time.Duration
	coldCrash int

	mu        sync.Mutex
	address   string
	up        bool
	born      time.Time
	coldUntil time.Time
	leaving   bool
	// silent is set once the server writes its entry no more.
	silent   bool
	limit    float64
	sequence int
	slots    chan struct{}
	waiting  int
	http     *http.Server
	conns    map[net.Conn]struct{}
	starts   int
	recent   []time.Time
	stop     chan struct{}
}

const maxQueue = 24

// start makes the server listen, at its former address if it had one, and say so in the store.
func (s *server) start(cold bool) error {
	s.mu.Lock()
	address := s.address
	if address == "" {
		address = s.world.host + ":0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		s.mu.Unlock()
		return err
	}
	now := time.Now()
	s.address, s.up, s.born, s.leaving, s.silent, s.sequence = l.Addr().String(), true, now, false, false, 0
	s.slots, s.waiting, s.recent, s.conns = make(chan struct{}, s.capacity), 0, nil, map[net.Conn]struct{}{}
	s.coldUntil = time.Time{}
	if cold {
		s.coldUntil = now.Add(s.coldFor)
	}
	s.starts++
	s.stop = make(chan struct{})
	stop := s.stop
	h := &http.Server{Handler: s, IdleTimeout: 20 * time.Second, ConnState: s.track}
	s.http = h
	s.mu.Unlock()
	s.beat()
	go h.Serve(l)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat + time.Duration(rand.IntN(100)-50)*time.Millisecond):
				s.beat()
			}
		}
	}()
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.conns[c] = struct{}{}
	} else if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
	}
}

// entry is what the server writes of itself.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "capacity": s.capacity, "state": "ready",
		"cold-left-ms": max(0, time.Until(s.coldUntil).Milliseconds()), "sequence": s.sequence, "born": s.born.UnixMilli(),
	}
}

func (s *server) beat() {
	s.mu.Lock()
	writes := s.up && !s.silent
	s.mu.Unlock()
	if writes {
		s.world.store.beat(s.id, s.entry())
	}
}

// leave makes the server say in its answers that it leaves; it writes its entry no more.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.silent = true, true
}

// nameLimit makes the server name a limit in its answers.
func (s *server) nameLimit(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// end ends the server: its connections are reset and its address refuses new ones.
func (s *server) end() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	close(s.stop)
	conns, h := s.conns, s.http
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	s.world.record("server %s ends", s.id)
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = h.Close()
}

// isCold reports whether the server is cold.
func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// ServeHTTP answers requests and health checks.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.mu.Lock()
	born, slots := s.born, s.slots
	coldLeft := max(0, s.coldUntil.Sub(now))
	s.mu.Unlock()
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set("Kingcupturn-Instance-Id", s.id)
		h.Set("Kingcupturn-Cold-Ms", strconv.FormatInt(coldLeft.Milliseconds(), 10))
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Kingcupturn-Attempt-Id")
	h.Set("Kingcupturn-Attempt-Id", id)
	if expected := r.Header.Get("Kingcupturn-Expect-Instance"); expected != "" && expected != s.id {
		h.Set("Kingcupturn-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{at: now, id: id, server: s, cold: coldLeft > 0}
	s.world.arrived(a)
	s.notices(h)
	if s.countCold(now) {
		go s.world.coldCrash(s)
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ms, _ := strconv.Atoi(r.Header.Get("Kingcupturn-Deadline-Ms"))
	if ms <= 0 {
		ms = 10000
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(time.Duration(ms)*time.Millisecond))
	defer cancel()
	s.mu.Lock()
	full := s.waiting >= maxQueue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		s.refuse(w, a)
		return
	}
	acquired := false
	select {
	case slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.waiting--
	alive := s.up && s.born.Equal(born)
	s.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler)
	}
	if !acquired {
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		s.refuse(w, a)
		return
	}
	defer func() { <-slots }()
	s.world.executed(a)
	work := s.work()
	if string(body) == crashBody {
		work = crashWork
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	s.mu.Lock()
	alive = s.up && s.born.Equal(born)
	s.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if string(body) == crashBody {
		go s.world.crash(s)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	s.notices(h)
	h.Set("Kingcupturn-Server-Stamp", fmt.Sprintf("%s.%s.%d", s.id, id, status))
	h.Set("Kingcupturn-Server-Load", fmt.Sprintf("%d,%d,%d", len(slots), s.queued(), s.capacity))
	s.world.finished(a, status)
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s of %s, %d bytes", id, s.id, len(body))
}

func (s *server) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// notices sets the headers by which the server tells of itself.
func (s *server) notices(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	if s.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', 2, 64))
	}
}

// refuse says that the request has not run.
func (s *server) refuse(w http.ResponseWriter, a *arrival) {
	s.world.finished(a, http.StatusServiceUnavailable)
	w.Header().Set("Kingcupturn-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// countCold counts an arrival and reports whether the cold server can't bear it.
func (s *server) countCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(slices.DeleteFunc(s.recent, func(t time.Time) bool { return now.Sub(t) >= time.Second }), now)
	return s.isCold(now) && s.coldCrash > 0 && len(s.recent) > s.coldCrash
}
