package kctbackend_test

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
	"testing"

	kctport "kingcupturn"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kcttimer"
)

// TestStatusLines guards against a reply or a status whose status line is none and that is taken for one of the endpoint: the server returns the stand-in's
// replies under another status line.
func TestStatusLines(t *testing.T) {
	fx := newFixture(t, 1)
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 000 X", "HTTP/1.1 600 X", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK"} {
		t.Run(line, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						body, _ := io.ReadAll(r.Body)
						request := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", r.Method, r.RequestURI, len(body), body)
						_, rest, _ := strings.Cut(recordReply(t, fx.endpoint.Address, request), "\r\n")
						// An error shows as a missing reply.
						_, _ = io.WriteString(c, line+"\r\n"+rest)
					}
					c.Close()
				}
			}()
			endpoint := fx.endpoint
			endpoint.Address = netip.MustParseAddrPort(l.Addr().String())
			client := kctbackend.New(kcttimer.New())
			defer client.Close()
			_, callErr := client.Call(context.Background(), endpoint, fx.newCall(replyTimeout))
			_, statusErr := client.Status(context.Background(), endpoint)
			for call, err := range map[string]error{"call": callErr, "status": statusErr} {
				switch {
				case line == "HTTP/1.1 200 OK" && err != nil:
					t.Errorf("%s: a sound reply gets %v", call, err)
				case line != "HTTP/1.1 200 OK" && (!errors.Is(err, kctport.ErrMismatch) || errors.Is(err, kctport.ErrNotRun)):
					t.Errorf("%s: %v, want ErrMismatch", call, err)
				}
			}
		})
	}
}
