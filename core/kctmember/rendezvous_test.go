package kctmember

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	kctport "kingcupturn"
)

// TestRendezvous guards against endpoints owned outside their zone without need, and against a change of owner when another member fails.
func TestRendezvous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []kctport.Member
		for i := range rapid.IntRange(1, 20).Draw(t, "members") {
			members = append(members, kctport.Member{
				ID:   kctport.InstanceID(fmt.Sprintf("entry%d", i)),
				Zone: kctport.Zone(fmt.Sprintf("zone%d", rapid.IntRange(0, 2).Draw(t, "zone"))),
			})
		}
		endpoint := kctport.Endpoint{ID: kctport.InstanceID(rapid.String().Draw(t, "endpoint")), Zone: "zone1"}
		owner := Rendezvous{}.Owner(endpoint, members)
		removed := rapid.IntRange(0, len(members)-1).Draw(t, "removed")
		sameZone := map[kctport.InstanceID]bool{}
		for _, m := range members {
			if m.Zone == endpoint.Zone {
				sameZone[m.ID] = true
			}
		}
		if len(sameZone) > 0 && !sameZone[owner] {
			t.Fatalf("owner %s is outside the zone", owner)
		}
		dead := members[removed].ID
		members[removed].State = kctport.MemberDead
		next := Rendezvous{}.Owner(endpoint, members)
		if owner != dead && next != owner {
			t.Fatalf("owner changed from %s to %s when %s failed", owner, next, dead)
		}
	})
}

// TestRendezvousSpread guards against members that own far more or less than their share.
func TestRendezvousSpread(t *testing.T) {
	var members []kctport.Member
	for i := range 9 {
		members = append(members, kctport.Member{ID: kctport.InstanceID(fmt.Sprintf("entry%d", i))})
	}
	owned := map[kctport.InstanceID]int{}
	for i := range 9000 {
		owned[Rendezvous{}.Owner(kctport.Endpoint{ID: kctport.InstanceID(fmt.Sprintf("server%d", i))}, members)]++
	}
	for id, n := range owned {
		if n < 800 || n > 1200 {
			t.Errorf("%s owns %d of 9000 endpoints", id, n)
		}
	}
}

// TestSelfOwner guards against an entry that, in the baseline of direct sending, assigns an endpoint to another live entry.
func TestSelfOwner(t *testing.T) {
	others := []kctport.Member{{ID: "a"}, {ID: "b"}}
	if got := (SelfOwner{Self: "b"}).Owner(kctport.Endpoint{ID: "x"}, others); got != "b" {
		t.Errorf("owner %q, want b", got)
	}
}
