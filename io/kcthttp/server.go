package kcthttp

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
)

const (
	// headerTimeout bounds how long a caller may take to send its request headers.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that callers left open.
	idleTimeout = 90 * time.Second
)

// Server is the HTTP front end of an entry.
type Server struct {
	tier     kctport.Tier
	timer    kctport.Timer
	address  netip.AddrPort
	metrics  http.Handler
	body     int
	deadline time.Duration
	closing  atomic.Bool
	http     *http.Server
}

// Option changes a server at construction.
type Option func(*Server)

// WithBodyLimit sets the largest request body in bytes.
func WithBodyLimit(n int) Option {
	return func(s *Server) { s.body = n }
}

// WithMetrics serves the handler at /metrics.
func WithMetrics(h http.Handler) Option {
	return func(s *Server) { s.metrics = h }
}

// New returns a server for the address.
func New(address netip.AddrPort, tier kctport.Tier, timer kctport.Timer, opts ...Option) *Server {
	s := &Server{tier: tier, timer: timer, address: address, body: 64 << 10, metrics: http.NotFoundHandler()}
	for _, o := range opts {
		o(s)
	}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return s
}

// Start listens and serves until Shutdown; the channel reports the end of the serving goroutine.
func (s *Server) Start(ctx context.Context) (<-chan error, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address.String())
	if err != nil {
		return nil, eris.Wrapf(kctport.ErrUnavailable, "listen for callers on %s: %v", s.address, err)
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

// DisableKeepAlives makes every reply close its connection, so that callers move on before Shutdown.
func (s *Server) DisableKeepAlives() {
	s.closing.Store(true)
}

// Shutdown stops listening and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close ends all connections at once.
func (s *Server) Close() {
	// An error tells only that the listener was closed before.
	_ = s.http.Close()
}

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.Use(middleware.Recover(), middleware.BodyLimitWithConfig(middleware.BodyLimitConfig{Limit: bytesText(s.body)}), s.closeWhenWinding)
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

func (s *Server) closeWhenWinding(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.closing.Load() {
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
