package kctbackend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kcttimer"
)

// TestEndlessReply guards against bytes without end in a reply's head or body that take the memory of the process: fifty endpoints send them at once, to
// requests and to the calls that ask for their status.
func TestEndlessReply(t *testing.T) {
	const servers, memoryBound = 50, 96 << 20
	for name, c := range map[string]struct{ begin, piece string }{
		"no answer":       {"", "x"},
		"status line":     {"HTTP/1.1 200 ", "x"},
		"header line":     {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational":   {"", "HTTP/1.1 103 Early\r\n\r\n"},
		"length":          {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"no length":       {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			debug.FreeOSMemory()
			fx := newFixture(t, 1)
			client := kctbackend.New(kcttimer.New())
			defer client.Close()
			stop, peak := make(chan struct{}), make(chan uint64)
			go func() { peak <- kctfake.HeapPeak(stop) }()
			var group, connected sync.WaitGroup
			connected.Add(servers)
			for i := range servers {
				endpoint := kctport.Endpoint{ID: kctport.InstanceID(rune('A' + i)), Service: "search", Address: serveEndless(t, &connected, c.begin, c.piece)}
				call := fx.newCall(2 * time.Second)
				group.Go(func() {
					if i%2 == 0 {
						if _, err := client.Status(context.Background(), endpoint); err == nil {
							t.Error("a status without end was taken")
						}
						return
					}
					if _, err := client.Call(context.Background(), endpoint, call); err == nil || errors.Is(err, kctport.ErrNotRun) {
						t.Errorf("error %v, want one that does not say that it has not run", err)
					}
				})
			}
			group.Wait()
			close(stop)
			if p := <-peak; p > memoryBound {
				t.Errorf("%d MiB of heap in use, want at most %d", p>>20, memoryBound>>20)
			}
		})
	}
}

// serveEndless starts an endpoint that answers a request with bytes without end, once all endpoints have one.
func serveEndless(t *testing.T, connected *sync.WaitGroup, begin, piece string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = http.ReadRequest(bufio.NewReader(c))
		connected.Done()
		connected.Wait()
		block := strings.Repeat(piece, max(1, 64<<10/len(piece)))
		for write := begin; err == nil; write = block {
			_, err = io.WriteString(c, write)
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return netip.MustParseAddrPort(l.Addr().String())
}
