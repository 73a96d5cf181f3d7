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

// clock is the real time; the tests below don't judge by it.
type clock struct{}

func (clock) Now() time.Time { return time.Now() }

func (clock) Subscribe(context.Context, time.Duration) <-chan time.Time { return nil }

func (clock) After(_ context.Context, d time.Duration) <-chan time.Time { return time.After(d) }

// echoOracle has one shard per service and one item per part.
type echoOracle struct{}

func (echoOracle) Shards(kctport.ServiceName, kctport.Snapshot) int { return 1 }
func (echoOracle) Snapshots() []kctport.Snapshot                    { return []kctport.Snapshot{4} }
func (echoOracle) Items(p kctport.Part, _ int, _ kctport.Snapshot, body []byte) []kctport.Item {
	return []kctport.Item{{ID: string(p.Service), Score: 1, Text: string(body)}}
}

// ledger says that every key ran as often as it tells, and nothing of parts.
type ledger int

func (l ledger) Runs(string) int  { return int(l) }
func (l ledger) PartsRun() uint64 { return 0 }

// stub answers like an entry over a tier with the echo oracle; spoil may change the answer.
func stub(t *testing.T, spoil func(*answerMessage)) netip.AddrPort {
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
		spoil(&a)
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

// Guards against a generator that passes wrong answers, or calls right ones wrong.
func TestRunJudges(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(*answerMessage)
		runs  ledger
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
				Workload: w, Seed: 1, Length: time.Second, Entries: []netip.AddrPort{stub(t, c.spoil)},
				Timer: clock{}, Oracle: echoOracle{}, RunCounter: c.runs,
			})
			if err != nil {
				t.Fatal(err)
			}
			if r.All.Sent != len(Schedule(w, 1, time.Second)) || r.All.Sent == 0 {
				t.Errorf("sent %d requests", r.All.Sent)
			}
			if c.bad == nil != r.Clean() || c.bad != nil && c.bad(r.All.Counts) == 0 {
				t.Errorf("counts are %+v, evidence %v", r.All.Counts, r.Evidence)
			}
		})
	}
}

// Guards against a load that differs between two runs with one seed, and against JSON that loses a field.
func TestWorkloadsRepeatable(t *testing.T) {
	for _, w := range []Workload{Smokehouses(), Patinha()} {
		raw, err := EncodeWorkload(w)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeWorkload(raw)
		if err != nil || !reflect.DeepEqual(w, back) {
			t.Errorf("decoded %+v, %v", back, err)
		}
		if !reflect.DeepEqual(Schedule(w, 3, time.Second), Schedule(back, 3, time.Second)) {
			t.Error("two schedules of one seed differ")
		}
	}
}
