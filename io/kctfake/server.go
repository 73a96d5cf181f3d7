package kctfake

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"
)

// loopback is any free port on the loopback address.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// maxRequest is the maximum size of a request body in bytes; store values of up to 1 MB grow by a third in base64.
const maxRequest = 4 << 20

// server is an HTTP server; done is closed when it has ended.
type server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// serve starts an HTTP server on the listener; ctx is the base context of its requests.
func serve(ctx context.Context, l net.Listener, h http.Handler, connContext func(context.Context, net.Conn) context.Context) *server {
	s := &server{listener: l, done: make(chan struct{})}
	s.http = &http.Server{
		Handler:     h,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnContext: connContext,
	}
	go func() {
		defer close(s.done)
		err := s.http.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			_ = s.http.Close()
		}
	}()
	return s
}

// close closes the listener and all connections and waits until the accept loop has ended.
func (s *server) close() {
	_ = s.http.Close()
	<-s.done
}

// listen opens a TCP listener and returns its address.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, netip.AddrPort, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, netip.AddrPort{}, eris.Wrapf(err, "listen on %s", address)
	}
	tcp, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		_ = l.Close()
		return nil, netip.AddrPort{}, eris.Errorf("listener of %s has no TCP address", address)
	}
	return l, tcp.AddrPort(), nil
}

// writeJSON writes a JSON reply; write errors are ignored, since the caller may have disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// readJSON decodes a JSON request; it answers 400 and returns false when the request is malformed.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
