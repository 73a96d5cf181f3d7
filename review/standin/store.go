package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps its history (`history-s`).
const historyTime = 20 * time.Second

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	items   map[string]item
	leases  map[uint64]*lease
	history []item
	// at holds the time of each entry of the history; gone is the revision up to which the history has been dropped.
	at        []time.Time
	gone      uint64
	revision  uint64
	lastLease uint64
	changed   chan struct{}
	server    *http.Server
	address   string
}

// newStore starts a store at a loopback address.
func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, leases: map[uint64]*lease{}, revision: 1, changed: make(chan struct{}), address: l.Addr().String()}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.server.Serve(l)
	go s.expire()
	return s, nil
}

// put writes a key as the operator or a server does and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
	return time.Now()
}

// value returns the value of a key, nil without one.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// remove deletes a key as its writer does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// write writes a key; the caller holds the lock.
func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

// drop deletes a key; the caller holds the lock.
func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record adds a change to the history, drops what is too old and wakes the watches; the caller holds the lock.
func (s *store) record(i item) {
	s.history, s.at = append(s.history, i), append(s.at, time.Now())
	s.forget()
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history that is older than historyTime; the caller holds the lock.
func (s *store) forget() {
	n := 0
	for n < len(s.at) && time.Since(s.at[n]) > historyTime {
		s.gone = s.history[n].Revision
		n++
	}
	s.history, s.at = s.history[n:], s.at[n:]
}

// expire ends leases that were not renewed.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.forget()
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys; the caller holds the lock.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	status, body := s.call(r)
	w.Header().Set("Store-Era", "1")
	if body == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) call(r *http.Request) (int, any) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-key" && r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if i, ok := s.items[q.Get("key")]; ok {
			return http.StatusOK, i
		}
		return http.StatusNotFound, nil
	case path == "/v1/kv-range" && r.Method == http.MethodGet:
		return s.readRange(q.Get("path-prefix"), q.Get("after"))
	case path == "/v1/kv-watch" && r.Method == http.MethodGet:
		return s.watch(r)
	case path == "/v1/kv-txn" && r.Method == http.MethodPost:
		return s.commit(r)
	case path == "/v1/kv-lease" && r.Method == http.MethodPost:
		return s.grant(r)
	case strings.HasPrefix(path, "/v1/kv-keep/"), strings.HasPrefix(path, "/v1/kv-lease-end/"):
		return s.onLease(path[strings.LastIndexByte(path, '/')+1:], r.Method == http.MethodDelete)
	}
	return http.StatusNotFound, nil
}

func (s *store) readRange(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		i := s.items[key]
		if len(items) == 500 || len(items) > 0 && size+len(i.Value) > 1<<20 {
			return http.StatusOK, map[string]any{"items": items, "has-more": true, "as-of": s.revision}
		}
		items, size = append(items, i), size+len(i.Value)
	}
	return http.StatusOK, map[string]any{"items": items, "has-more": false, "as-of": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil || wait > 30_000 {
		return http.StatusBadRequest, nil
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, asOf, gone := s.changed, s.revision, after < s.gone || after > s.revision
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path-prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if gone {
			return http.StatusGone, nil
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "as-of": asOf}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, map[string]any{"events": events, "as-of": asOf}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

// transaction is the body of a call of kv-txn.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected-rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) commit(r *http.Request) (int, any) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	now, failed := []item{}, false
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		failed = failed || i.Revision != e.Revision
		if ok {
			now = append(now, i)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": now}
	}
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// grant is the body and the answer of a call of kv-lease.
type grantBody struct {
	Lease uint64 `json:"lease,omitempty"`
	TTL   int64  `json:"ttl-ms"`
}

func (s *store) grant(r *http.Request) (int, any) {
	var g grantBody
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	g.Lease, g.TTL = s.lastLease, max(g.TTL, 1000)
	ttl := time.Duration(g.TTL) * time.Millisecond
	s.leases[g.Lease] = &lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, g
}

func (s *store) onLease(text string, end bool) (int, any) {
	id, err := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case err != nil || l == nil:
		return http.StatusNotFound, nil
	case end:
		s.endLease(id)
	default:
		l.expires = time.Now().Add(l.ttl)
	}
	return http.StatusOK, map[string]any{}
}
