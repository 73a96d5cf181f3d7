package kctguard

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	kctport "kingcupturn"
	"kingcupturn/core/kctquota"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kcttimer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixture is a server behind a guard; it answers with the size of the body or refuses it with 503.
type fixture struct {
	t       *testing.T
	guard   *Guard
	address netip.AddrPort
	limits  atomic.Pointer[kctport.CallerLimits]
	// release lets the handler end; nil for at once.
	release chan struct{}

	mu      sync.Mutex
	refused map[kctquota.Reason]int
}

func start(t *testing.T, b kctquota.Bounds, limits kctport.CallerLimits) *fixture {
	t.Helper()
	ports, err := kctloopback.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, address: ports[0], refused: map[kctquota.Reason]int{}}
	f.limits.Store(&limits)
	f.guard = New(kcttimer.New(), DefaultMemory, DefaultFiles, WithObserver(func(_ string, reason kctquota.Reason) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refused[reason]++
	}))
	f.guard.account = kctquota.New(b, kctquota.WithObserver(f.guard.Refused))
	ctx, stop := context.WithCancel(context.Background())
	l, err := f.guard.ListenHTTP(ctx, "test", f.address, func() kctport.CallerLimits { return *f.limits.Load() })
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(f.serve)}
	Serve(s)
	served, running := make(chan error, 1), f.guard.Run(ctx)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		stop()
		<-served
		<-running
	})
	return f
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	c := FromContext(r.Context())
	body, err := c.ReadBody(r.Body, r.ContentLength)
	if err == nil {
		err = c.Run()
	}
	switch {
	case errors.Is(err, kctport.ErrNotRun):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	if f.release != nil {
		<-f.release
	}
	fmt.Fprintf(w, "%d", len(body))
}

func (f *fixture) count(reason kctquota.Reason) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused[reason]
}

func (f *fixture) dial() net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.address.String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// send sends a text on a connection and returns the status and the body of the answer, 0 without one.
func (f *fixture) send(c net.Conn, text string) (int, string) {
	f.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		return 0, ""
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, ""
	}
	return r.StatusCode, string(body)
}

const head = "POST / HTTP/1.1\r\nHost: h\r\n"

var (
	wide   = kctquota.Bounds{Connections: 100, Bytes: 1 << 20}
	limits = kctport.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
)

// TestBodies guards against bodies that are cut or changed where their parts meet, and against memory that is not given back.
func TestBodies(t *testing.T) {
	f := start(t, wide, limits)
	c := f.dial()
	for _, size := range []int{0, 1, freeBody - 1, freeBody, freeBody + 1, freeBody + bodyStep, freeBody + bodyStep + 1, 100_000} {
		want := fmt.Sprint(size)
		if status, got := f.send(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))); status != http.StatusOK || got != want {
			t.Errorf("%d bytes: status %d, read %s", size, status, got)
		}
		chunks := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		if size == 0 {
			chunks = ""
		}
		if status, got := f.send(c, head+"Transfer-Encoding: chunked\r\n\r\n"+chunks+"0\r\n\r\n"); status != http.StatusOK || got != want {
			t.Errorf("%d bytes in chunks: status %d, read %s", size, status, got)
		}
	}
	f.waitForUsage(kctquota.Usage{Connections: 1})
	c.Close()
	f.waitForUsage(kctquota.Usage{})
}

// waitForUsage waits until clients hold what they should.
func (f *fixture) waitForUsage(want kctquota.Usage) {
	f.t.Helper()
	for range 500 {
		if f.guard.Usage() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Errorf("%+v is held, want %+v", f.guard.Usage(), want)
}

// TestBodyThatBreaksOff guards against a body that ends early and is taken for whole.
func TestBodyThatBreaksOff(t *testing.T) {
	f := start(t, wide, limits)
	for _, text := range []string{
		head + "Content-Length: 10\r\n\r\nx", head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000),
		head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", head + "Transfer-Encoding: chunked\r\n\r\n9000\r\n" + strings.Repeat("x", 0x9000),
	} {
		c := f.dial()
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if answer, err := io.ReadAll(c); err == nil && strings.Contains(string(answer), "200 OK") {
			t.Errorf("%.60q is answered with %q", text, answer)
		}
	}
}

// TestMemoryForNewcomers guards against an unfinished large body that keeps others out, and against one that gives way without an answer.
func TestMemoryForNewcomers(t *testing.T) {
	f := start(t, kctquota.Bounds{Connections: 100, Bytes: 100_000}, limits)
	large := head + "Content-Length: 90000\r\n\r\n"
	stays := f.dial()
	answered := make(chan int, 1)
	go func() {
		status, _ := f.send(stays, large+strings.Repeat("x", 89_999))
		answered <- status
	}()
	f.waitForUsage(kctquota.Usage{Connections: 1, Bytes: 90_000})
	if status, got := f.send(f.dial(), head+"Content-Length: 50000\r\n\r\n"+strings.Repeat("x", 50_000)); status != http.StatusOK || got != "50000" {
		t.Errorf("a newcomer gets status %d, %q", status, got)
	}
	if status := <-answered; status != http.StatusServiceUnavailable {
		t.Errorf("the unfinished body gets status %d, want 503", status)
	}
	if f.count(kctquota.ReasonMemory) != 1 {
		t.Errorf("refused: %v", f.refused)
	}
}

