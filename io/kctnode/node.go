package kctnode

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"reflect"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/core/kctbalance"
	"kingcupturn/core/kctcheck"
	"kingcupturn/core/kctdirectory"
	"kingcupturn/core/kctfleet"
	"kingcupturn/core/kctforward"
	"kingcupturn/core/kctmove"
	"kingcupturn/core/kctrelaypath"
	"kingcupturn/core/kctroutetable"
	"kingcupturn/core/kctsuspect"
	"kingcupturn/io/kctegress"
	"kingcupturn/io/kctfeed"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctingress"
	"kingcupturn/io/kctlog"
	"kingcupturn/io/kctmetric"
	"kingcupturn/io/kctrelay"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kctstop"
	"kingcupturn/io/kcttimer"
	"kingcupturn/io/kctusage"
	kctadapter "kingcupturn/platform"
)

const (
	// memoryShare is the part of the process's memory limit that is set as Go's limit; the rest is for thread stacks, sockets and the C library.
	memoryShare = 0.7
	// gcPercent trades memory for processor time, since memory is plentiful.
	gcPercent = 300
	// finishReserve is the part of the grace time that is reserved for finishing requests in progress.
	finishReserve = 900 * time.Millisecond
	// exitReserve is the part of the grace time that is reserved for exiting before the platform kills the process, which takes a few hundred
	// milliseconds on a fifth of a core.
	exitReserve = 500 * time.Millisecond
	// stopReserve is the last part of it, in which the entry no longer waits for what has not ended, but logs it and exits.
	stopReserve = 300 * time.Millisecond
	// answerReserve is the time before the exit by which all requests are answered, so that the answers reach their callers.
	answerReserve = 150 * time.Millisecond
	// closePeriod is the last part of serving during the drain, in which each answer closes its connection.
	closePeriod = time.Second
)

// Node is one entry on the users' platform.
type Node struct {
	settings     kctsetting.Serving
	timer        kctport.Timer
	control      *kctfleet.Controller
	egress       *kctegress.Client
	suspects     *kctsuspect.Detector
	usage        *kctusage.Meter
	policies     kctforward.Policies
	metrics      *kctmetric.Serving
	droppedLines func() uint64
	// budgetSettings are the limits of extra attempts, as last reloaded.
	budgetSettings atomic.Pointer[kctbalance.BudgetSettings]
	engine         *kctforward.Engine
	ingress        *kctingress.Server
	relay          *kctrelay.Client
	relays         *kctrelay.Server
	guard          *kctguard.Guard
}

// Option configures a Node.
type Option func(*Node)

// WithDroppedLines sets the function that returns the number of dropped log lines, for the metrics.
func WithDroppedLines(droppedLines func() uint64) Option {
	return func(n *Node) { n.droppedLines = droppedLines }
}

// observers passes each trace to all of its elements.
type observers []kctforward.Observer

func (o observers) Answered(trace *kctforward.Trace) {
	for _, observer := range o {
		observer.Answered(trace)
	}
}

