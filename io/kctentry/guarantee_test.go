package kctentry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctwire"
)

// The bounds of the guarantees on the design page.
const (
	stopBound   = 5 * time.Second
	configBound = 8 * time.Second
	crashBound  = 3
)

func smallQuery() query {
	return query{
		services: []kctport.ServiceName{"match-0", "match-1"}, deadline: time.Second,
		shards: oneSnapshot(map[kctport.ServiceName]int{"match-0": 1, "match-1": 2}),
	}
}

func smallCluster(t *testing.T, entries int) *cluster {
	return newCluster(t, entries, service("match-0", 3, 1), service("match-1", 6, 2))
}

func change(t *testing.T, r *runningEntry, id string, fields map[string]any) map[string]any {
	t.Helper()
	fields["id"], fields["author"] = id, "test"
	var result map[string]any
	post(t, r.entry.self.Caller, "/v1/changes", fields, &result)
	return result
}

func runsInZone(c *cluster, zone kctport.Zone) (sum uint64) {
	for _, e := range c.fleet.Endpoints {
		if e.Registration().Zone == zone {
			sum += e.Counts().Ran
		}
	}
	return sum
}

// TestZoneOutAndBack guards against a zone that still gets requests after an operator has taken it out of service while the store is slow.
func TestZoneOutAndBack(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 3)
	counts, stop := c.startLoad(smallQuery(), 4, 1)
	defer stop()
	time.Sleep(time.Second)
	c.platform.SetFaults(kctwire.PlatformFaults{Delay: kctwire.Duration(300 * time.Millisecond)})
	result := change(t, c.entries[0], "out", map[string]any{"kind": "zoneout", "zone": map[string]any{"zone": "b", "reason": "switch work"}})
	if result["outcome"] != "accepted" {
		t.Fatalf("zone out: %v", result)
	}
	time.Sleep(stopBound)
	before := runsInZone(c, "b")
	time.Sleep(2 * time.Second)
	if after := runsInZone(c, "b"); after != before {
		t.Errorf("%d requests reached the zone more than %s after it was taken out", after-before, stopBound)
	}
	result = change(t, c.entries[1], "in", map[string]any{"kind": "zonein", "zone": map[string]any{"zone": "b"}})
	if result["outcome"] != "accepted" {
		t.Fatalf("zone in: %v", result)
	}
	eventually(t, 10*time.Second, "work in the returned zone", func() bool { return runsInZone(c, "b") > before })
	stop()
	checkAllComplete(t, counts, "requests failed while a zone was taken out and returned")
}

// TestLeavingEndpoints guards against requests to a leaving endpoint, reported either by the platform's record or by the endpoint itself.
func TestLeavingEndpoints(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 3)
	counts, stop := c.startLoad(smallQuery(), 4, 2)
	defer stop()
	time.Sleep(500 * time.Millisecond)
	listed, draining := c.fleet.Endpoints[0], c.fleet.Endpoints[4]
	registration := listed.Registration()
	registration.Leaving = true
	c.platform.Register(listed.ID(), registration)
	draining.Drain()
	time.Sleep(stopBound)
	before := listed.Counts().Ran + draining.Counts().Ran
	time.Sleep(time.Second)
	if after := listed.Counts().Ran + draining.Counts().Ran; after != before {
		t.Errorf("%d requests reached leaving endpoints more than %s after the report", after-before, stopBound)
	}
	stop()
	checkAllComplete(t, counts, "requests failed while endpoints left")
}

// TestRollingReplacement guards against interrupting or refusing requests of callers that respect the time to live of their address lists while
// every entry is replaced in turn.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 3)
	counts, stop := c.startLoad(smallQuery(), 6, 3)
	defer stop()
	for n := range 3 {
		old := c.entries[n]
		c.start(3 + n)
		eventually(t, 10*time.Second, "replacement ready", func() bool { return c.entries[3+n].entry.Ready() == nil })
		old.stop()
		if err := <-old.done; err != nil {
			t.Errorf("entry %s ended with %v", old.entry.self.ID, err)
		}
		old.done <- nil
	}
	time.Sleep(time.Second)
	stop()
	checkAllComplete(t, counts, "requests failed while entries were replaced")
}