// TestRunningRequestsKeepMemory guards against a request that runs and is cut off for another one, which is refused at once instead.
func TestRunningRequestsKeepMemory(t *testing.T) {
	f := start(t, kctquota.Bounds{Connections: 100, Bytes: 100_000}, limits)
	f.release = make(chan struct{})
	text := head + "Content-Length: 90000\r\n\r\n" + strings.Repeat("x", 90_000)
	answered := make(chan int, 1)
	go func() {
		status, _ := f.send(f.dial(), text)
		answered <- status
	}()
	f.waitForUsage(kctquota.Usage{Connections: 1, Bytes: 90_000})
	if status, _ := f.send(f.dial(), text); status != http.StatusServiceUnavailable {
		t.Errorf("a second one gets status %d, want 503", status)
	}
	close(f.release)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("the first one gets status %d", status)
	}
}

// TestHeadLimitOfReload guards against the limit with which the process started, when the operator has lowered it.
func TestHeadLimitOfReload(t *testing.T) {
	f := start(t, wide, limits)
	long := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 10_000) + "\r\n\r\n"
	c := f.dial()
	if status, _ := f.send(c, long); status != http.StatusOK {
		t.Errorf("status %d below the limit", status)
	}
	lower := limits
	lower.HeaderBytes = 2_000
	f.limits.Store(&lower)
	if status, _ := f.send(c, long); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d above the new limit, want 431", status)
	}
	if f.count(kctquota.ReasonSize) != 1 {
		t.Errorf("refused: %v", f.refused)
	}
}

// TestTimeouts guards against clients that keep a connection without sending, in a head and in a body, while a slow one within the limits is served.
func TestTimeouts(t *testing.T) {
	short := limits
	short.HeaderTimeout, short.IdleTimeout = time.Second, 2*time.Second
	f := start(t, wide, short)
	var group sync.WaitGroup
	for _, text := range []string{"", "POST / HT", head + "Content-Length: 10\r\n\r\nx"} {
		c := f.dial()
		group.Go(func() {
			if status, _ := f.send(c, text); status == http.StatusOK {
				t.Errorf("%q is answered", text)
			}
		})
	}
	slow := f.dial()
	group.Go(func() {
		if _, err := io.WriteString(slow, head+"Content-Length: 10\r\n\r\n"); err != nil {
			t.Error(err)
		}
		for range 9 {
			time.Sleep(500 * time.Millisecond)
			if _, err := io.WriteString(slow, "x"); err != nil {
				t.Error(err)
			}
		}
		if status, got := f.send(slow, "x"); status != http.StatusOK || got != "10" {
			t.Errorf("a slow body gets status %d, %q", status, got)
		}
	})
	group.Wait()
	for _, reason := range []kctquota.Reason{kctquota.ReasonIdle, kctquota.ReasonHead, kctquota.ReasonStall} {
		if f.count(reason) != 1 {
			t.Errorf("%d connections closed for %s, want 1", f.count(reason), reason)
		}
	}
}

// TestPlaceForNewcomers guards against silent connections that take all places.
func TestPlaceForNewcomers(t *testing.T) {
	f := start(t, kctquota.Bounds{Connections: 4, Bytes: 1 << 20}, limits)
	served := f.dial()
	if status, _ := f.send(served, head+"Content-Length: 0\r\n\r\n"); status != http.StatusOK {
		t.Fatal(status)
	}
	for range 50 {
		f.dial()
	}
	if status, _ := f.send(f.dial(), head+"Content-Length: 0\r\n\r\n"); status != http.StatusOK {
		t.Errorf("a newcomer gets status %d", status)
	}
	if status, _ := f.send(served, head+"Content-Length: 0\r\n\r\n"); status != http.StatusOK {
		t.Errorf("a connection that was served gets status %d", status)
	}
}

// TestAdmittedPeers guards against entries that lose their connection to clients, and against silent connections that keep them out.
func TestAdmittedPeers(t *testing.T) {
	ports, err := kctloopback.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	g := New(kcttimer.New(), DefaultMemory, DefaultFiles)
	g.account = kctquota.New(kctquota.Bounds{Connections: 2, Bytes: 1000})
	l, err := g.ListenPeers(t.Context(), "peers", ports[0])
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var peers, others []*Conn
	for n := range 10 {
		c, err := net.Dial("tcp", ports[0].String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		if n%2 == 1 {
			others = append(others, accepted.(*Conn))
		} else {
			peers = append(peers, accepted.(*Conn))
			if err := peers[len(peers)-1].Admit(); err != nil {
				t.Error(err)
			}
		}
	}
	for _, c := range peers {
		if c.gaveWay.Load() {
			t.Error("an admitted connection gave way")
		}
	}
	for _, c := range others {
		if c.gaveWay.Load() {
			c.Close()
		}
	}
	if usage := g.Usage(); usage.Connections != 2 {
		t.Errorf("%d places are taken, want 2", usage.Connections)
	}
}
