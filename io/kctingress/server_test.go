package kctingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctingress"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kcttimer"
	kctadapter "kingcupturn/platform"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// forwarder records the identifiers of the requests that it answers.
type forwarder struct {
	mu  sync.Mutex
	ids []string
}

func (f *forwarder) Forward(_ context.Context, m *kctport.Message) kctport.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids = append(f.ids, m.ID)
	return kctport.Reply{Status: http.StatusOK, Body: []byte("served")}
}

type fleets struct{ rules *kctport.Rules }

func (f fleets) Fleet() *kctport.Fleet { return &kctport.Fleet{Rules: f.rules} }

// start serves with a memory limit in MiB.
func start(t *testing.T, memory int) (*forwarder, netip.AddrPort) {
	t.Helper()
	ports, err := kctloopback.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{}
	guard := kctguard.New(kcttimer.New(), memory, kctguard.DefaultFiles)
	rules := &kctport.Rules{Limits: kctport.CallerLimits{HeaderBytes: 1000, BodyBytes: 200_000, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}}
	s := kctingress.New(ports[0], f, fleets{rules}, kctadapter.Dialect{}, kcttimer.New(), guard)
	ctx, stop := context.WithCancel(context.Background())
	served, err := s.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	running := guard.Run(ctx)
	t.Cleanup(func() {
		ending, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := s.Shutdown(ending); err != nil {
			t.Error(err)
		}
		stop()
		<-served
		<-running
	})
	return f, ports[0]
}

func request(id, deadline string, length int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nKingcupturn-Attempt-Id: %s\r\nKingcupturn-Deadline-Ms: %s\r\nContent-Length: %d\r\n\r\n", id, deadline, length)
}

// send sends a text on a new connection and returns the answer.
func send(t *testing.T, at netip.AddrPort, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Body.Close()
	return r
}

// TestUnfinishedBodies guards against an unfinished request that is forwarded, that keeps its memory, or that gets no answer from which its caller can tell that
// it has not run and when to come back.
func TestUnfinishedBodies(t *testing.T) {
	f, at := start(t, 1)
	const size = 150_000
	refused := make(chan *http.Response, 1)
	go func() { refused <- send(t, at, request("unfinished", "60000", size)+strings.Repeat("x", size-1)) }()
	time.Sleep(200 * time.Millisecond)
	if r := send(t, at, request("newcomer", "60000", size/2)+strings.Repeat("x", size/2)); r.StatusCode != http.StatusOK {
		t.Errorf("a newcomer gets status %d", r.StatusCode)
	}
	if r := <-refused; r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("the unfinished request gets %d, %v; want 503 with Retry-After and the end of the connection", r.StatusCode, r.Header)
	}
	if r := send(t, at, request("late", "500", size)+strings.Repeat("x", size-1)); r.StatusCode != http.StatusRequestTimeout || !r.Close {
		t.Errorf("a body that misses its deadline gets status %d, want 408", r.StatusCode)
	}
	if r := send(t, at, request("large", "60000", 200_001)); r.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a body above the limit gets status %d, want 413", r.StatusCode)
	}
	if r := send(t, at, strings.Replace(request("long", "60000", 0), "Host: h", "Host: h\r\nX: "+strings.Repeat("x", 1000), 1)); r.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a head above the limit gets status %d, want 431", r.StatusCode)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(f.ids, []string{"newcomer"}) {
		t.Errorf("forwarded: %v, want the newcomer only", f.ids)
	}
}
