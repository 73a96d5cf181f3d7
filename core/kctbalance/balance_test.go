package kctbalance

import (
	"testing"
	"time"

	kctport "kingcupturn"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func fleet(rate float64, sharers int, cold time.Time, ids ...kctport.InstanceID) *kctport.Fleet {
	f := &kctport.Fleet{
		Rules:     &kctport.Rules{Services: map[kctport.ServiceName]kctport.ServiceRule{"s": {Name: "s", Connections: 36, ColdRate: rate}}},
		Endpoints: map[kctport.ServiceName][]*kctport.FleetEndpoint{}, LimitShares: sharers, ActiveShares: sharers,
	}
	for _, id := range ids {
		f.Endpoints["s"] = append(f.Endpoints["s"], &kctport.FleetEndpoint{EndpointRecord: kctport.EndpointRecord{ID: id, Service: "s"}, ColdUntil: cold})
	}
	return f
}

// TestBudgetOfFleet guards against extra attempts above the users' bound over all entries and any window, also right after entries restart.
func TestBudgetOfFleet(t *testing.T) {
	const entries, ratio, slack, rounds, perRound = 9, 0.2, 58.0, 60, 18
	var budgets []*Budget
	for range entries {
		b := NewBudget(BudgetSettings{ratio, slack})
		b.Update(BudgetSettings{ratio, slack}, entries)
		budgets = append(budgets, b)
	}
	var extra [rounds]int
	for round := range rounds {
		if round == rounds/2 {
			// A third of the entries start anew and have forgotten what they spent.
			for i := range entries / 3 {
				budgets[i] = NewBudget(BudgetSettings{ratio, slack})
				budgets[i].Update(BudgetSettings{ratio, slack}, entries)
			}
		}
		for _, b := range budgets {
			for range perRound {
				b.Deposit("s")
				for b.Withdraw("s", 0) {
					extra[round]++
				}
			}
		}
	}
	for first := range rounds - 10 {
		sum := 0
		for _, n := range extra[first : first+10] {
			sum += n
		}
		if bound := ratio*entries*perRound*10 + slack; float64(sum) > bound {
			t.Errorf("%d extra attempts from second %d on, at most %v are allowed", sum, first, bound)
		}
	}
}

// TestBudgetReserve guards against hedges that use up what repeats after failures need.
func TestBudgetReserve(t *testing.T) {
	b := NewBudget(BudgetSettings{Ratio: 0.2, Slack: 100})
	for b.Withdraw("s", 0.15) {
	}
	if !b.Withdraw("s", 0) {
		t.Error("nothing is left for a repeat")
	}
}

// TestColdEndpoint guards against more requests to a cold endpoint than it bears, summed over all entries in any second.
func TestColdEndpoint(t *testing.T) {
	const rate, entries = 10.0, 9
	f := fleet(rate, entries, start.Add(time.Hour), "i")
	var sent []time.Time
	var balancers []*Balancer
	for i := range entries {
		balancers = append(balancers, New("", uint64(i)))
	}
	for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(10 * time.Millisecond) {
		for _, b := range balancers {
			if a := b.Start(at, f, Criteria{Service: "s"}); a != nil {
				sent = append(sent, at)
				b.Finish(at, a, Outcome{Latency: time.Millisecond})
			}
		}
	}
	for i, first := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Before(first.Add(time.Second)) {
				n++
			}
		}
		if bound := rate*defaultOvershoot + defaultColdSlack; float64(n) > bound {
			t.Fatalf("%d requests in one second, at most %v are allowed", n, bound)
		}
	}
	if len(sent) == 0 {
		t.Error("the cold endpoint gets nothing at all")
	}
}

// TestSlowEndpoint guards against an endpoint that keeps its share though it is slow, and against one that is never tried again.
func TestSlowEndpoint(t *testing.T) {
	b, f := New("", 1), fleet(0, 1, time.Time{}, "fast", "slow")
	count := map[kctport.InstanceID]int{}
	now := start
	for range 800 {
		now = now.Add(20 * time.Millisecond)
		a := b.Start(now, f, Criteria{Service: "s", Route: "r"})
		latency := 20 * time.Millisecond
		if a.Endpoint.ID == "slow" {
			latency = 160 * time.Millisecond
		}
		count[a.Endpoint.ID]++
		b.Finish(now.Add(latency), a, Outcome{Latency: latency})
	}
	if count["slow"] > 60 || count["slow"] < 2 {
		t.Errorf("%d of 800 requests went to the endpoint that is eight times slower", count["slow"])
	}
}

