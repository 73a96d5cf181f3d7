package kctload

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupturn/io/kctwire"
)

// Guards against a generator that waits for answers before it sends on: a stall would then hide itself.
// The stub holds all answers back until it has seen every request.
func TestOpenLoop(t *testing.T) {
	w := Smokehouses().Scaled(0, 1)
	w.Kinds = w.Kinds[:2]
	const length = 400 * time.Millisecond
	schedule := Schedule(w, 5, length)
	var seen sync.WaitGroup
	seen.Add(len(schedule))
	at := stub(t, func(*answerMessage) {
		seen.Done()
		seen.Wait()
	})
	r, err := Run(t.Context(), Plan{Workload: w, Seed: 5, Length: length, Entries: []netip.AddrPort{at}, Callers: 2, Timer: clock{}})
	if err != nil || r.All.Complete != len(schedule) {
		t.Fatalf("%d of %d whole, %v, %v", r.All.Complete, len(schedule), err, r.Evidence)
	}
	// The first request waited at least until the last one was due; the histogram keeps 3 digits.
	if least := schedule[len(schedule)-1].Offset - schedule[0].Offset; r.All.Quantiles.P999 < least*99/100 {
		t.Errorf("p99.9 is %v, the first request waited %v", r.All.Quantiles.P999, least)
	}
}

// Guards against an execution that is sent again with a new key, or not at all, after its connection broke.
func TestResendKeepsKey(t *testing.T) {
	var mu sync.Mutex
	keys := map[string]int{}
	var breaking, working netip.AddrPort
	serve := func(broken bool) netip.AddrPort {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(addressesMessage{[]netip.AddrPort{breaking, working}, kctwire.Duration(time.Minute)})
		})
		mux.HandleFunc("POST /v1/keys", func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(keysMessage{Keys: []string{"one"}, TTL: kctwire.Duration(time.Minute)})
		})
		mux.HandleFunc("POST /v1/execute", func(w http.ResponseWriter, r *http.Request) {
			var e executeMessage
			_ = json.NewDecoder(r.Body).Decode(&e)
			mu.Lock()
			keys[e.Key]++
			mu.Unlock()
			if broken {
				panic(http.ErrAbortHandler)
			}
			_ = json.NewEncoder(w).Encode(answerMessage{Key: e.Key})
		})
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	breaking, working = serve(true), serve(false)
	w := Smokehouses().Scaled(0, 1)
	c := newCaller(Plan{Workload: w, Entries: []netip.AddrPort{working}, Timer: clock{}}, 0)
	broken := 0
	for range 8 {
		r := c.send(t.Context(), Plan{Workload: w}, Arrival{Kind: 3}, time.Now())
		if r.verdict != verdictWhole || r.key != "one" {
			t.Fatalf("result is %+v", r)
		}
		broken += r.broken
	}
	if broken == 0 || keys["one"] != 8+broken || len(keys) != 1 {
		t.Errorf("%d connections broke, keys sent: %v", broken, keys)
	}
}
