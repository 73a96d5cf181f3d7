package kctrelay_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/goleak"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kctrelay"
	"kingcupturn/io/kcttimer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// handler chooses the result of an attempt by the endpoint's name and counts attempts.
type handler struct {
	mu        sync.Mutex
	attempts  int
	cancelled chan struct{}
}

func (h *handler) Relay(ctx context.Context, a kctport.RelayAttempt) (kctport.Response, error) {
	h.mu.Lock()
	h.attempts++
	h.mu.Unlock()
	switch a.Endpoint {
	case "silent":
		<-ctx.Done()
		close(h.cancelled)
		return kctport.Response{}, ctx.Err()
	case "unknown":
		return kctport.Response{}, kctport.ErrNotRun
	case "declined":
		return kctport.Response{}, kctport.ErrDeclined
	case "reset":
		return kctport.Response{}, kctport.ErrReset
	case "mismatch":
		return kctport.Response{}, kctport.ErrMismatch
	case "late":
		return kctport.Response{}, kctport.ErrTimeout
	case "odd":
		return kctport.Response{Status: 200, Signature: "\xff"}, nil
	case "odd failure":
		return kctport.Response{}, eris.Wrap(kctport.ErrReset, "\xff")
	}
	m := a.Message
	body := bytes.Join([][]byte{[]byte(m.ID), []byte(m.Method), []byte(m.Target), []byte(m.Host), []byte(m.Header["X-Own"][0]), m.Body, []byte(a.Service)}, []byte("|"))
	return kctport.Response{
		Status: 200, Signature: "sig-" + string(a.Endpoint), Body: body, Load: &kctport.Load{Running: 1, Waiting: 2, Slots: 3}, ColdRemaining: time.Second, RateLimit: &limit,
		NotRun: a.Endpoint == "refusing", Misdirected: a.Endpoint == "refusing", Notice: kctport.Notice{Leaving: a.Endpoint == "refusing", Pause: time.Minute},
	}, nil
}

type fixture struct {
	client  *kctrelay.Client
	handler *handler
	via     kctport.EntryRecord
	proxy   *kctfake.Relay
}

// start runs a relay server on a loopback address and a client that reaches it through a proxy that can inject faults.
func start(t *testing.T) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	f := &fixture{client: kctrelay.NewClient(kcttimer.New()), handler: &handler{cancelled: make(chan struct{})}, proxy: kctfake.NewRelay(address)}
	ctx, cancel := context.WithCancel(context.Background())
	served, err := kctrelay.NewServer(address, f.handler, kcttimer.New(), kctguard.New(kcttimer.New(), 256, 4096)).Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	proxied, err := f.proxy.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f.via = kctport.EntryRecord{ID: "via", Peer: proxied, Relay: proxied}
	running := f.client.Run(ctx)
	t.Cleanup(func() {
		cancel()
		f.proxy.Stop()
		<-served
		<-running
	})
	return f
}

var limit = 2.5

func message() *kctport.Message {
	return &kctport.Message{
		ID: "id", Method: "POST", Target: "/a?b=c", Host: "h", Header: kctport.Header{"X-Own": {"own"}}, Body: []byte("body"), Deadline: time.Now().Add(20 * time.Second),
	}
}

func (f *fixture) exchange(ctx context.Context, m *kctport.Message, endpoint kctport.InstanceID) (kctport.Response, error) {
	return f.client.Exchange(ctx, f.via, &kctport.EndpointRecord{ID: endpoint, Service: "s"}, m, kctport.ExchangeOptions{Deadline: m.Deadline})
}

// TestRelay guards against fields lost in encoding, results delivered to the wrong attempt, and errors that change their kind in the relay.
func TestRelay(t *testing.T) {
	f := start(t)
	m := message()
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			r, err := f.exchange(t.Context(), m, "one")
			if err != nil || string(r.Body) != "id|POST|/a?b=c|h|own|body|s" || r.Signature != "sig-one" || r.Status != 200 || *r.Load != (kctport.Load{Running: 1, Waiting: 2, Slots: 3}) || r.ColdRemaining != time.Second || r.RateLimit == nil || *r.RateLimit != 2.5 || r.NotRun {
				t.Errorf("response %+v, error %v", r, err)
			}
		})
		group.Go(func() {
			if r, err := f.exchange(t.Context(), m, "refusing"); err != nil || !r.NotRun || !r.Misdirected || r.Notice != (kctport.Notice{Leaving: true, Pause: time.Minute}) {
				t.Errorf("response %+v, error %v", r, err)
			}
		})
	}
	group.Wait()
	for endpoint, want := range map[kctport.InstanceID]error{
		"unknown": kctport.ErrNotRun, "declined": kctport.ErrDeclined, "reset": kctport.ErrReset, "mismatch": kctport.ErrMismatch, "late": kctport.ErrTimeout,
	} {
		_, err := f.exchange(t.Context(), m, endpoint)
		if !errors.Is(err, want) || errors.Is(err, kctport.ErrNotRun) != (endpoint == "unknown" || endpoint == "declined") || errors.Is(err, kctport.ErrUnavailable) {
			t.Errorf("endpoint %s: error %v, want %v", endpoint, err, want)
		}
	}
}