// New returns an entry that starts nothing before Run.
func New(settings kctsetting.Serving, opts ...Option) *Node {
	n := &Node{timer: kcttimer.New(), metrics: kctmetric.NewServing(), droppedLines: func() uint64 { return 0 }}
	for _, o := range opts {
		o(n)
	}
	n.settings = settings
	n.budgetSettings.Store(&kctbalance.BudgetSettings{Ratio: settings.Ratio, Slack: settings.Slack})
	n.guard = kctguard.New(n.timer, settings.Memory, settings.Files, kctguard.WithObserver(n.metrics.ClientRefused))
	n.metrics.RegisterClients(n.guard.Usage)
	log := kctlog.DecisionLogger{}
	seed := uint64(n.timer.Now().UnixNano())
	n.policies = kctforward.Policies{
		Balancer: kctbalance.New(settings.Zone, seed, kctbalance.WithSelf(settings.ID),
			kctbalance.WithColdBounds(kctbalance.ColdBounds{Overshoot: settings.Overshoot, Slack: settings.ColdSlack}),
			kctbalance.WithOnLimit(func(endpoint kctport.InstanceID, change string) {
				log.LogChange("endpoint limit", string(endpoint), change, 0)
			}),
			kctbalance.WithDrain(settings.Drain), kctbalance.WithOnNotice(func(endpoint kctport.InstanceID, text string) {
				log.LogChange("endpoint notice", string(endpoint), text, 0)
			})),
		Budget: kctbalance.NewBudget(*n.budgetSettings.Load()),
		Delays: kctbalance.NewHedgeDelays(), Splitter: kctroutetable.NewSplitter(),
	}
	n.usage = kctusage.New(n.timer, settings.Cores, n.handled)
	memory := kctsuspect.NewMemory(n.timer, kctsuspect.WithSelf(settings.ID), kctsuspect.WithOnVerdict(log.LogVerdict))
	store := kctadapter.NewClient(settings.Store, kctadapter.WithDropped(func(err error) { log.LogChange("store answer dropped", "", err.Error(), 0) }))
	n.control = kctfleet.New(n.self(), store, kctfeed.NewClient(n.timer, kctadapter.Decode), n.timer, log,
		kctfleet.WithOnPublish(n.updatePolicies), kctfleet.WithLoad(n.usage.Share), kctfleet.WithSeed(seed),
		kctfleet.WithZones(settings.Zones), kctfleet.WithApplyDeadline(settings.Apply), kctfleet.WithHeartbeat(settings.Heartbeat),
		kctfleet.WithChecker(kctcheck.New(n.reportViolation)), kctfleet.WithSuspicions(memory),
		kctfleet.WithExposure(kctmove.Exposure{Share: settings.Expose, Slack: settings.ExposeSlack}))
	n.egress = kctegress.New(n.timer, kctadapter.Dialect{}, kctegress.WithOnSecondCopy(func(endpoint netip.AddrPort) {
		log.LogChange("second answers", endpoint.String(), "requests that may not be repeated get connections of their own", 0)
	}))
	n.suspects = kctsuspect.NewDetector(memory, n.egress, kctsuspect.WithReport(n.control.Report), kctsuspect.WithOnCrash(log.LogCrash))
	n.metrics.RegisterFleet(n.control, n.timer, n.policies.Balancer, kctmetric.Counters{
		Egress: n.egress.Counts, Dropped: n.droppedLines, Losses: n.control.ContactLosses, DroppedReports: n.control.DroppedReports,
	})
	n.metrics.RegisterSuspects(n.suspects)
	n.relay = kctrelay.NewClient(n.timer)
	n.relays = kctrelay.NewServer(settings.Relay, kctrelaypath.NewServer(n.control, n.egress, n.policies.Balancer, n.timer), n.timer, n.guard)
	path := kctrelaypath.New(n.self(), n.control, n.egress, n.relay, n.timer)
	n.engine = kctforward.NewEngine(n.control, n.timer, path, n.policies, observers{log, n.metrics},
		kctforward.WithAttemptObserver(n.control), kctforward.WithSuspects(n.suspects), kctforward.WithApplyDeadline(settings.Apply))
	n.ingress = kctingress.New(settings.Caller, n.engine, n.control, kctadapter.Dialect{}, n.timer, n.guard)
	return n
}

// handled returns the number of requests of callers and of attempts for other entries since the start.
func (n *Node) handled() uint64 {
	return n.ingress.Requests() + n.relays.Requests()
}

// reportViolation counts and logs a violated invariant.
func (n *Node) reportViolation(invariant, evidence string) {
	n.metrics.Violation(invariant, evidence)
	klog.ErrorS(nil, "invariant violated", "invariant", invariant, "evidence", evidence)
}

// Reload applies new limits of extra attempts at once; other changed settings need a restart, which is logged.
func (n *Node) Reload(settings kctsetting.Serving) {
	n.budgetSettings.Store(&kctbalance.BudgetSettings{Ratio: settings.Ratio, Slack: settings.Slack})
	n.policies.Budget.Update(*n.budgetSettings.Load(), n.control.Fleet().ActiveShares)
	static := settings
	static.Ratio, static.Slack = n.settings.Ratio, n.settings.Slack
	klog.InfoS("settings reloaded", "id", n.settings.ID, "ratio", settings.Ratio, "slack", settings.Slack, "restartNeeded", !reflect.DeepEqual(static, n.settings))
}