// TestPausedEndpoint guards against new work for an endpoint that has stopped answering.
func TestPausedEndpoint(t *testing.T) {
	b, f := New("", 1), fleet(0, 1, time.Time{}, "a", "b")
	paused := b.Start(start, f, Criteria{Service: "s", Route: "r"})
	now := start.Add(60 * time.Millisecond)
	for range 20 {
		a := b.Start(now, f, Criteria{Service: "s", Route: "r"})
		if a.Endpoint.ID == paused.Endpoint.ID {
			t.Fatal("work for an endpoint that has been silent for three usual latencies")
		}
		b.Finish(now, a, Outcome{Latency: 20 * time.Millisecond})
	}
}

// TestEjection guards against a crashed endpoint that keeps getting work, and against a service without endpoints after failures of all.
func TestEjection(t *testing.T) {
	b, f := New("", 1), fleet(0, 1, time.Time{}, "a", "b")
	for range failuresToEject {
		for _, tried := range []kctport.InstanceID{"a", "b"} {
			a := b.Start(start, f, Criteria{Service: "s", Tried: []kctport.InstanceID{tried}})
			b.Finish(start, a, Outcome{Failed: a.Endpoint.ID == "a"})
		}
	}
	if ids := b.Ejected(start); len(ids) != 1 || ids[0] != "a" {
		t.Fatalf("ejected %v, want a", ids)
	}
	for range 20 {
		if a := b.Start(start, f, Criteria{Service: "s"}); a.Endpoint.ID != "b" {
			t.Fatal("work for an ejected endpoint beside a sound one")
		}
	}
	if a := b.Start(start, f, Criteria{Service: "s", Tried: []kctport.InstanceID{"b"}}); a == nil {
		t.Error("no endpoint though an ejected one is left")
	}
	if a := b.Start(start.Add(longestRest), f, Criteria{Service: "s", Tried: []kctport.InstanceID{"b"}}); a == nil || a.Endpoint.ID != "a" {
		t.Error("an ejected endpoint is not tried again")
	}
}

// TestConnections guards against more connections over all entries than an endpoint accepts.
func TestConnections(t *testing.T) {
	for _, entries := range []int{1, 9, 12, 30} {
		if n := connections(kctport.ServiceRule{Connections: 36}, entries) * entries; n > 36 {
			t.Errorf("%d connections of %d entries, at most 36 are accepted", n, entries)
		}
	}
}

// TestMisdirected guards against work for an address that another endpoint has taken: each such request counts as an extra attempt at that endpoint's service.
func TestMisdirected(t *testing.T) {
	b, f := New("", 1), fleet(0, 1, time.Time{}, "a", "b")
	a := b.Start(start, f, Criteria{Service: "s", Tried: []kctport.InstanceID{"b"}})
	b.Finish(start, a, Outcome{Misdirected: true})
	for range 20 {
		if a := b.Start(start, f, Criteria{Service: "s"}); a == nil || a.Endpoint.ID != "b" {
			t.Fatal("work for an endpoint whose address has a new user")
		}
	}
	if a := b.Start(start, f, Criteria{Service: "s", Tried: []kctport.InstanceID{"b"}}); a != nil {
		t.Errorf("work for %s though only an endpoint is left whose address has a new user", a.Endpoint.ID)
	}
	f.Endpoints["s"][0].Started = start.Add(time.Second)
	if a := b.Start(start, f, Criteria{Service: "s", Tried: []kctport.InstanceID{"b"}}); a == nil {
		t.Error("no work for the next life of the endpoint")
	}
}

// TestMoveShare guards against a new version that gets more than its share, also through second attempts, and against a service without
// endpoints once the old version has gone.
func TestMoveShare(t *testing.T) {
	const share, rounds = 0.05, 4000
	b, f := New("", 1), fleet(0, 1, time.Time{}, "a", "b", "n")
	f.Endpoints["s"][2].Version = "v2"
	f.Moves = map[kctport.ServiceName]kctport.MoveShare{"s": {To: "v2", Share: share}}
	fresh := 0
	for range rounds {
		a := b.Start(start, f, Criteria{Service: "s"})
		if a.Endpoint.ID == "n" {
			fresh++
		}
		b.Finish(start, a, Outcome{Latency: 20 * time.Millisecond})
		again := b.Start(start, f, Criteria{Service: "s", Tried: []kctport.InstanceID{"a"}})
		if again.Endpoint.ID != "b" {
			t.Fatal("a second attempt at the new version")
		}
		b.Finish(start, again, Outcome{Latency: 20 * time.Millisecond})
	}
	if got := float64(fresh) / rounds; got < 0.8*share || got > 1.2*share {
		t.Errorf("a share of %.3f, want %.3f", got, share)
	}
	f.Endpoints["s"] = f.Endpoints["s"][2:]
	if a := b.Start(start, f, Criteria{Service: "s"}); a == nil {
		t.Error("no endpoint though the new version is left")
	}
}
