package kctbackend_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	kctport "kingcupturn"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kcttimer"
	"kingcupturn/io/kctwire"
)

const (
	// replyTimeout is far longer than a healthy exchange takes, so that a busy machine does not cause timeouts.
	replyTimeout = 20 * time.Second
	// shortTimeout is the timeout of requests that cannot be answered.
	shortTimeout = 200 * time.Millisecond
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixture is a client and one endpoint stand-in.
type fixture struct {
	client   *kctbackend.Client
	fake     *kctfake.Endpoint
	endpoint kctport.Endpoint
	calls    atomic.Int64
}

func newFixture(t *testing.T, connections int, opts ...kctfake.EndpointOption) *fixture {
	t.Helper()
	opts = append([]kctfake.EndpointOption{
		kctfake.WithService("search", "a", "v1"),
		kctfake.WithHoldings(kctport.Holding{Snapshot: 7, Shard: 1, Shards: 2}),
		kctfake.WithSeed(1),
	}, opts...)
	fx := &fixture{
		client: kctbackend.New(kcttimer.New(), kctbackend.WithConnections(connections)),
		fake:   kctfake.NewEndpoint("search-0", opts...),
	}
	ctx, cancel := context.WithCancel(context.Background())
	at, err := fx.fake.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		fx.client.Close()
		fx.fake.Stop()
		cancel()
	})
	fx.endpoint = kctport.Endpoint{ID: "search-0", Service: "search", Address: at}
	return fx
}

// newCall returns a call with a new request identifier and body; the key is the request identifier.
func (fx *fixture) newCall(timeout time.Duration) kctport.PartCall {
	n := fx.calls.Add(1)
	return kctport.PartCall{
		Request:  fmt.Sprintf("request-%d", n),
		Part:     kctport.Part{Service: "search", Shard: 1},
		Shards:   2,
		Snapshot: 7,
		Body:     fmt.Appendf(nil, "body %d", n),
		Key:      fmt.Sprintf("request-%d", n),
		Deadline: time.Now().Add(timeout),
	}
}

// callAndCheck sends a call, checks the answer or whether the error agrees with the runs that the endpoint counted, and returns the error.
func (fx *fixture) callAndCheck(t *testing.T, c kctport.PartCall) error {
	t.Helper()
	r, err := fx.client.Call(context.Background(), fx.endpoint, c)
	ran := fx.fake.Runs(c.Key)
	switch {
	case ran > 1:
		t.Errorf("%s ran %d times", c.Request, ran)
	case err == nil:
		if want := kctfake.ExpectedItems(c.Part, c.Shards, c.Snapshot, c.Body); !reflect.DeepEqual(r.Items, want) {
			t.Errorf("%s: items %v, want %v", c.Request, r.Items, want)
		}
	case errors.Is(err, kctport.ErrNotRun) == errors.Is(err, kctport.ErrUnknown):
		t.Errorf("%s: %v wraps both or none of ErrNotRun and ErrUnknown", c.Request, err)
	case errors.Is(err, kctport.ErrNotRun) && ran != 0:
		t.Errorf("%s ran, but the error wraps ErrNotRun: %v", c.Request, err)
	}
	return err
}