// TestBytesThatAreNoText guards against a request, an answer or an error with bytes that are not UTF-8 which ends the other attempts of its session.
func TestBytesThatAreNoText(t *testing.T) {
	f := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	other := make(chan error)
	go func() {
		_, err := f.exchange(ctx, message(), "silent")
		other <- err
	}()
	odd := message()
	odd.Header["X-Own"] = []string{"\xff"}
	for endpoint, want := range map[kctport.InstanceID]error{"one": kctport.ErrDeclined, "odd": kctport.ErrMismatch, "odd failure": kctport.ErrReset} {
		m := message()
		if endpoint == "one" {
			m = odd
		}
		if _, err := f.exchange(t.Context(), m, endpoint); !errors.Is(err, want) || errors.Is(err, kctport.ErrUnavailable) {
			t.Errorf("endpoint %s: error %v, want %v", endpoint, err, want)
		}
	}
	cancel()
	if err := <-other; !errors.Is(err, context.Canceled) {
		t.Errorf("another attempt: %v, want context.Canceled", err)
	}
}

// TestCancelledAttempt guards against an attempt that continues at the other entry after its caller has disconnected.
func TestCancelledAttempt(t *testing.T) {
	f := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := f.exchange(ctx, message(), "silent"); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	select {
	case <-f.handler.cancelled:
	case <-time.After(5 * time.Second):
		t.Error("the attempt was not cancelled at the other entry")
	}
}

// TestUnreachableEntry guards against reporting an attempt as not run although it was sent, and against an attempt that hangs on a dead connection.
func TestUnreachableEntry(t *testing.T) {
	f := start(t)
	if _, err := f.exchange(t.Context(), message(), "one"); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { f.proxy.SetFaults(kctfake.RelayFaults{BlockToTarget: true, BlockFromTarget: true}) })
	began := time.Now()
	_, err := f.exchange(t.Context(), message(), "silent")
	if !errors.Is(err, kctport.ErrReset) || !errors.Is(err, kctport.ErrUnavailable) || errors.Is(err, kctport.ErrNotRun) || time.Since(began) > 10*time.Second {
		t.Errorf("dead connection: after %v error %v, want ErrReset and ErrUnavailable within 10 s", time.Since(began), err)
	}
	closed := f.via
	// Nothing listens at the port of the discard service.
	closed.ID, closed.Relay = "closed", netip.MustParseAddrPort("127.0.0.1:9")
	if _, err := f.client.Exchange(t.Context(), closed, &kctport.EndpointRecord{}, message(), kctport.ExchangeOptions{Deadline: time.Now().Add(time.Second)}); !errors.Is(err, kctport.ErrNotRun) {
		t.Errorf("refused connection: error %v, want ErrNotRun", err)
	}
	f.proxy.SetFaults(kctfake.RelayFaults{})
	if _, err := f.exchange(t.Context(), message(), "one"); err != nil {
		t.Errorf("after the connection recovered: %v", err)
	}
}

// TestStopDuringDial guards against a client that never ends when it stops while a session with a machine that is gone is being opened.
func TestStopDuringDial(t *testing.T) {
	gone, free, err := kctloopback.Silence(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer free()
	for after := time.Duration(0); after <= 240*time.Millisecond; after += 20 * time.Millisecond {
		client := kctrelay.NewClient(kcttimer.New())
		ctx, stop := context.WithCancel(t.Context())
		running := client.Run(ctx)
		var attempts sync.WaitGroup
		for i := range 3 {
			attempts.Go(func() {
				m := message()
				via := kctport.EntryRecord{ID: kctport.InstanceID(rune('a' + i)), Relay: gone}
				if _, err := client.Exchange(t.Context(), via, &kctport.EndpointRecord{}, m, kctport.ExchangeOptions{Deadline: m.Deadline}); !errors.Is(err, kctport.ErrNotRun) {
					t.Errorf("error %v, want ErrNotRun", err)
				}
			})
		}
		time.Sleep(after)
		stop()
		select {
		case <-running:
		case <-time.After(5 * time.Second):
			t.Fatalf("the client still runs 5 s after a stop %v after the attempts began", after)
		}
		attempts.Wait()
	}
}