// TestConfigurationSurvivesOutage guards against losing an accepted change when the store fails right after it, and against an entry that starts
// during the outage with the default configuration.
func TestConfigurationSurvivesOutage(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 5)
	result := change(t, c.entries[2], "x", map[string]any{
		"kind": "exception",
		"exception": map[string]any{
			"name": "slow-match", "service": "match-0", "field": "deadline", "value": "700ms", "reason": "long lists on market days",
		},
	})
	c.platform.SetFaults(kctwire.PlatformFaults{Outage: true})
	if result["outcome"] != "accepted" {
		t.Fatalf("change: %v", result)
	}
	revision := kctport.Revision(result["revision"].(float64))
	eventually(t, configBound, "revision in force on every entry", func() bool { return c.lowestRevision() >= revision })
	late := c.start(5)
	eventually(t, configBound, "revision in force on an entry that started in the outage", func() bool {
		return late.entry.View().Revision >= revision
	})
	eventually(t, configBound, "complete answer of an entry that could not read the instance list", func() bool {
		r, err := ask(t.Context(), late.entry.self.Caller, "/v1/query", smallQuery().body("late"))
		return err == nil && r.Coverage.Whole && late.entry.Ready() == nil
	})
	out := map[string]any{"kind": "zoneout", "zone": map[string]any{"zone": "a", "reason": "test"}}
	if result := change(t, c.entries[0], "y", out); result["outcome"] == "accepted" {
		t.Errorf("change during the outage: %v, want unknown or refused", result)
	}
	if c.lowestRevision() < revision {
		t.Errorf("a revision went down from %d to %d", revision, c.lowestRevision())
	}
	c.platform.SetFaults(kctwire.PlatformFaults{})
	first := change(t, c.entries[1], "y", out)
	second := change(t, c.entries[2], "y", out)
	if first["outcome"] != "accepted" || second["outcome"] != "accepted" || first["revision"] != second["revision"] {
		t.Errorf("the same change after the outage: %v, then %v; want one revision accepted", first, second)
	}
}

func (c *cluster) lowestRevision() kctport.Revision {
	low := c.entries[0].entry.View().Revision
	for _, r := range c.entries {
		low = min(low, r.entry.View().Revision)
	}
	return low
}

// TestLostReplyOfChange guards against reporting a change as refused when the store made the write but its reply was lost.
func TestLostReplyOfChange(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 3)
	c.platform.SetFaults(kctwire.PlatformFaults{LostReplies: 1})
	for n := range 3 {
		id := fmt.Sprintf("change-%d", n)
		result := change(t, c.entries[n], id, map[string]any{"kind": "default", "field": "hedge", "value": "false"})
		if result["outcome"] != "accepted" {
			t.Errorf("%s: %v, want accepted since the write took effect", id, result)
		}
	}
}

// TestCrashingBody guards against a body that crashes endpoint after endpoint when it is sent repeatedly through all entries, and against
// quarantining bodies that were in flight at the same endpoint.
func TestCrashingBody(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 3)
	for _, e := range c.fleet.Endpoints {
		e.SetFaults(kctwire.EndpointFaults{Crash: "poison", RestartDelay: kctwire.Duration(500 * time.Millisecond)})
	}
	counts, stop := c.startLoad(smallQuery(), 4, 4)
	defer stop()
	time.Sleep(500 * time.Millisecond)
	q := smallQuery()
	var last reply
	for n := range 12 {
		last, _ = ask(t.Context(), c.entries[n%3].entry.self.Caller, "/v1/query", q.body("poison"))
		time.Sleep(100 * time.Millisecond)
	}
	if n := crashes(c.fleet); n > crashBound {
		t.Errorf("%d endpoints crashed, want at most %d", n, crashBound)
	}
	if last.Code != "quarantined" || last.Ran != "no" {
		t.Errorf("the last reply was %+v, want quarantined and not run", last)
	}
	time.Sleep(time.Second)
	stop()
	checkCorrect(t, counts)
	if counts.refused["quarantined"] > 0 {
		t.Errorf("requests with other bodies were quarantined: %s", counts)
	}
}

func crashes(f *kctfake.Fleet) (sum uint64) {
	for _, e := range f.Endpoints {
		sum += e.Counts().Crashes
	}
	return sum
}

// TestSnapshotsChangeUnderQueries guards against answers that mix index snapshots when the shard count changes while queries run.
func TestSnapshotsChangeUnderQueries(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, service("match-0", 3, 1), service("match-1", 6, 2))
	q := query{
		services: []kctport.ServiceName{"match-0", "match-1"}, deadline: time.Second,
		shards: func(s kctport.ServiceName, n kctport.Snapshot) int { return layout(s, n) },
	}
	counts, stop := c.startLoad(q, 6, 5)
	defer stop()
	for next := kctport.Snapshot(2); next <= 5; next++ {
		c.eachEndpoint(func(e *kctfake.Endpoint, index int) {
			e.SetHoldings(holding(e, index, next-1), holding(e, index, next))
		})
		time.Sleep(1500 * time.Millisecond)
		c.eachEndpoint(func(e *kctfake.Endpoint, index int) { e.SetHoldings(holding(e, index, next)) })
		time.Sleep(500 * time.Millisecond)
	}
	stop()
	checkAllComplete(t, counts, "requests failed while snapshots changed")
}

// layout alternates the shard count of match-1 between 2 and 3.
func layout(s kctport.ServiceName, n kctport.Snapshot) int {
	if s == "match-0" {
		return 1
	}
	return 2 + int(n+1)%2
}

func holding(e *kctfake.Endpoint, index int, n kctport.Snapshot) kctport.Holding {
	shards := layout(e.Registration().Service, n)
	return kctport.Holding{Snapshot: n, Shard: index % shards, Shards: shards}
}