// TestDamagedReplies guards against a damaged or left-over reply, or one to another request, that is accepted as the answer,
// against a second run of a request, and against ErrNotRun for a request that ran. Few connections make their reuse likely.
func TestDamagedReplies(t *testing.T) {
	const workers, calls, connections = 4, 60, 2
	for name, f := range map[string]kctwire.EndpointFaults{
		"healthy":   {},
		"crossed":   {Crossed: 0.3},
		"cut":       {Cut: 0.3},
		"truncated": {Truncated: 0.3},
		"trailing":  {Trailing: 0.3},
		"duplicate": {Duplicate: 0.3},
		"reset":     {ResetBefore: 0.2, ResetAfter: 0.2},
		"failed":    {BadVersion: kctwire.BadVersion{FailureShare: 0.5}, Duplicate: 0.2},
		"shed":      {Crossed: 0.3},
		"all":       {Crossed: 0.1, Cut: 0.1, Truncated: 0.1, Trailing: 0.1, Duplicate: 0.1, ResetBefore: 0.1, ResetAfter: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			queue := 1
			if name == "shed" {
				queue = 0
			}
			fx := newFixture(t, connections, kctfake.WithSlots(1, queue), kctfake.WithServiceTime(time.Millisecond, 0))
			fx.fake.SetFaults(f)
			var answered atomic.Int64
			var group sync.WaitGroup
			for range workers {
				group.Go(func() {
					for range calls {
						if fx.callAndCheck(t, fx.newCall(replyTimeout)) == nil {
							answered.Add(1)
						}
					}
				})
			}
			group.Wait()
			if n := answered.Load(); n < workers*calls/10 || name == "healthy" && n < workers*calls {
				t.Fatalf("%d of %d calls answered", n, workers*calls)
			}
		})
	}
}

// TestRefusals guards against a refusal or failure that is reported with the wrong error.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		faults  kctwire.EndpointFaults
		change  func(*kctport.PartCall)
		kind    error
		ran     error
		timeout time.Duration
	}{
		"draining": {faults: kctwire.EndpointFaults{Draining: true}, kind: kctport.ErrShed, ran: kctport.ErrNotRun},
		"leaving":  {faults: kctwire.EndpointFaults{Draining: true}, kind: kctport.ErrEndpointDraining, ran: kctport.ErrNotRun},
		"snapshot": {change: func(c *kctport.PartCall) { c.Snapshot = 8 }, kind: kctport.ErrSnapshotDropped, ran: kctport.ErrNotRun},
		"layout":   {change: func(c *kctport.PartCall) { c.Shards = 3 }, kind: kctport.ErrSnapshotDropped, ran: kctport.ErrNotRun},
		"service":  {change: func(c *kctport.PartCall) { c.Part.Service = "x" }, kind: kctport.ErrInvalid, ran: kctport.ErrNotRun},
		"deadline": {change: func(c *kctport.PartCall) { c.Deadline = time.Now() }, kind: kctport.ErrTimeout, ran: kctport.ErrNotRun},
		"failed":   {faults: kctwire.EndpointFaults{BadVersion: kctwire.BadVersion{FailureShare: 1}}, kind: kctport.ErrFailed, ran: kctport.ErrUnknown},
		"late":     {faults: kctwire.EndpointFaults{ReplyDelay: kctwire.Duration(time.Hour)}, timeout: shortTimeout, kind: kctport.ErrTimeout, ran: kctport.ErrUnknown},
		"crash":    {faults: kctwire.EndpointFaults{Crash: "body"}, kind: kctport.ErrReset, ran: kctport.ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, 1)
			fx.fake.SetFaults(c.faults)
			call := fx.newCall(max(c.timeout, replyTimeout))
			if c.timeout > 0 {
				call = fx.newCall(c.timeout)
			}
			if c.change != nil {
				c.change(&call)
			}
			if err := fx.callAndCheck(t, call); !errors.Is(err, c.kind) || !errors.Is(err, c.ran) {
				t.Fatalf("error %v, want %v and %v", err, c.kind, c.ran)
			}
		})
	}
}

