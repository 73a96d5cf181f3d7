package kctcontrol

import (
	"context"
	"fmt"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctroute"
)

// A version that starts beside the current one must get nothing before a move is asked for, or a bad one would take
// half of the traffic unjudged.
func TestNewVersionWaitsForMove(t *testing.T) {
	clock := &silent{now: time.Unix(1_800_000_000, 0)}
	c := New(kctport.Member{ID: "entry-0", Zone: "a"}, Ports{Timer: clock, Backend: clock}, Codec{}, 1)
	c.send = func(func(context.Context)) {}
	status := kctport.Status{BootID: 1, Slots: 4, Holdings: []kctport.Holding{{Snapshot: 1, Shards: 1}}}
	var list []kctport.Endpoint
	for _, version := range []kctport.VersionName{"v2", "v1"} {
		// The first version keeps its place though the second has a lower name and more endpoints.
		for n := range 3 + len(list) {
			list = append(list, kctport.Endpoint{
				ID: kctport.InstanceID(fmt.Sprintf("%s-%d", version, n)), Service: "s", Zone: "a", Version: version,
			})
		}
		c.learnEndpoints(clock.now, list)
		c.onTick(clock.now)
		for _, s := range c.endpoints.all {
			c.poll(clock.now, s, status, nil)
		}
		clock.now = clock.now.Add(2 * handoverPeriod)
		c.onTick(clock.now)
	}
	picker := kctroute.NewPicker()
	for n := range 200 {
		r, err := picker.Pick(c.View(), kctport.Part{Service: "s"}, 1, fmt.Sprint(n), nil)
		if err != nil || r.Version != "v2" {
			t.Fatalf("request %d went to %+v, %v; want the version that was there first", n, r, err)
		}
	}
}
