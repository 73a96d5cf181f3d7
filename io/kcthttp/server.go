package kcthttp

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
	"kingcupturn/io/kctguard"
)

const (
	// headBytes is the largest head of a request in bytes.
	headBytes = 16 << 10
	// headerTimeout bounds the time in which a caller sends its request headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 72 * time.Second
	// listenerName names the listener in logs and metrics.
	listenerName = "callers"
)

// Server is the HTTP front end of an entry.
type Server struct {
	tier               kctport.Tier
	timer              kctport.Timer
	address            netip.AddrPort
	metrics            http.Handler
	bodyLimit          int
	guard              *kctguard.Guard
	keepAlivesDisabled atomic.Bool
	http               *http.Server
}

// Option configures a Server.
type Option func(*Server)

// WithBodyLimit sets the largest request body, in bytes.
func WithBodyLimit(n int) Option {
	return func(s *Server) { s.bodyLimit = n }
}

// WithMetrics sets the handler of /metrics.
func WithMetrics(h http.Handler) Option {
	return func(s *Server) { s.metrics = h }
}

// New returns a server that Start makes listen on the address; its connections take from the guard's account.
func New(address netip.AddrPort, tier kctport.Tier, timer kctport.Timer, guard *kctguard.Guard, opts ...Option) *Server {
	s := &Server{tier: tier, timer: timer, guard: guard, address: address, bodyLimit: 64 << 10, metrics: http.NotFoundHandler()}
	for _, o := range opts {
		o(s)
	}
	s.http = &http.Server{Handler: s.routes()}
	kctguard.Serve(s.http)
	return s
}

// Start listens and serves until Shutdown or Close; the channel then receives the error of serving, nil after either of them, and is closed.
func (s *Server) Start(ctx context.Context) (<-chan error, error) {
	listener, err := s.guard.ListenHTTP(ctx, listenerName, s.address, s.limits)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		err := s.http.Serve(listener)
		if eris.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
		close(done)
	}()
	return done, nil
}

// limits returns the limits of a request, which settings don't change while the process runs.
func (s *Server) limits() kctport.CallerLimits {
	return kctport.CallerLimits{HeaderBytes: headBytes, BodyBytes: s.bodyLimit, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// DisableKeepAlives makes every further reply close its connection, so that callers connect to other entries before Shutdown.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// Shutdown stops listening and waits for the requests in progress; an error is that of ctx or of the listener.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close ends all connections at once.
func (s *Server) Close() {
	// The only error is that the listener was closed before.
	_ = s.http.Close()
}

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.Use(middleware.Recover(), middleware.BodyLimitWithConfig(middleware.BodyLimitConfig{Limit: bytesText(s.bodyLimit)}), s.closeConnection)
	e.GET("/v1/addresses", s.addresses)
	e.POST("/v1/query", s.query)
	e.POST("/v1/keys", s.keys)
	e.POST("/v1/execute", s.execute)
	e.GET("/v1/config", s.config)
	e.POST("/v1/changes", s.change)
	e.GET("/v1/moves", s.moves)
	e.GET("/v1/view", s.view)
	e.GET("/metrics", echo.WrapHandler(s.metrics))
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)
	return e
}

func (s *Server) closeConnection(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.keepAlivesDisabled.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

func (s *Server) ready(c echo.Context) error {
	if err := s.tier.Ready(); err != nil {
		return err
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) config(c echo.Context) error {
	config, err := s.tier.Config(c.Request().Context())
	if err != nil {
		return err
	}
	body, err := kctcodec.EncodeConfig(config)
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, body)
}

func (s *Server) change(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	request, err := kctcodec.DecodeChange(body)
	if err != nil {
		return err
	}
	result, err := kctcodec.EncodeResult(s.tier.Change(c.Request().Context(), request))
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, result)
}
