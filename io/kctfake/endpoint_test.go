package kctfake_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kcttimer"
	"kingcupturn/io/kctwire"
)

// callTimeout is far above the duration of any healthy call, so that a slow machine does not turn the expected error into a timeout.
const callTimeout = 20 * time.Second

// fleet starts a platform and one service of four endpoints in two zones.
func fleet(t *testing.T) (*kctfake.Platform, *kctfake.Fleet, *kctbackend.Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := kctfake.NewPlatform()
	at, err := p.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	remote := kctfake.NewRemotePlatform(at)
	f, err := kctfake.StartFleet(ctx, kctfake.Workload{
		Seed: 1, Zones: []kctport.Zone{"a", "b"},
		Services: []kctfake.Service{{Name: "s", Version: "v1", EndpointCount: 4, Shards: 2, Snapshots: []kctport.Snapshot{1}, Slots: 2, Queue: 1, Cold: 3}},
	}, remote)
	if err != nil || remote.Err() != nil {
		t.Fatal(err, remote.Err())
	}
	c := kctbackend.New(kcttimer.New())
	t.Cleanup(func() {
		c.Close()
		f.Stop()
		p.Stop()
		cancel()
	})
	return p, f, c
}

func call(c *kctbackend.Client, e kctport.Endpoint, shard int, route, body string) error {
	_, err := c.Call(context.Background(), e, kctport.PartCall{
		Request: body, Part: kctport.Part{Service: e.Service, Shard: shard}, Shards: 2, Snapshot: 1,
		Route: route, Body: []byte(body), Deadline: time.Now().Add(callTimeout),
	})
	return err
}

// TestFleet guards against a layout in which a zone lacks a shard.
func TestFleet(t *testing.T) {
	p, _, c := fleet(t)
	seen := map[kctport.Zone]int{}
	for n, e := range p.Endpoints() {
		if err := call(c, e, n%2, "", "x"); err != nil {
			t.Errorf("%s: %v", e.ID, err)
		}
		seen[e.Zone] += n%2 + 1
	}
	if seen["a"] != 3 || seen["b"] != 3 {
		t.Fatalf("sum of shard numbers plus 1 by zone: %v, want 3 in both", seen)
	}
}

// send sends a command to an endpoint over HTTP.
func send(t *testing.T, e kctport.Endpoint, method, path, body string) {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+e.Address.String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	_ = res.Body.Close()
}

// TestCommands guards against an HTTP command that has no effect, and against faults that a command resets although it does not
// contain them.
func TestCommands(t *testing.T) {
	p, f, c := fleet(t)
	e, fake := p.Endpoints()[0], f.Endpoints[0]
	send(t, e, http.MethodPut, kctwire.PathFaults, `{"late":"1ms","bad":{"failures":1}}`)
	send(t, e, http.MethodPut, kctwire.PathFaults, `{"bad":{"failures":0}}`)
	if got := fake.Faults(); got != (kctwire.EndpointFaults{ReplyDelay: kctwire.Duration(time.Millisecond)}) {
		t.Errorf("faults %+v", got)
	}
	send(t, e, http.MethodPost, kctwire.PathActions, `{"holdings":[{"snapshot":2,"shard":0,"shards":2}]}`)
	if err := call(c, e, 0, "", "x"); !errors.Is(err, kctport.ErrSnapshotDropped) {
		t.Errorf("call for a dropped snapshot: %v", err)
	}
	send(t, e, http.MethodPost, kctwire.PathActions, `{"crash":true}`)
	if err := call(c, e, 0, "", "x"); err == nil || fake.Counts().Crashes != 1 {
		t.Errorf("call after the crash: %v, counts %+v", err, fake.Counts())
	}
}

// TestLeaving guards against a leaving endpoint that is not marked, a removed one that is still listed, and an announced one
// that accepts new requests.
func TestLeaving(t *testing.T) {
	p, f, c := fleet(t)
	f.Leave(f.Endpoints[0], true)
	f.Leave(f.Endpoints[1], false)
	f.Remove(f.Endpoints[2])
	list := p.Endpoints()
	if len(list) != 3 || !list[0].Leaving || !list[1].Leaving || list[2].Leaving {
		t.Fatalf("list %+v", list)
	}
	if err := call(c, list[0], 0, "", "x"); !errors.Is(err, kctport.ErrShed) || !errors.Is(err, kctport.ErrNotRun) {
		t.Errorf("call to an endpoint that announced its leaving: %v", err)
	}
	if err := call(c, list[1], 1, "", "x"); err != nil {
		t.Errorf("call to a leaving endpoint that did not announce it: %v", err)
	}
	if left := f.Where(func(r kctwire.Registration) bool { return r.Zone == "b" }); len(left) != 1 {
		t.Errorf("%d endpoints left in zone b", len(left))
	}
}

