package kctload

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// realTimer uses the system clock; the tests in this file don't depend on measured times.
type realTimer struct{}

func (realTimer) Now() time.Time { return time.Now() }

func (realTimer) Subscribe(context.Context, time.Duration) <-chan time.Time { return nil }

func (realTimer) After(_ context.Context, d time.Duration) <-chan time.Time { return time.After(d) }

// echoOracle expects one shard per service, and one item per part with the body as its text.
type echoOracle struct{}

func (echoOracle) Shards(kctport.ServiceName, kctport.Snapshot) int { return 1 }
func (echoOracle) Snapshots() []kctport.Snapshot                    { return []kctport.Snapshot{4} }
func (echoOracle) Items(p kctport.Part, _ int, _ kctport.Snapshot, body []byte) []kctport.Item {
	return []kctport.Item{{ID: string(p.Service), Score: 1, Text: string(body)}}
}

// fixedRunCounter returns its value as the number of runs of each key, and 0 parts.
type fixedRunCounter int

func (c fixedRunCounter) Runs(string) int  { return int(c) }
func (c fixedRunCounter) PartsRun() uint64 { return 0 }

// startStub starts an HTTP server that answers as an entry would for endpoints that agree with echoOracle; alter may change the answer to a query.
func startStub(t *testing.T, alter func(*answerMessage)) netip.AddrPort {
	t.Helper()
	var keys atomic.Int64
	var self netip.AddrPort
	reply := func(w http.ResponseWriter, m any) {
		if err := json.NewEncoder(w).Encode(m); err != nil {
			t.Error(err)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, addressesMessage{[]netip.AddrPort{self}, kctwire.Duration(time.Second)})
	})
	mux.HandleFunc("POST /v1/keys", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, keysMessage{Keys: []string{time.Duration(keys.Add(1)).String()}, TTL: kctwire.Duration(time.Minute)})
	})
	mux.HandleFunc("POST /v1/query", func(w http.ResponseWriter, r *http.Request) {
		var q queryMessage
		_ = json.NewDecoder(r.Body).Decode(&q)
		a := answerMessage{Snapshot: 4}
		slices.Sort(q.Services)
		for _, s := range q.Services {
			a.Items = append(a.Items, kctwire.Item{ID: string(s), Score: 1, Text: q.Text})
		}
		a.Coverage.Answered, a.Coverage.Total, a.Coverage.Whole = len(q.Services), len(q.Services), true
		alter(&a)
		reply(w, a)
	})
	mux.HandleFunc("POST /v1/execute", func(w http.ResponseWriter, r *http.Request) {
		var e executeMessage
		_ = json.NewDecoder(r.Body).Decode(&e)
		reply(w, answerMessage{Key: e.Key, Items: []kctwire.Item{{ID: string(e.Service), Score: 1, Text: e.Text}}})
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	self = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	return self
}

// Guards against checks that accept wrong answers or reject correct ones.
func TestRunChecksAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		alter func(*answerMessage)
		runs  fixedRunCounter
		bad   func(Counts) int
	}{
		"right":          {func(*answerMessage) {}, 1, nil},
		"item left out":  {func(a *answerMessage) { a.Items = a.Items[1:] }, 1, func(c Counts) int { return c.Wrong }},
		"other request":  {func(a *answerMessage) { a.Items[0].Text = "x" }, 1, func(c Counts) int { return c.Wrong }},
		"false whole":    {func(a *answerMessage) { a.Coverage.Answered-- }, 1, func(c Counts) int { return c.Wrong }},
		"ran twice":      {func(*answerMessage) {}, 2, func(c Counts) int { return c.Doubled }},
		"never ran":      {func(*answerMessage) {}, 0, func(c Counts) int { return c.Misreported }},
		"false coverage": {func(a *answerMessage) { a.Coverage.Total, a.Coverage.Answered = 1, 1 }, 1, func(c Counts) int { return c.Wrong }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Smokehouses().Scaled(0, 1)
			r, err := Run(t.Context(), Plan{
				Workload: w, Seed: 1, Length: time.Second, Entries: []netip.AddrPort{startStub(t, c.alter)},
				Timer: realTimer{}, Oracle: echoOracle{}, RunCounter: c.runs,
			})
			if err != nil {
				t.Fatal(err)
			}
			if r.All.Sent != len(Schedule(w, 1, time.Second)) || r.All.Sent == 0 {
				t.Errorf("sent %d requests, want all of the schedule", r.All.Sent)
			}
			if c.bad == nil != r.Clean() || c.bad != nil && c.bad(r.All.Counts) == 0 {
				t.Errorf("counts are %+v, want only the failure of this case; evidence %v", r.All.Counts, r.Evidence)
			}
		})
	}
}

// Guards against schedules that differ between runs with the same seed, and against workload JSON that lacks a field.
func TestWorkloadsRepeatable(t *testing.T) {
	for _, w := range []Workload{Smokehouses(), Patinha()} {
		raw, err := EncodeWorkload(w)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeWorkload(raw)
		if err != nil || !reflect.DeepEqual(w, back) {
			t.Errorf("decoded %+v, error %v; want the encoded workload", back, err)
		}
		if !reflect.DeepEqual(Schedule(w, 3, time.Second), Schedule(back, 3, time.Second)) {
			t.Error("schedules with the same seed differ")
		}
	}
}