// eachEndpoint calls visit for each endpoint with its index within its service, 50 ms apart.
func (c *cluster) eachEndpoint(visit func(e *kctfake.Endpoint, index int)) {
	index := make(map[kctport.ServiceName]int)
	for _, e := range c.fleet.Endpoints {
		s := e.Registration().Service
		visit(e, index[s])
		index[s]++
		time.Sleep(50 * time.Millisecond)
	}
}

// TestCoverageOfLostReplicas guards against answers that don't report a shard as missing when all its replicas are unreachable.
func TestCoverageOfLostReplicas(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 3)
	counts, stop := c.startLoad(smallQuery(), 4, 6)
	defer stop()
	time.Sleep(500 * time.Millisecond)
	for _, e := range c.fleet.Endpoints {
		if r := e.Registration(); r.Service == "match-0" {
			e.SetFaults(kctwire.EndpointFaults{Unreachable: true})
		}
	}
	time.Sleep(3 * time.Second)
	stop()
	checkCorrect(t, counts)
	if counts.partial == 0 {
		t.Errorf("no answer reported the lost shard: %s", counts)
	}
}

// TestDamagedRepliesAreDropped guards against returning or merging crossed, truncated or duplicate replies of endpoints.
func TestDamagedRepliesAreDropped(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 3)
	for _, e := range c.fleet.Endpoints {
		e.SetFaults(kctwire.EndpointFaults{
			Crossed: 0.05, Cut: 0.05, Truncated: 0.05, Trailing: 0.05, Duplicate: 0.05, ResetBefore: 0.02, ResetAfter: 0.02,
		})
	}
	counts, stop := c.startLoad(smallQuery(), 6, 7)
	time.Sleep(4 * time.Second)
	stop()
	checkCorrect(t, counts)
	t.Log(counts)
}

// TestSilentConnections guards against reusing connections that stopped answering: each costs at most one deadline, and new connections work.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 3)
	counts, stop := c.startLoad(smallQuery(), 4, 8)
	defer stop()
	time.Sleep(time.Second)
	for _, e := range c.fleet.Endpoints {
		e.BlackholeConnections()
	}
	time.Sleep(2 * time.Second)
	stop()
	checkCorrect(t, counts)
	after, stopAfter := c.startLoad(smallQuery(), 4, 9)
	time.Sleep(2 * time.Second)
	stopAfter()
	checkAllComplete(t, after, "requests failed after each silent connection had reached a deadline")
}

// TestBadInput guards against invalid requests that get no clear error or stop the daemon.
func TestBadInput(t *testing.T) {
	t.Parallel()
	c := smallCluster(t, 1)
	to := c.entries[0].entry.self.Caller
	cases := []struct {
		name, path string
		body       any
		code       string
		status     int
	}{
		{"unknown field", "/v1/query", map[string]any{"services": []string{"match-0"}, "colour": 1}, "invalid", 400},
		{"unknown service", "/v1/query", map[string]any{"services": []string{"nothing"}}, "invalid", 400},
		{"service twice", "/v1/query", map[string]any{"services": []string{"match-0", "match-0"}}, "invalid", 400},
		{"no services", "/v1/query", map[string]any{}, "invalid", 400},
		{"past deadline", "/v1/query", map[string]any{"services": []string{"match-0"}, "deadline": "-1s"}, "invalid", 400},
		{"wrong type", "/v1/query", "text", "invalid", 400},
		{"malformed JSON", "/v1/query", malformed{}, "invalid", 400},
		{"too large", "/v1/query", map[string]any{"text": string(make([]byte, 70<<10))}, "invalid", 413},
		{"no key", "/v1/execute", map[string]any{"service": "match-0"}, "invalid", 400},
		{"foreign key", "/v1/execute", map[string]any{"service": "match-0", "key": "made up"}, "invalid", 400},
		{"too many keys", "/v1/keys", map[string]any{"count": 100000}, "invalid", 400},
		{"unknown route", "/v1/nothing", map[string]any{}, "invalid", 404},
	}
	for _, k := range cases {
		r, err := ask(t.Context(), to, k.path, k.body)
		if err != nil || r.Status != k.status || r.Code != k.code || r.Ran != "no" || r.Message == "" {
			t.Errorf("%s: got %+v, %v; want status %d, code %s, ran no", k.name, r, err, k.status, k.code)
		}
	}
	resp, err := http.Get("http://" + to.String() + "/healthz")
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("the daemon is not healthy after the bad requests: %v", err)
	}
	_ = resp.Body.Close()
	result := change(t, c.entries[0], "e", map[string]any{"kind": "exception", "exception": map[string]any{
		"name": "n", "service": "match-0", "field": "hedge", "value": "false",
	}})
	if result["outcome"] != "refused" {
		t.Errorf("exception without a reason: %v, want refused", result)
	}
	for n, want := range []string{"accepted", "refused"} {
		result := change(t, c.entries[0], fmt.Sprint("twice ", n), map[string]any{"kind": "exception", "exception": map[string]any{
			"name": "n", "service": "match-0", "field": "hedge", "value": "false", "reason": "test",
		}})
		if result["outcome"] != want || result["message"] == "" {
			t.Errorf("exception sent %d times: %v, want %s with a message", n+1, result, want)
		}
	}
}
