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
	// patience is far above any healthy exchange, so that a busy machine does not turn a verdict into a timeout.
	patience = 20 * time.Second
	// impatience is the deadline of requests that cannot be answered.
	impatience = 200 * time.Millisecond
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// bench is a client with one endpoint stand-in.
type bench struct {
	client   *kctbackend.Client
	fake     *kctfake.Endpoint
	endpoint kctport.Endpoint
	calls    atomic.Int64
}

func newBench(t *testing.T, connections int, opts ...kctfake.EndpointOption) *bench {
	t.Helper()
	opts = append([]kctfake.EndpointOption{
		kctfake.WithService("search", "a", "v1"),
		kctfake.WithHoldings(kctport.Holding{Snapshot: 7, Shard: 1, Shards: 2}),
		kctfake.WithSeed(1),
	}, opts...)
	b := &bench{
		client: kctbackend.New(kcttimer.New(), kctbackend.WithConnections(connections)),
		fake:   kctfake.NewEndpoint("search-0", opts...),
	}
	ctx, cancel := context.WithCancel(context.Background())
	at, err := b.fake.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.client.Close()
		b.fake.Stop()
		cancel()
	})
	b.endpoint = kctport.Endpoint{ID: "search-0", Service: "search", Address: at}
	return b
}

// part returns a call with a fresh request identifier and body; the key equals the request identifier.
func (b *bench) part(timeout time.Duration) kctport.PartCall {
	n := b.calls.Add(1)
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

// try sends a call and returns its error after a check of the answer and of the claims that the error makes.
func (b *bench) try(t *testing.T, c kctport.PartCall) error {
	t.Helper()
	r, err := b.client.Call(context.Background(), b.endpoint, c)
	ran := b.fake.Runs(c.Key)
	switch {
	case ran > 1:
		t.Errorf("%s ran %d times", c.Request, ran)
	case err == nil:
		if want := kctfake.Expected(c.Part, c.Shards, c.Snapshot, c.Body); !reflect.DeepEqual(r.Items, want) {
			t.Errorf("%s: items %v, want %v", c.Request, r.Items, want)
		}
	case errors.Is(err, kctport.ErrNotRun) == errors.Is(err, kctport.ErrUnknown):
		t.Errorf("%s: %v wraps both or none of ErrNotRun and ErrUnknown", c.Request, err)
	case errors.Is(err, kctport.ErrNotRun) && ran != 0:
		t.Errorf("%s ran, but: %v", c.Request, err)
	}
	return err
}

// TestDamagedReplies guards against a damaged, foreign or left-over reply taken for the answer, against a second
// run of a request, and against a false "not run". Few connections make their reuse likely.
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
			b := newBench(t, connections, kctfake.WithSlots(1, queue), kctfake.WithServiceTime(time.Millisecond, 0))
			b.fake.SetFaults(f)
			var answered atomic.Int64
			var group sync.WaitGroup
			for range workers {
				group.Go(func() {
					for range calls {
						if b.try(t, b.part(patience)) == nil {
							answered.Add(1)
						}
					}
				})
			}
			group.Wait()
			if n := answered.Load(); n < workers*calls/10 || name == "healthy" && n < workers*calls {
				t.Fatalf("%d of %d answered", n, workers*calls)
			}
		})
	}
}

// TestRefusals guards against a lost or wrong meaning of a refusal.
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
		"late":     {faults: kctwire.EndpointFaults{ReplyDelay: kctwire.Duration(time.Hour)}, timeout: impatience, kind: kctport.ErrTimeout, ran: kctport.ErrUnknown},
		"crash":    {faults: kctwire.EndpointFaults{Crash: "body"}, kind: kctport.ErrReset, ran: kctport.ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1)
			b.fake.SetFaults(c.faults)
			call := b.part(max(c.timeout, patience))
			if c.timeout > 0 {
				call = b.part(c.timeout)
			}
			if c.change != nil {
				c.change(&call)
			}
			if err := b.try(t, call); !errors.Is(err, c.kind) || !errors.Is(err, c.ran) {
				t.Fatalf("error %v, want %v and %v", err, c.kind, c.ran)
			}
		})
	}
}

