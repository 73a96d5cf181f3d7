package kctnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/core/kctbalance"
	"kingcupturn/core/kctdirectory"
	"kingcupturn/core/kctfleet"
	"kingcupturn/core/kctforward"
	"kingcupturn/core/kctpath"
	"kingcupturn/core/kctroutes"
	"kingcupturn/io/kctegress"
	"kingcupturn/io/kctfeed"
	"kingcupturn/io/kctingress"
	"kingcupturn/io/kctlog"
	"kingcupturn/io/kctmetric"
	"kingcupturn/io/kctrelay"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kcttimer"
	"kingcupturn/io/kctusage"
	kctadapter "kingcupturn/platform"
)

const (
	// memoryShare of the process limit is left to Go's heap; the rest is for stacks, sockets and the C library.
	memoryShare = 0.7
	// gcPercent trades memory, of which there is plenty, for processor time.
	gcPercent = 300
	// lastAnswers is the part of the grace time that is kept for requests in progress.
	lastAnswers = 900 * time.Millisecond
	// exitReserve ends the process before it is killed; with a fifth of a core the end itself takes a few hundred milliseconds.
	exitReserve = 500 * time.Millisecond
	// windPeriod is the last part of the drain, in which answers close their connections.
	windPeriod = time.Second
)

// Node is one entry on the users' platform.
type Node struct {
	settings kctsetting.Serving
	timer    kctport.Timer
	control  *kctfleet.Controller
	egress   *kctegress.Client
	usage    *kctusage.Meter
	policies kctforward.Policies
	metrics  *kctmetric.Serving
	dropped  func() uint64
	// bounds are those of extra attempts, as last reloaded.
	bounds  atomic.Pointer[kctbalance.BudgetSettings]
	ingress *kctingress.Server
	relay   *kctrelay.Client
}

// Option changes a node at construction.
type Option func(*Node)

// WithDroppedLines counts the log lines that were dropped, for the metrics.
func WithDroppedLines(dropped func() uint64) Option {
	return func(n *Node) { n.dropped = dropped }
}

// observers hands each story to all.
type observers []kctforward.Observer

func (o observers) Answered(s *kctforward.Trace) {
	for _, observer := range o {
		observer.Answered(s)
	}
}

// New wires an entry; nothing runs before Run.
func New(settings kctsetting.Serving, opts ...Option) *Node {
	n := &Node{timer: kcttimer.New(), metrics: kctmetric.NewServing(), dropped: func() uint64 { return 0 }}
	for _, o := range opts {
		o(n)
	}
	n.settings = settings
	n.bounds.Store(&kctbalance.BudgetSettings{Ratio: settings.Ratio, Slack: settings.Slack})
	log := kctlog.DecisionLogger{}
	seed := uint64(n.timer.Now().UnixNano())
	n.policies = kctforward.Policies{
		Balancer: kctbalance.New(settings.Zone, seed, kctbalance.WithColdBounds(kctbalance.ColdBounds{Overshoot: settings.Overshoot, Slack: settings.ColdSlack})),
		Budget:   kctbalance.NewBudget(*n.bounds.Load()),
		Delays:   kctbalance.NewHedgeDelays(), Splitter: kctroutes.NewSplitter(),
	}
	n.usage = kctusage.New(n.timer, settings.Cores)
	n.control = kctfleet.New(n.self(), kctadapter.NewClient(settings.Store), kctfeed.NewClient(n.timer, kctadapter.Decode), n.timer, log,
		kctfleet.WithOnPublish(n.follow), kctfleet.WithLoad(n.usage.Share), kctfleet.WithSeed(seed),
		kctfleet.WithZones(settings.Zones), kctfleet.WithApplyDeadline(settings.Apply))
	n.egress = kctegress.New(n.timer, kctadapter.Dialect{})
	n.metrics.RegisterFleet(n.control, n.timer, n.policies.Balancer.Ejected, n.egress.Opened, n.dropped)
	n.relay = kctrelay.NewClient(n.timer)
	path := kctpath.New(n.self(), n.control, n.egress, n.relay, n.timer)
	engine := kctforward.NewEngine(n.control, n.timer, path, n.policies, observers{log, n.metrics}, kctforward.WithAttemptObserver(n.control))
	n.ingress = kctingress.New(settings.Caller, engine, n.control, kctadapter.Dialect{}, n.timer)
	return n
}

// Reload takes new settings. The bounds of extra attempts change at once; addresses and limits of the process need a restart.
func (n *Node) Reload(settings kctsetting.Serving) {
	n.bounds.Store(&kctbalance.BudgetSettings{Ratio: settings.Ratio, Slack: settings.Slack})
	n.policies.Budget.Update(*n.bounds.Load(), n.control.Fleet().ActiveShares)
	kept := settings
	kept.Ratio, kept.Slack = n.settings.Ratio, n.settings.Slack
	klog.InfoS("settings reloaded", "id", n.settings.ID, "ratio", settings.Ratio, "slack", settings.Slack, "restartNeeded", kept != n.settings)
}

