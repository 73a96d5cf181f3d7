package kctingress

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/core/kctquota"
	"kingcupturn/io/kctguard"
)

const (
	// defaultHead and defaultBody in bytes, defaultHeadTimeout and defaultIdle apply until the operator's limits have been read, and where they name none.
	defaultHead        = 16 << 10
	defaultBody        = 256 << 10
	defaultHeadTimeout = 10 * time.Second
	defaultIdle        = 15 * time.Second
	// retryAfter is the delay after which a caller whose body was refused for want of memory is asked to retry.
	retryAfter = 150 * time.Millisecond
	// listenerName names the listener in logs and metrics.
	listenerName = "callers"
)

// Server serves callers' requests at one address.
type Server struct {
	address            netip.AddrPort
	forwarder          kctport.Forwarder
	fleets             kctport.Fleets
	dialect            kctport.Dialect
	timer              kctport.Timer
	guard              *kctguard.Guard
	http               *http.Server
	keepAlivesDisabled atomic.Bool
	requests           atomic.Uint64
}

// New returns a server that isn't listening yet; its connections take from the guard's account.
func New(address netip.AddrPort, forwarder kctport.Forwarder, fleets kctport.Fleets, dialect kctport.Dialect, timer kctport.Timer, guard *kctguard.Guard) *Server {
	s := &Server{address: address, forwarder: forwarder, fleets: fleets, dialect: dialect, timer: timer, guard: guard}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ErrorLog: klog.NewStandardLogger("WARNING")}
	kctguard.Serve(s.http)
	return s
}

// Start listens and serves; the channel receives the error that ended serving, nil after Shutdown.
func (s *Server) Start(ctx context.Context) (<-chan error, error) {
	l, err := s.guard.ListenHTTP(ctx, listenerName, s.address, s.limits)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		err := s.http.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done, nil
}

// DisableKeepAlives makes each later answer close its connection.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// Shutdown closes idle connections and waits for requests in progress, until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// limits returns the operator's limits, and the defaults for those that it doesn't name.
func (s *Server) limits() kctport.CallerLimits {
	var l kctport.CallerLimits
	if r := s.fleets.Fleet().Rules; r != nil {
		l = r.Limits
	}
	return kctport.CallerLimits{
		HeaderBytes: cmp.Or(l.HeaderBytes, defaultHead), BodyBytes: cmp.Or(l.BodyBytes, defaultBody),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, defaultHeadTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, defaultIdle),
	}
}

// Requests returns the number of requests since the start.
func (s *Server) Requests() uint64 {
	return s.requests.Load()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	begun := s.timer.Now()
	header := kctport.Header(r.Header)
	id, wait, ok := s.dialect.Request(header)
	if !ok {
		s.writeReply(w, &kctport.Reply{Status: http.StatusBadRequest, Local: true, Reason: "no request identifier"})
		return
	}
	limits := s.limits()
	if headSize(r) > limits.HeaderBytes {
		s.refuseSize(w, r, id, http.StatusRequestHeaderFieldsTooLarge, "head too long")
		return
	}
	deadline := begun.Add(wait)
	body, err := s.readBody(w, r, int64(limits.BodyBytes), deadline)
	if err != nil {
		s.handleBodyError(w, r, id, err)
		return
	}
	received := begun
	if len(body) > 0 {
		received = s.timer.Now()
	}
	reply := s.forwarder.Forward(r.Context(), &kctport.Message{
		ID: id, Method: r.Method, Target: r.RequestURI, Path: r.URL.EscapedPath(), Host: r.Host,
		Header: header, Body: body, Received: received, Deadline: deadline,
	})
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.writeReply(w, &reply)
}

// headSize returns the size in bytes of a request's head without what its lines need not have.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(":\r\n")
		}
	}
	return size
}

// readBody reads the body of a request of whose head the deadline is known; the error is that of MaxBytesReader for one above the limit, or of Conn.ReadBody.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	conn := kctguard.FromContext(r.Context())
	conn.WaitUntil(deadline)
	body, err := conn.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return nil, err
	}
	return body, conn.Run()
}

// handleBodyError refuses a request whose body is too large or has no room, and aborts one whose body could not be read; none is forwarded.
func (s *Server) handleBodyError(w http.ResponseWriter, r *http.Request, id string, err error) {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		s.refuseSize(w, r, id, http.StatusRequestEntityTooLarge, "body too large")
	case errors.Is(err, kctport.ErrShed):
		s.refuse(w, &kctport.Reply{Status: http.StatusServiceUnavailable, Local: true, Reason: "no memory for the request", RetryAfter: retryAfter})
	case errors.Is(err, kctport.ErrTimeout):
		s.refuse(w, &kctport.Reply{Status: http.StatusRequestTimeout, Local: true, Reason: "body not received in time"})
	default:
		klog.V(1).InfoS("request body not read", "request", id, "err", err)
		panic(http.ErrAbortHandler)
	}
}

// refuseSize refuses a request above a limit.
func (s *Server) refuseSize(w http.ResponseWriter, r *http.Request, id string, status int, reason string) {
	s.guard.Refused(listenerName, kctquota.ReasonSize)
	klog.V(1).InfoS("request too large", "request", id, "caller", r.RemoteAddr, "reason", reason)
	s.refuse(w, &kctport.Reply{Status: status, Local: true, Reason: reason})
}

// refuse answers a request that is not read to its end, and closes the connection.
func (s *Server) refuse(w http.ResponseWriter, reply *kctport.Reply) {
	w.Header().Set("Connection", "close")
	s.writeReply(w, reply)
}

func (s *Server) writeReply(w http.ResponseWriter, reply *kctport.Reply) {
	h := w.Header()
	for name, values := range s.dialect.Reply(reply) {
		h[name] = values
	}
	body := reply.Body
	if reply.Local {
		h.Set("Content-Type", "text/plain; charset=utf-8")
		body = []byte(reply.Reason + "\n")
	} else if _, ok := h["Content-Type"]; !ok {
		// The endpoint sent no content type; nil keeps net/http from detecting one.
		h["Content-Type"] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if s.keepAlivesDisabled.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(reply.Status)
	if _, err := w.Write(body); err != nil {
		klog.V(1).InfoS("answer not delivered", "err", err)
	}
}
