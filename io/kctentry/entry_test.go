package kctentry

import (
	"net/netip"
	"testing"

	kctport "kingcupturn"
)

type answer struct {
	Snapshot kctport.Snapshot `json:"snapshot"`
	Items    []struct {
		ID string `json:"id"`
	} `json:"items"`
	Coverage struct {
		Answered, Total int
		Whole           bool
		Missing         []string
	} `json:"coverage"`
	Code    string `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

// TestQueryThroughEachEntry guards against an incomplete answer of an entry that doesn't own the endpoints.
func TestQueryThroughEachEntry(t *testing.T) {
	c := newCluster(t, 3, service("match-0", 3, 1), service("match-1", 6, 2), service("member", 5, 1))
	for _, r := range c.entries {
		var a answer
		status := post(t, r.entry.self.Caller, "/v1/query", map[string]any{
			"services": []string{"match-0", "match-1", "member"}, "route": "match", "text": "smoked eel", "deadline": "2s",
		}, &a)
		if status != 200 || !a.Coverage.Whole || a.Coverage.Total != 4 || a.Snapshot != 1 || len(a.Items) == 0 {
			t.Errorf("entry %s: status %d, answer %+v", r.entry.self.ID, status, a)
		}
	}
}

// TestExecuteOnceThroughTwoEntries guards against running a request twice when it is sent again through another entry with the same key.
func TestExecuteOnceThroughTwoEntries(t *testing.T) {
	c := newCluster(t, 3, service("orders", 3, 1))
	var keys struct{ Keys []string }
	post(t, c.entries[0].entry.self.Caller, "/v1/keys", map[string]any{"count": 1}, &keys)
	for _, r := range c.entries {
		var a answer
		status := post(t, r.entry.self.Caller, "/v1/execute", map[string]any{
			"key": keys.Keys[0], "service": "orders", "route": "order", "text": "12 kg", "deadline": "2s",
		}, &a)
		if status != 200 {
			t.Errorf("entry %s: status %d, answer %+v", r.entry.self.ID, status, a)
		}
	}
	runs := 0
	for _, e := range c.fleet.Endpoints {
		runs += e.Runs(keys.Keys[0])
	}
	if runs != 1 {
		t.Errorf("the execution ran %d times, want 1", runs)
	}
}

// TestAddressesSpreadCallers guards against a fixed order of addresses, which sends all callers to one entry since they use the first one, and
// against a first address outside the caller's zone, which makes each request cross zones.
func TestAddressesSpreadCallers(t *testing.T) {
	c := newCluster(t, 6, service("match-0", 3, 1))
	first := make(map[netip.AddrPort]int)
	for range 200 {
		list, _ := c.entries[0].entry.Addresses("b")
		if len(list) != 6 {
			t.Fatalf("%d addresses, want 6", len(list))
		}
		first[list[0]]++
	}
	for _, r := range c.entries {
		if n := first[r.entry.self.Caller]; (n > 40) != (r.entry.self.Zone == "b") {
			t.Errorf("entry %s of zone %s was first in %d of 200 lists", r.entry.self.ID, r.entry.self.Zone, n)
		}
	}
}
