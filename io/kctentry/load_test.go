package kctentry

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
)

// reply is the status and body of an answer or refusal.
type reply struct {
	Status   int
	Snapshot kctport.Snapshot `json:"snapshot"`
	Items    []struct {
		ID    string  `json:"id"`
		Score float64 `json:"score"`
		Text  string  `json:"text"`
	} `json:"items"`
	Coverage struct {
		Answered int      `json:"answered"`
		Total    int      `json:"total"`
		Whole    bool     `json:"whole"`
		Missing  []string `json:"missing"`
	} `json:"coverage"`
	Code    string `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

// malformed makes ask send a body that is not valid JSON.
type malformed struct{}

// ask sends one request; it returns an error when no complete reply was received.
func ask(ctx context.Context, to netip.AddrPort, path string, body any) (reply, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return reply{}, err
	}
	if body == (malformed{}) {
		raw = []byte(`{"services":[`)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(raw))
	if err != nil {
		return reply{}, err
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	r := reply{Status: resp.StatusCode}
	return r, json.Unmarshal(text, &r)
}

// query describes the queries of a load and the expected answers.
type query struct {
	services []kctport.ServiceName
	// shards returns the shard count of a service in a snapshot.
	shards   func(kctport.ServiceName, kctport.Snapshot) int
	deadline time.Duration
}

func (q query) body(text string) map[string]any {
	return map[string]any{"services": q.services, "route": "match", "text": text, "deadline": q.deadline.String()}
}

// verify compares an answer with the items of its snapshot, except those of parts that it reports missing.
func (q query) verify(text string, r reply) error {
	var want []kctport.Item
	total := 0
	for _, s := range q.services {
		shards := q.shards(s, r.Snapshot)
		total += shards
		for n := range shards {
			part := kctport.Part{Service: s, Shard: n}
			if !slices.Contains(r.Coverage.Missing, part.String()) {
				want = append(want, kctfake.ExpectedItems(part, shards, r.Snapshot, []byte(text))...)
			}
		}
	}
	slices.SortFunc(want, func(a, b kctport.Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	c := r.Coverage
	if c.Total != total || c.Answered+len(c.Missing) != total || c.Whole != (len(c.Missing) == 0) {
		return fmt.Errorf("coverage %+v of snapshot %d, which has %d parts", c, r.Snapshot, total)
	}
	if len(want) != len(r.Items) {
		return fmt.Errorf("%d items with coverage %+v, want %d", len(r.Items), c, len(want))
	}
	for n, item := range r.Items {
		if item.ID != want[n].ID || item.Text != want[n].Text {
			return fmt.Errorf("item %d is %q, want %q", n, item.ID, want[n].ID)
		}
	}
	return nil
}

// tally counts the outcomes of a load's queries.
type tally struct {
	mu       sync.Mutex
	complete int
	partial  int
	refused  map[string]int
	noReply  int
	wrong    []string
	slowest  time.Duration
	failures []string
}

func (c *tally) add(q query, text string, r reply, err error, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowest = max(c.slowest, took)
	switch {
	case err != nil:
		c.noReply++
		c.failures = append(c.failures, err.Error())
	case r.Status != http.StatusOK:
		c.refused[r.Code]++
		c.failures = append(c.failures, r.Message)
	default:
		if err := q.verify(text, r); err != nil {
			c.wrong = append(c.wrong, err.Error())
		}
		if r.Coverage.Whole {
			c.complete++
		} else {
			c.partial++
		}
	}
}

func (c *tally) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d complete, %d partial, refused %v, %d without a reply, %d wrong, slowest %s, first failures %q",
		c.complete, c.partial, c.refused, c.noReply, len(c.wrong), c.slowest, c.failures[:min(3, len(c.failures))])
}

// startLoad starts workers that send queries to addresses from the tier's lists until the returned function is called.
func (c *cluster) startLoad(q query, workers int, seed uint64) (*tally, func()) {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	counts := &tally{refused: make(map[string]int)}
	var group sync.WaitGroup
	entries := c.callerAddresses()
	for n := range workers {
		group.Go(func() {
			w := &worker{entries: entries, random: rand.New(rand.NewPCG(seed, uint64(n)))}
			for i := 0; ctx.Err() == nil; i++ {
				text := fmt.Sprintf("order %d of worker %d", i%50, n)
				start := time.Now()
				to := w.address()
				r, err := ask(context.WithoutCancel(ctx), to, "/v1/query", q.body(text))
				counts.add(q, text, r, err, time.Since(start))
				time.Sleep(time.Duration(w.random.IntN(4)) * time.Millisecond)
			}
		})
	}
	return counts, func() { cancel(); group.Wait() }
}

func (c *cluster) callerAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, r := range c.entries {
		out = append(out, r.entry.self.Caller)
	}
	return out
}

// worker is a caller that caches its address list for its time to live.
type worker struct {
	entries []netip.AddrPort
	until   time.Time
	random  *rand.Rand
}

func (w *worker) address() netip.AddrPort {
	if time.Now().After(w.until) {
		w.refresh()
	}
	return w.entries[w.random.IntN(len(w.entries))]
}

func (w *worker) refresh() {
	for _, n := range w.random.Perm(len(w.entries)) {
		resp, err := http.Get("http://" + w.entries[n].String() + "/v1/addresses")
		if err != nil {
			continue
		}
		var list struct {
			Addresses []netip.AddrPort
			TTL       string
		}
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if ttl, bad := time.ParseDuration(list.TTL); err == nil && bad == nil && len(list.Addresses) > 0 {
			w.entries, w.until = list.Addresses, time.Now().Add(ttl)
			return
		}
	}
}

// oneSnapshot returns the shard counts of services that have only snapshot 1.
func oneSnapshot(shards map[kctport.ServiceName]int) func(kctport.ServiceName, kctport.Snapshot) int {
	return func(s kctport.ServiceName, n kctport.Snapshot) int {
		if n != 1 {
			return 0
		}
		return shards[s]
	}
}

func checkCorrect(t *testing.T, c *tally) {
	t.Helper()
	if len(c.wrong) > 0 {
		t.Errorf("%d wrong answers, first: %s", len(c.wrong), c.wrong[0])
	}
	if c.complete == 0 {
		t.Errorf("no complete answer: %s", c)
	}
}

// checkAllComplete reports an error unless every request got a complete and correct answer.
func checkAllComplete(t *testing.T, c *tally, what string) {
	t.Helper()
	checkCorrect(t, c)
	if c.partial > 0 || c.noReply > 0 || len(c.refused) > 0 {
		t.Errorf("%s: %s", what, c)
	}
}