// TestNothingWritten guards against "unknown" for a request that cannot have left: no listener, no free connection.
func TestNothingWritten(t *testing.T) {
	b := newBench(t, 1)
	b.fake.SetFaults(kctwire.EndpointFaults{ReplyDelay: kctwire.Duration(time.Hour)})
	ctx, cancel := context.WithCancel(context.Background())
	blocked := make(chan error)
	go func() {
		_, err := b.client.Call(ctx, b.endpoint, b.part(patience))
		blocked <- err
	}()
	for b.fake.Counts().Done == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := b.try(t, b.part(impatience)); !errors.Is(err, kctport.ErrNotRun) || !errors.Is(err, kctport.ErrTimeout) {
		t.Errorf("without a free connection: %v", err)
	}
	cancel()
	if err := <-blocked; !errors.Is(err, context.Canceled) || !errors.Is(err, kctport.ErrUnknown) {
		t.Errorf("cancelled: %v", err)
	}
	b.fake.Stop()
	if err := b.try(t, b.part(patience)); !errors.Is(err, kctport.ErrNotRun) || !errors.Is(err, kctport.ErrUnavailable) {
		t.Errorf("without a listener: %v", err)
	}
}

// TestSilentConnections guards against a second deadline spent on connections that went silent together.
func TestSilentConnections(t *testing.T) {
	const connections = 6
	b := newBench(t, connections, kctfake.WithSlots(connections, 0), kctfake.WithServiceTime(20*time.Millisecond, 0))
	var group sync.WaitGroup
	for range connections {
		group.Go(func() { _ = b.try(t, b.part(patience)) })
	}
	group.Wait()
	opened := b.fake.Counts().Connections
	b.fake.Silence()
	if err := b.try(t, b.part(impatience)); !errors.Is(err, kctport.ErrTimeout) || !errors.Is(err, kctport.ErrUnknown) {
		t.Fatalf("on a silent connection: %v", err)
	}
	for range 2 * connections {
		if err := b.try(t, b.part(patience)); err != nil {
			t.Fatalf("after one deadline: %v", err)
		}
	}
	if opened < 2 || b.fake.Counts().Connections == opened {
		t.Fatalf("%d connections before, %d after", opened, b.fake.Counts().Connections)
	}
}

// TestConnectionLimit guards against more connections than an endpoint reports as its limit, and against sheds taken
// for another error. The status call's own connection is closed when the limit is known, hence one more in total.
func TestConnectionLimit(t *testing.T) {
	const limit = 3
	b := newBench(t, 10*limit, kctfake.WithSlots(1, 0), kctfake.WithConnections(limit, 0, true), kctfake.WithServiceTime(5*time.Millisecond, 0))
	if _, err := b.client.Status(context.Background(), b.endpoint); err != nil {
		t.Fatal(err)
	}
	var sheds atomic.Int64
	var group sync.WaitGroup
	for range 10 * limit {
		group.Go(func() {
			err := b.try(t, b.part(patience))
			if errors.Is(err, kctport.ErrShed) && errors.Is(err, kctport.ErrNotRun) {
				sheds.Add(1)
			} else if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if c := b.fake.Counts(); c.Excess != 0 || c.Connections > limit+1 || c.Shed != uint64(sheds.Load()) || c.Shed == 0 {
		t.Fatalf("counts %+v, sheds seen %d", c, sheds.Load())
	}
}

// TestStatus guards against a status that differs from the endpoint's.
func TestStatus(t *testing.T) {
	b := newBench(t, 1)
	s, err := b.client.Status(context.Background(), b.endpoint)
	want := []kctport.Holding{{Snapshot: 7, Shard: 1, Shards: 2}}
	if err != nil || s.BootID == 0 || s.Slots != 4 || !reflect.DeepEqual(s.Holdings, want) {
		t.Fatalf("status %+v, error %v", s, err)
	}
	b.client.Disconnect(b.endpoint.ID)
	if _, err := b.client.Status(context.Background(), b.endpoint); err != nil {
		t.Fatalf("after Forget: %v", err)
	}
}