// TestNothingWritten guards against ErrUnknown for a request that was never written, without a listener or a free connection.
func TestNothingWritten(t *testing.T) {
	fx := newFixture(t, 1)
	fx.fake.SetFaults(kctwire.EndpointFaults{ReplyDelay: kctwire.Duration(time.Hour)})
	ctx, cancel := context.WithCancel(context.Background())
	blocked := make(chan error)
	go func() {
		_, err := fx.client.Call(ctx, fx.endpoint, fx.newCall(replyTimeout))
		blocked <- err
	}()
	for fx.fake.Counts().Done == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := fx.callAndCheck(t, fx.newCall(shortTimeout)); !errors.Is(err, kctport.ErrNotRun) || !errors.Is(err, kctport.ErrTimeout) {
		t.Errorf("without a free connection: %v", err)
	}
	cancel()
	if err := <-blocked; !errors.Is(err, context.Canceled) || !errors.Is(err, kctport.ErrUnknown) {
		t.Errorf("cancelled: %v", err)
	}
	fx.fake.Stop()
	if err := fx.callAndCheck(t, fx.newCall(replyTimeout)); !errors.Is(err, kctport.ErrNotRun) || !errors.Is(err, kctport.ErrUnavailable) {
		t.Errorf("without a listener: %v", err)
	}
}

// TestSilentConnections guards against a second timeout when all connections stop delivering data at once: after the first
// timeout the other idle connections have to be closed too.
func TestSilentConnections(t *testing.T) {
	const connections = 6
	fx := newFixture(t, connections, kctfake.WithSlots(connections, 0), kctfake.WithServiceTime(20*time.Millisecond, 0))
	var group sync.WaitGroup
	for range connections {
		group.Go(func() { _ = fx.callAndCheck(t, fx.newCall(replyTimeout)) })
	}
	group.Wait()
	opened := fx.fake.Counts().Connections
	fx.fake.BlackholeConnections()
	if err := fx.callAndCheck(t, fx.newCall(shortTimeout)); !errors.Is(err, kctport.ErrTimeout) || !errors.Is(err, kctport.ErrUnknown) {
		t.Fatalf("on an unresponsive connection: %v", err)
	}
	for range 2 * connections {
		if err := fx.callAndCheck(t, fx.newCall(replyTimeout)); err != nil {
			t.Fatalf("after one timeout: %v", err)
		}
	}
	if opened < 2 || fx.fake.Counts().Connections == opened {
		t.Fatalf("%d connections opened before the fault, %d in all", opened, fx.fake.Counts().Connections)
	}
}

// TestConnectionLimit guards against more connections than an endpoint reports as its limit, and against refusals reported as
// another error than ErrShed. The status call's connection is closed when it reports the limit, hence one more in total.
func TestConnectionLimit(t *testing.T) {
	const limit = 3
	fx := newFixture(t, 10*limit, kctfake.WithSlots(1, 0), kctfake.WithConnections(limit, 0, true), kctfake.WithServiceTime(5*time.Millisecond, 0))
	if _, err := fx.client.Status(context.Background(), fx.endpoint); err != nil {
		t.Fatal(err)
	}
	var sheds atomic.Int64
	var group sync.WaitGroup
	for range 10 * limit {
		group.Go(func() {
			err := fx.callAndCheck(t, fx.newCall(replyTimeout))
			if errors.Is(err, kctport.ErrShed) && errors.Is(err, kctport.ErrNotRun) {
				sheds.Add(1)
			} else if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if c := fx.fake.Counts(); c.Excess != 0 || c.Connections > limit+1 || c.Shed != uint64(sheds.Load()) || c.Shed == 0 {
		t.Fatalf("counts %+v, %d calls failed with ErrShed", c, sheds.Load())
	}
}

// TestStatus guards against a status that differs from the one reported, and against a failing call after Disconnect.
func TestStatus(t *testing.T) {
	fx := newFixture(t, 1)
	s, err := fx.client.Status(context.Background(), fx.endpoint)
	want := []kctport.Holding{{Snapshot: 7, Shard: 1, Shards: 2}}
	if err != nil || s.BootID == 0 || s.Slots != 4 || !reflect.DeepEqual(s.Holdings, want) {
		t.Fatalf("status %+v, error %v", s, err)
	}
	fx.client.Disconnect(fx.endpoint.ID)
	if _, err := fx.client.Status(context.Background(), fx.endpoint); err != nil {
		t.Fatalf("after Disconnect: %v", err)
	}
}
