package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as the protocol spells it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	leases   map[uint64]lease
	history  []item
	revision uint64
	number   uint64
	era      uint64
	// compacted is the revision up to which the history is gone.
	compacted uint64
	// down answers all calls with 503 and does nothing.
	down    bool
	changed chan struct{}
	// alive is when each server last wrote its entry.
	alive map[string]time.Time
	// onStatus is called with each write under status/.
	onStatus func(key, value string)
	address  string
	server   *http.Server
}

const (
	heartbeat = 1200 * time.Millisecond
	// expiry is the silence after which the entry of a server is removed.
	expiry        = 3 * heartbeat
	maxPage       = 500
	longestLease  = 10 * time.Minute
	shortestLease = time.Second
)

func newStore(host string) (*store, error) {
	s := &store{
		items: map[string]item{}, leases: map[uint64]lease{}, revision: 10, era: 1, compacted: 10, changed: make(chan struct{}),
		alive: map[string]time.Time{}, onStatus: func(string, string) {},
	}
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	go s.sweep()
	return s, nil
}

// sweep ends leases and removes the entries of silent servers; both pause while the store is down.
func (s *store) sweep() {
	last := time.Now()
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		if s.down {
			for n, l := range s.leases {
				l.expires = l.expires.Add(now.Sub(last))
				s.leases[n] = l
			}
			for id, at := range s.alive {
				s.alive[id] = at.Add(now.Sub(last))
			}
		}
		last = now
		for n, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(n)
			}
		}
		for id, at := range s.alive {
			if now.Sub(at) > expiry {
				delete(s.alive, id)
				s.remove("servers/" + id)
			}
		}
		s.mu.Unlock()
	}
}

// setDown makes the store refuse all calls, or answer them again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	if strings.HasPrefix(key, "status/") {
		s.onStatus(key, string(value))
	}
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}

func (s *store) endLease(n uint64) {
	delete(s.leases, n)
	for key, i := range s.items {
		if i.Lease == n {
			s.remove(key)
		}
	}
}

// write is a write of the operator; it returns when the store has accepted it.
func (s *store) write(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
	return time.Now()
}

// drop is a removal by the operator.
func (s *store) drop(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

// beat writes the entry of a server; it changes only when more than the sequence does. It reports whether the store took it.
func (s *store) beat(id string, value map[string]any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.alive[id] = time.Now()
	key := "servers/" + id
	if old, ok := s.items[key]; ok {
		var before map[string]any
		_ = json.Unmarshal(old.Value, &before)
		same := len(before) == len(value)
		for k, v := range value {
			if k != "sequence" && fmt.Sprint(before[k]) != fmt.Sprint(v) {
				same = false
			}
		}
		if same {
			return true
		}
	}
	data, _ := json.Marshal(value)
	s.put(key, data, 0)
	return true
}

// leave removes the entry of a server that has left.
func (s *store) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.alive, id)
	s.remove("servers/" + id)
}

// copyOf is a copy of the store, for a drill.
type copyOf struct {
	items            map[string]item
	leases           map[uint64]lease
	revision, number uint64
}

func (s *store) copy() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyOf{maps.Clone(s.items), maps.Clone(s.leases), s.revision, s.number}
}

// restore brings the store back from a copy.
func (s *store) restore(c copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.leases, s.revision, s.number = maps.Clone(c.items), maps.Clone(c.leases), c.revision, c.number
	for n, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
		s.leases[n] = l
	}
	for key := range s.items {
		if id, ok := strings.CutPrefix(key, "servers/"); ok {
			s.alive[id] = time.Now()
		}
	}
	s.history, s.compacted = nil, s.revision
	s.era++
	s.notify()
}

// ServeHTTP answers the calls of the entries.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		s.answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	time.Sleep(2 * time.Millisecond)
	status, body := s.call(r)
	s.answer(w, status, body)
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) call(r *http.Request) (int, any) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		if i, ok := s.items[q.Get("key")]; ok {
			return http.StatusOK, i
		}
		return http.StatusNotFound, nil
	case path == "/v1/kv-range":
		return s.list(q.Get("path-prefix"), q.Get("after"))
	case path == "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		return s.watch(r, q.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/v1/kv-txn":
		return s.txn(r)
	case path == "/v1/kv-lease":
		var g struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&g) != nil {
			return http.StatusBadRequest, nil
		}
		ttl := max(shortestLease, min(longestLease, time.Duration(g.TTL)*time.Millisecond))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.number++
		s.leases[s.number] = lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.number, "ttl-ms": ttl.Milliseconds()}
	case strings.HasPrefix(path, "/v1/kv-keep/"), strings.HasPrefix(path, "/v1/kv-lease-end/"):
		n, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l, ok := s.leases[n]
		switch {
		case !ok:
			return http.StatusNotFound, nil
		case r.Method == http.MethodDelete:
			s.endLease(n)
		default:
			l.expires = time.Now().Add(l.ttl)
			s.leases[n] = l
		}
		return http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()}
	}
	return http.StatusNotFound, nil
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, s.items[key])
		}
	}
	more := len(items) > maxPage
	if more {
		items = items[:maxPage]
	}
	return http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, down := s.changed, s.down
		gone := after < s.compacted || after > s.revision || era != s.era
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		switch {
		case down:
			return http.StatusServiceUnavailable, nil
		case gone:
			return http.StatusGone, nil
		case len(events) > 0:
			return http.StatusOK, map[string]any{"events": events, "as-of": asOf}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "as-of": asOf}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (s *store) txn(r *http.Request) (int, any) {
	var t struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Removes []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, []item{}
	for _, c := range t.Conditions {
		i := s.items[c.Key]
		i.Key = c.Key
		current = append(current, i)
		met = met && i.Revision == c.Revision
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Removes {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}