// follow brings the traffic policies up to date with a new picture.
func (n *Node) follow(f *kctport.Fleet) {
	n.policies.Budget.Update(*n.bounds.Load(), f.ActiveShares)
	n.policies.Balancer.Prune(f)
	if f.Rules == nil {
		return
	}
	n.policies.Budget.Prune(f.Rules)
	n.policies.Splitter.Prune(f.Rules)
	routes := map[string]bool{}
	for _, r := range f.Rules.Routes {
		routes[r.Name] = true
	}
	n.policies.Delays.Prune(func(route string) bool { return routes[route] })
}

// Run serves until the context ends, then drains within the grace time.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.Memory) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	control := n.control.Run(work)
	egress := n.egress.Run(work)
	usage := n.usage.Run(work)
	feeds, err := kctfeed.NewServer(n.settings.Peer, n.control).Start(work)
	if err != nil {
		return err
	}
	relays, err := kctrelay.NewServer(n.settings.Relay, kctpath.NewServer(n.control, n.egress), n.timer).Start(work)
	if err != nil {
		return err
	}
	relay := n.relay.Run(work)
	callers, err := n.ingress.Start(work)
	if err != nil {
		return err
	}
	fronts, err := n.serveFronts(work)
	if err != nil {
		return err
	}
	klog.InfoS("entry started", "id", n.settings.ID, "zone", n.settings.Zone, "caller", n.settings.Caller, "store", n.settings.Store)
	select {
	case <-ctx.Done():
		err = n.drain(work)
	case err = <-callers:
	case err = <-fronts:
	}
	stop()
	<-control
	<-egress
	<-usage
	<-feeds
	<-relays
	<-relay
	klog.InfoS("entry stopped", "id", n.settings.ID, "err", err)
	return err
}

// ready reports whether new callers may come.
func (n *Node) ready() error {
	f := n.control.Fleet()
	switch {
	case f.Draining:
		return errDraining
	case f.Rules == nil:
		return errNoRules
	}
	return nil
}

var (
	errDraining = errors.New("draining")
	errNoRules  = errors.New("no rules known yet")
)

// serveFronts serves readiness, the directory and metrics; the channel reports the first that ends.
func (n *Node) serveFronts(ctx context.Context) (<-chan error, error) {
	done := make(chan error, 3)
	ready, directory, metrics := echo.New(), echo.New(), echo.New()
	metrics.GET("/metrics", echo.WrapHandler(n.metrics.Handler()))
	kctadapter.ServeReadiness(ready, n.ready)
	kctadapter.ServeDirectory(directory, kctdirectory.New(n.control))
	for at, e := range map[netip.AddrPort]*echo.Echo{n.settings.Ready: ready, n.settings.Directory: directory, n.settings.Metrics: metrics} {
		if err := listen(ctx, at, e, done); err != nil {
			return nil, err
		}
	}
	return done, nil
}

func (n *Node) self() kctport.EntryRecord {
	return kctport.EntryRecord{ID: n.settings.ID, Zone: n.settings.Zone, Caller: n.settings.Caller, Peer: n.settings.Peer, Relay: n.settings.Relay, Cores: n.settings.Cores}
}

// frontTimeout bounds the headers of a small request, and frontIdle an unused connection.
const (
	frontTimeout = 5 * time.Second
	frontIdle    = time.Minute
)

func listen(ctx context.Context, at netip.AddrPort, handler http.Handler, done chan<- error) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", at.String())
	if err != nil {
		return eris.Wrapf(kctport.ErrUnavailable, "listen at %s: %v", at, err)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: frontTimeout, IdleTimeout: frontIdle, ErrorLog: klog.NewStandardLogger("WARNING")}
	go func() { done <- s.Serve(l) }()
	return nil
}

// drain leaves the directory, serves callers that still hold this entry's address and ends without cutting a request.
func (n *Node) drain(ctx context.Context) error {
	started := n.timer.Now()
	klog.InfoS("entry draining", "id", n.settings.ID, "grace", n.settings.Grace)
	n.control.Leave(ctx)
	serve := n.settings.Grace - lastAnswers - exitReserve
	n.pause(ctx, serve-windPeriod)
	n.ingress.DisableKeepAlives()
	n.pause(ctx, windPeriod)
	left := n.settings.Grace - exitReserve - n.timer.Now().Sub(started)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return n.ingress.Shutdown(ctx)
}

func (n *Node) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-n.timer.After(ctx, d):
	}
}