// TestExcessConnections guards against replies on connections above the limit.
func TestExcessConnections(t *testing.T) {
	for _, reset := range []bool{true, false} {
		e := kctfake.NewEndpoint("e", kctfake.WithConnections(1, 0, reset))
		at, err := e.Start(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for n, timeout := range []time.Duration{callTimeout, 100 * time.Millisecond} {
			c, err := net.Dial("tcp", at.String())
			if err == nil {
				defer c.Close()
				_, _ = io.WriteString(c, "GET /v1/status HTTP/1.1\r\nHost: e\r\n\r\n")
				_ = c.SetReadDeadline(time.Now().Add(timeout))
				_, err = c.Read(make([]byte, 1))
			}
			if served := err == nil; served != (n == 0) {
				t.Errorf("reset=%t, connection %d: %v", reset, n, err)
			}
		}
		e.Stop()
	}
}

// TestCrash guards against an endpoint that does not crash on the configured body, does not restart, or keeps its boot identifier.
func TestCrash(t *testing.T) {
	p, f, c := fleet(t)
	e, fake := p.Endpoints()[0], f.Endpoints[0]
	for range 3 {
		if err := call(c, e, 0, "", "x"); err != nil {
			t.Fatal(err)
		}
	}
	before, err := c.Status(context.Background(), kctport.Endpoint(e))
	if err != nil {
		t.Fatal(err)
	}
	fake.SetFaults(kctwire.EndpointFaults{Crash: "poison", RestartDelay: kctwire.Duration(time.Millisecond)})
	if err := call(c, e, 0, "", "a poison pill"); !errors.Is(err, kctport.ErrReset) {
		t.Fatalf("error %v, want a reset", err)
	}
	var after kctport.Status
	for after.BootID == 0 {
		after, _ = c.Status(context.Background(), kctport.Endpoint(e))
		time.Sleep(time.Millisecond)
	}
	if after.BootID == before.BootID || fake.Counts().Crashes != 1 {
		t.Fatalf("boot %d before, %d after, counts %+v", before.BootID, after.BootID, fake.Counts())
	}
}

// TestBadVersion guards against a fault that takes effect outside of its conditions, or not at all.
func TestBadVersion(t *testing.T) {
	p, f, c := fleet(t)
	e, fake := p.Endpoints()[0], f.Endpoints[0]
	for name, row := range map[string]struct {
		bad  kctwire.BadVersion
		show bool
	}{
		"at once": {kctwire.BadVersion{FailureShare: 1}, true},
		"later":   {kctwire.BadVersion{FailureShare: 1, After: kctwire.Duration(time.Hour)}, false},
		"load":    {kctwire.BadVersion{FailureShare: 1, AboveInFlight: 1}, false},
		"route":   {kctwire.BadVersion{FailureShare: 1, Route: "r"}, true},
		"other":   {kctwire.BadVersion{FailureShare: 1, Route: "q"}, false},
	} {
		fake.SetFaults(kctwire.EndpointFaults{BadVersion: row.bad})
		if err := call(c, e, 0, "r", name); errors.Is(err, kctport.ErrFailed) != row.show {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestMisleadingStatus guards against status faults without effect: wrong slots, an outdated status, a hidden restart.
func TestMisleadingStatus(t *testing.T) {
	p, f, c := fleet(t)
	e, fake := p.Endpoints()[0], f.Endpoints[0]
	first, err := c.Status(context.Background(), e)
	if err != nil {
		t.Fatal(err)
	}
	fake.SetFaults(kctwire.EndpointFaults{Status: kctwire.StatusFaults{Slots: 9, Lag: kctwire.Duration(time.Hour)}})
	for range 2 {
		s, err := c.Status(context.Background(), e)
		if err != nil || s.Slots != 9 || s.Draining {
			t.Fatalf("status %+v, error %v", s, err)
		}
		fake.Drain()
	}
	fake.SetFaults(kctwire.EndpointFaults{Status: kctwire.StatusFaults{Boot: true}, RestartDelay: 1})
	fake.Crash()
	for {
		if s, err := c.Status(context.Background(), e); err == nil {
			if s.BootID != first.BootID {
				t.Fatalf("boot %d, want %d", s.BootID, first.BootID)
			}
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLag guards against a change of the endpoint list that shows before the lag has passed, or not after it.
func TestLag(t *testing.T) {
	p := kctfake.NewPlatform()
	p.Register("e", kctwire.Registration{Service: "s", Zone: "a", Version: "v1"})
	if n := len(p.Endpoints()); n != 1 {
		t.Fatalf("%d endpoints", n)
	}
	p.SetFaults(kctwire.PlatformFaults{Lag: kctwire.Duration(time.Hour)})
	p.Remove("e")
	if n := len(p.Endpoints()); n != 1 {
		t.Fatal("record removed before the lag has passed")
	}
	p.SetFaults(kctwire.PlatformFaults{})
	if n := len(p.Endpoints()); n != 0 {
		t.Fatal("record not removed after the lag")
	}
}
