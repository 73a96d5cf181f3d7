package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// stamps holds what servers have answered, by the signature of the answer.
type stamps struct {
	mu    sync.Mutex
	known map[string]stamp
	// runs counts the runs of each request by its identifier.
	runs map[string]int
}

// stamp is one answer of a server.
type stamp struct {
	id, service string
	status      int
	body        []byte
}

func newStamps() *stamps { return &stamps{known: map[string]stamp{}, runs: map[string]int{}} }

func (s *stamps) add(st stamp) string {
	var b [8]byte
	rand.Read(b[:])
	name := hex.EncodeToString(b[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[name] = st
	return name
}

// run counts a run of a request.
func (s *stamps) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// ran returns how often a request has begun to run.
func (s *stamps) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *stamps) get(name string) (stamp, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.known[name]
	return st, ok
}

// server is a server of the platform's users.
type server struct {
	d                        *deployment
	id, service, zone, state string
	version                  string
	address                  string
	born                     time.Time
	// work is how long a request takes; onRun, if set, is called when a request begins to run and may crash the server.
	work  time.Duration
	onRun func(s *server, r *http.Request, body []byte) bool

	mu      sync.Mutex
	http    *http.Server
	slots   chan struct{}
	running int
	crashed bool
}

// addServer starts a server and registers it.
func (d *deployment) addServer(service, zone string, work time.Duration) (*server, error) {
	return d.newServer(service, zone, "v1", work)
}

// newServer is addServer with a version of the server's software.
func (d *deployment) newServer(service, zone, version string, work time.Duration) (*server, error) {
	var b [5]byte
	rand.Read(b[:])
	s := &server{d: d, id: "i-" + hex.EncodeToString(b[:]), service: service, zone: zone, version: version, work: work}
	d.servers = append(d.servers, s)
	s.address = fmt.Sprintf("%s.200:%d", d.net, 9000+len(d.servers))
	return s, s.start()
}

const (
	serverSlots = 8
	serverQueue = 24
)

// start makes the server listen and register itself.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	s.slots, s.running, s.crashed, s.state, s.born = make(chan struct{}, serverSlots), 0, false, "ready", time.Now()
	h := s.http
	s.mu.Unlock()
	go h.Serve(l)
	s.register()
	return nil
}

func (s *server) register() {
	s.d.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "capacity": serverSlots, "state": s.state, "cold-left-ms": 0,
		"sequence": 1, "born": s.born.UnixMilli(),
	})
}

// crash ends the server at once; its record goes after three missed heartbeats unless it is back before.
func (s *server) crash() {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.crashed = true
	h, born := s.http, s.born
	s.mu.Unlock()
	s.d.record.add("server %s (%s, %s) crashes", s.id, s.service, s.zone)
	h.Close()
	time.AfterFunc(3600*time.Millisecond, func() {
		s.mu.Lock()
		gone := s.crashed && s.born.Equal(born)
		s.mu.Unlock()
		if gone {
			s.d.store.remove("servers/" + s.id)
			s.d.record.add("record of server %s removed", s.id)
		}
	})
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Kingcupturn-Attempt-Id")
	if r.URL.Path == "/healthz" {
		w.Header().Set("Kingcupturn-Instance-Id", s.id)
		return
	}
	w.Header().Set("Kingcupturn-Attempt-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Kingcupturn-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Kingcupturn-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.running++
	full, slots := s.running > serverSlots+serverQueue, s.slots
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if full {
		s.refuse(w)
		return
	}
	var left time.Duration
	var ms int64
	fmt.Sscan(r.Header.Get("Kingcupturn-Deadline-Ms"), &ms)
	if left = time.Duration(ms) * time.Millisecond; left <= 0 {
		left = 10 * time.Second
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	select {
	case slots <- struct{}{}:
	case <-deadline.C:
		s.refuse(w)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-slots }()
	s.d.stamps.run(id)
	if s.onRun != nil && !s.onRun(s, r, body) {
		w.Header().Set("Kingcupturn-Server-Stamp", s.d.stamps.add(stamp{id: id, service: s.service, status: http.StatusInternalServerError}))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case <-time.After(s.work):
	case <-deadline.C:
		w.Header().Set("Kingcupturn-Server-Stamp", s.d.stamps.add(stamp{id: id, service: s.service, status: http.StatusGatewayTimeout}))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	records := make([]byte, 12*16)
	rand.Read(records)
	w.Header().Set("Kingcupturn-Server-Stamp", s.d.stamps.add(stamp{id, s.service, http.StatusOK, records}))
	s.mu.Lock()
	w.Header().Set("Kingcupturn-Server-Load", fmt.Sprintf("%d,%d,%d", min(s.running, serverSlots), max(0, s.running-serverSlots), serverSlots))
	s.mu.Unlock()
	w.Header().Set("Content-Length", fmt.Sprint(len(records)))
	w.Write(records)
}

// refuse turns a request away that has not run.
func (s *server) refuse(w http.ResponseWriter) {
	w.Header().Set("Kingcupturn-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// route is a route of the operator's configuration.
type route struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"path-prefix"`
	Kind     string   `json:"route-kind"`
	Timeout  int      `json:"timeout-ms"`
	Target   int      `json:"target-latency-ms"`
	Priority int      `json:"priority"`
	Attempts int      `json:"max-attempts"`
	Service  string   `json:"service,omitempty"`
	Gather   []string `json:"gather,omitempty"`
	Top      int      `json:"top-k,omitempty"`
	Coverage float64  `json:"min-coverage,omitempty"`
}

// configure writes a version of the configuration and returns the time of the acknowledgement and the size of its value.
func (d *deployment) configure(version int, routes []route, services []string) (time.Time, int) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 0.0,
		})
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	data, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	return d.store.put("op/config", config), len(data)
}
