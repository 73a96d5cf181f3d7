package kctentry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kctwire"
)

// cluster runs a platform stand-in, endpoint stand-ins and entries in one process.
type cluster struct {
	t         *testing.T
	platform  *kctfake.Platform
	address   netip.AddrPort
	fleet     *kctfake.Fleet
	entries   []*runningEntry
	zones     []kctport.Zone
	lifetime  time.Duration
	ownership string
}

// runningEntry is an entry with the function that stops it and the channel of Run's error.
type runningEntry struct {
	entry *Entry
	stop  context.CancelFunc
	done  chan error
}

func service(name string, endpointCount, shards int) kctfake.Service {
	return kctfake.Service{
		Name: kctport.ServiceName(name), Version: "v1", EndpointCount: endpointCount, Shards: shards, Snapshots: []kctport.Snapshot{1},
		Slots: 4, Queue: 8, Connections: 35, Base: kctwire.Duration(2 * time.Millisecond), Tail: kctwire.Duration(time.Millisecond),
	}
}

func newCluster(t *testing.T, entries int, services ...kctfake.Service) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: kctfake.NewPlatform(), zones: []kctport.Zone{"a", "b", "c"}, lifetime: time.Second, ownership: "owner"}
	var err error
	if c.address, err = c.platform.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	workload := kctfake.Workload{Seed: 1, Zones: c.zones, Services: services}
	if c.fleet, err = kctfake.StartFleet(context.WithoutCancel(t.Context()), workload, c.platform); err != nil {
		t.Fatal(err)
	}
	for n := range entries {
		c.start(n)
	}
	t.Cleanup(c.close)
	c.waitReady()
	return c
}

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	ports, err := kctloopback.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	return ports[0]
}

func (c *cluster) start(n int) *runningEntry {
	c.t.Helper()
	s := kctsetting.Settings{
		ID: kctport.InstanceID(fmt.Sprintf("entry-%d", n)), Zone: c.zones[n%len(c.zones)],
		Peer: freePort(c.t), Caller: freePort(c.t), Platform: c.address, Lifetime: c.lifetime,
		MaxConnections: 30, MaxBody: 64 << 10, Memory: kctguard.DefaultMemory, Files: kctguard.DefaultFiles, Ownership: c.ownership, Hedge: "adaptive", Picker: "load",
	}
	for _, r := range c.entries {
		m := r.entry.self
		// Seeds in the settings have no incarnation, and some of them may have stopped.
		s.Seeds = append(s.Seeds, kctport.Member{ID: m.ID, Zone: m.Zone, Peer: m.Peer, Caller: m.Caller})
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningEntry{entry: New(s, WithStrictChecks()), stop: stop, done: make(chan error, 1)}
	go func() { r.done <- r.entry.Run(ctx) }()
	c.entries = append(c.entries, r)
	return r
}

func (c *cluster) close() {
	for _, r := range c.entries {
		r.stop()
	}
	for _, r := range c.entries {
		if err := <-r.done; err != nil {
			c.t.Errorf("entry %s ended with %v", r.entry.self.ID, err)
		}
	}
	c.fleet.Stop()
	c.platform.Stop()
}

// waitReady waits until every entry's view has all members and all endpoints usable, with no handover in progress.
func (c *cluster) waitReady() {
	c.t.Helper()
	eventually(c.t, 20*time.Second, "entries ready", func() bool {
		for _, r := range c.entries {
			v := r.entry.View()
			usable := 0
			for e := range v.Replicas() {
				if e.Usable && e.HandoverEnd.IsZero() {
					usable++
				}
			}
			if len(v.Members) < len(c.entries) || usable < len(c.fleet.Endpoints) {
				return false
			}
		}
		return true
	})
}

func eventually(t *testing.T, limit time.Duration, description string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", description, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// post sends a JSON body and decodes the reply into out.
func post(t *testing.T, to netip.AddrPort, path string, body, out any) int {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+to.String()+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, out); err != nil {
		t.Fatalf("%s: status %d, body %q: %v", path, resp.StatusCode, text, err)
	}
	return resp.StatusCode
}