// updatePolicies applies a new fleet state to the traffic policies and prunes the state of removed endpoints and routes.
func (n *Node) updatePolicies(f *kctport.Fleet) {
	n.policies.Budget.Update(*n.budgetSettings.Load(), f.ActiveShares)
	n.policies.Balancer.Prune(n.timer.Now(), f)
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

// Run serves until the context ends, then drains within the grace time; it returns early with the error of a listener that fails. What has not ended
// stopReserve before the end of the grace time is logged and left; the error then wraps ErrTimeout.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.Memory) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stopping, begin := context.WithCancel(ctx)
	defer begin()
	limit, release := kctstop.After(stopping, n.timer, n.settings.Grace-stopReserve)
	defer release()
	parts := []kctstop.Part{
		kctstop.On("control", n.control.Run(work)), kctstop.On("egress", n.egress.Run(work)),
		kctstop.On("suspects", n.suspects.Run(work)), kctstop.On("usage", n.usage.Run(work)),
		kctstop.On("guard", n.guard.Run(work)),
	}
	feeds, err := kctfeed.NewServer(n.settings.Peer, n.control, n.timer, n.guard).Start(work)
	if err != nil {
		return err
	}
	relays, err := n.relays.Start(work)
	if err != nil {
		return err
	}
	parts = append(parts, kctstop.On("feeds", feeds), kctstop.On("relays", relays), kctstop.On("relay client", n.relay.Run(work)))
	callers, err := n.ingress.Start(work)
	if err != nil {
		return err
	}
	auxiliary, err := n.serveAuxiliary(work)
	if err != nil {
		return err
	}
	klog.InfoS("entry started", "id", n.settings.ID, "zone", n.settings.Zone, "caller", n.settings.Caller, "store", n.settings.Store)
	select {
	case <-ctx.Done():
		parts = append(parts, kctstop.On("leaving", n.leave(work)))
		err = n.drain(work)
	case err = <-callers:
	case err = <-auxiliary:
	}
	stop()
	begin()
	err = errors.Join(err, kctstop.Await(limit, parts...))
	klog.InfoS("entry stopped", "id", n.settings.ID, "err", err)
	return err
}

// ready returns nil while the entry accepts new callers.
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

// serveAuxiliary serves readiness, the directory and metrics; the channel receives the error of each server that ends.
func (n *Node) serveAuxiliary(ctx context.Context) (<-chan error, error) {
	done := make(chan error, 3)
	ready, directory, metrics := echo.New(), echo.New(), echo.New()
	metrics.GET("/metrics", echo.WrapHandler(n.metrics.Handler()))
	kctadapter.ServeReadiness(ready, n.ready)
	kctadapter.ServeDirectory(directory, kctdirectory.New(n.control, n.settings.Zones))
	for _, a := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{{"readiness", n.settings.Ready, ready}, {"directory", n.settings.Directory, directory}, {"metrics", n.settings.Metrics, metrics}} {
		if err := n.listen(ctx, a.name, a.address, a.handler, done); err != nil {
			return nil, err
		}
	}
	return done, nil
}

func (n *Node) self() kctport.EntryRecord {
	return kctport.EntryRecord{ID: n.settings.ID, Zone: n.settings.Zone, Caller: n.settings.Caller, Peer: n.settings.Peer, Relay: n.settings.Relay, Cores: n.settings.Cores}
}

// auxiliaryLimits bound the requests at the addresses other than that for callers.
var auxiliaryLimits = kctport.CallerLimits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// listen serves a handler at an address; the channel receives the error that ends it.
func (n *Node) listen(ctx context.Context, name string, at netip.AddrPort, handler http.Handler, done chan<- error) error {
	l, err := n.guard.ListenHTTP(ctx, name, at, func() kctport.CallerLimits { return auxiliaryLimits })
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ErrorLog: klog.NewStandardLogger("WARNING")}
	kctguard.Serve(s)
	go func() { done <- s.Serve(l) }()
	return nil
}

// leave withdraws this entry from the directory; the channel closes when that is done. Callers are served whether it is or not.
func (n *Node) leave(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.control.Leave(ctx)
	}()
	return done
}

// drain serves callers that still use this entry's address as long as there is time for their requests, and shuts down after the requests in progress.
func (n *Node) drain(ctx context.Context) error {
	started := n.timer.Now()
	klog.InfoS("entry draining", "id", n.settings.ID, "grace", n.settings.Grace)
	n.engine.Drain(started.Add(n.settings.Grace - exitReserve - answerReserve))
	serving := n.settings.Grace - finishReserve - exitReserve
	n.sleep(ctx, serving-closePeriod)
	n.ingress.DisableKeepAlives()
	n.sleep(ctx, closePeriod)
	remaining := n.settings.Grace - exitReserve - n.timer.Now().Sub(started)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return n.ingress.Shutdown(ctx)
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-n.timer.After(ctx, d):
	}
}
