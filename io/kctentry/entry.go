package kctentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/core/kctcheck"
	"kingcupturn/core/kctcontrol"
	"kingcupturn/core/kctidempotency"
	"kingcupturn/core/kctlimit"
	"kingcupturn/core/kctmember"
	"kingcupturn/core/kctquery"
	"kingcupturn/core/kctretry"
	"kingcupturn/core/kctroute"
	"kingcupturn/core/kctsend"
	"kingcupturn/core/kctsuspect"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kctcodec"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kcthttp"
	"kingcupturn/io/kctmetric"
	"kingcupturn/io/kctpeer"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kctstop"
	"kingcupturn/io/kcttimer"
	kctadapter "kingcupturn/platform"
)

// Entry is one entry daemon.
type Entry struct {
	settings kctsetting.Settings
	self     kctport.Member
	timer    kctport.Timer
	metrics  *kctmetric.Metrics
	checker  *kctcheck.Checker
	backend  *kctbackend.Client
	mesh     *kctpeer.Mesh
	gates    *kctlimit.Gates
	control  *kctcontrol.Controller
	suspects *kctsuspect.List
	keys     *kctidempotency.Table
	sender   *kctsend.Sender
	engine   *kctquery.Engine
	batch    *batcher
	server   *kcthttp.Server
	guard    *kctguard.Guard
	strict   bool
	killed   chan struct{}
	created  time.Time
	wasReady atomic.Bool
	// partsTimeout is defaultPartsTimeout, but for tests.
	partsTimeout time.Duration
}

// Option configures an Entry.
type Option func(*Entry)

// WithStrictChecks makes a violated invariant panic, for tests.
func WithStrictChecks() Option {
	return func(e *Entry) { e.strict = true }
}

// WithTimer replaces the real clock.
func WithTimer(t kctport.Timer) Option {
	return func(e *Entry) { e.timer = t }
}

// New returns an entry that starts nothing before Run.
func New(settings kctsetting.Settings, opts ...Option) *Entry {
	e := &Entry{settings: settings, timer: kcttimer.New(), metrics: kctmetric.New(), killed: make(chan struct{}), partsTimeout: defaultPartsTimeout}
	for _, o := range opts {
		o(e)
	}
	e.created = e.timer.Now()
	e.self = kctport.Member{
		ID: settings.ID, Incarnation: kctport.Incarnation(rand.Uint64() | 1), Zone: settings.Zone,
		Peer: settings.Peer, Caller: settings.Caller,
	}
	e.guard = kctguard.New(e.timer, settings.Memory, settings.Files, kctguard.WithObserver(e.metrics.ClientRefused))
	e.metrics.RegisterClients(e.guard.Usage)
	e.checker = kctcheck.New(e.reportViolation, e.checkerOptions()...)
	e.wireControl()
	e.wireTraffic()
	e.server = kcthttp.New(settings.Caller, e, e.timer, e.guard,
		kcthttp.WithBodyLimit(settings.MaxBody), kcthttp.WithMetrics(e.metrics.Handler()))
	return e
}

func (e *Entry) checkerOptions() []kctcheck.Option {
	if e.strict {
		return []kctcheck.Option{kctcheck.Panic()}
	}
	return nil
}

func (e *Entry) wireControl() {
	platform := kctadapter.NewRecords(e.settings.Platform, kctadapter.WithUnusable(func(key string, err error) {
		klog.V(1).InfoS("record unusable", "key", key, "err", err)
	}), kctadapter.WithDropped(func(err error) { klog.InfoS("store answer dropped", "err", err) }))
	e.backend = kctbackend.New(e.timer, kctbackend.WithConnections(e.settings.MaxConnections),
		kctbackend.WithDropped(func(endpoint kctport.InstanceID, request string, err error) {
			klog.InfoS("answer dropped", "endpoint", endpoint, "request", request, "err", err)
		}))
	e.mesh = kctpeer.New(e.self, e.timer, kctpeer.WithGuard(e.guard), kctpeer.WithConfigCodec(kctcodec.EncodeConfig, kctcodec.DecodeConfig),
		kctpeer.WithSessionFailed(func(id kctport.InstanceID) { e.control.SessionFailed(id) }))
	e.gates = kctlimit.NewGates(e.timer, kctlimit.WithChecker(e.checker))
	ports := kctcontrol.Ports{Timer: e.timer, Store: platform, Directory: platform, Backend: e.backend, Peers: e.mesh}
	codec := kctcontrol.Codec{Encode: kctcodec.EncodeConfig, Decode: kctcodec.DecodeConfig}
	e.control = kctcontrol.New(e.self, ports, codec, int64(e.self.Incarnation),
		kctcontrol.WithSeeds(e.settings.Seeds), kctcontrol.WithInFlight(e.gates.InFlight), kctcontrol.WithOwners(e.owners()),
		kctcontrol.WithJoinHook(e.sendSuspicions), kctcontrol.WithLoopObserver(e.metrics.ObserveControlLoop),
		kctcontrol.WithFailureReport(logTaskFailure))
}

// logTaskFailure logs that a control task has started to fail, or with nil that it succeeds again.
func logTaskFailure(task string, err error) {
	if err == nil {
		klog.InfoS("control task recovered", "task", task)
		return
	}
	klog.ErrorS(err, "control task fails", "task", task)
}

func (e *Entry) wireTraffic() {
	e.batch = newBatcher(e.timer, e.control.Observe, e.metrics.Shed)
	e.suspects = kctsuspect.NewList(e.timer)
	e.keys = kctidempotency.NewTable(e.self.ID, e.self.Incarnation, e.timer)
	e.sender = kctsend.New(e.self.ID, e.timer, e.backend, e.mesh, e.gates, e.batch, e.checker,
		kctsend.WithSuspects(suspectPort{entry: e}))
	e.engine = kctquery.NewEngine(e.control, e.timer, e.sender, e.picker(), e.hedger(),
		kctretry.NewBudget(e.budgetShare), e.checker)
	e.wireMetrics()
}

func (e *Entry) wireMetrics() {
	e.metrics.RegisterView(e.control)
	e.metrics.RegisterCounter(kctmetric.AttemptsFirst, func() uint64 { return e.engine.Counters().First })
	e.metrics.RegisterCounter(kctmetric.AttemptsRetry, func() uint64 { return e.engine.Counters().Retries })
	e.metrics.RegisterCounter(kctmetric.AttemptsHedge, func() uint64 { return e.engine.Counters().Hedges })
	e.metrics.RegisterCounter(kctmetric.AttemptsCanary, func() uint64 { return e.engine.Counters().Canaries })
	e.metrics.RegisterCounter(kctmetric.ControlBytesIn, func() uint64 { return e.mesh.Counters().Received })
	e.metrics.RegisterCounter(kctmetric.ControlBytesOut, func() uint64 { return e.mesh.Counters().Sent })
	e.metrics.RegisterCounter(kctmetric.DroppedBatches, e.batch.droppedCount)
}

func (e *Entry) owners() kctport.Owners {
	if e.settings.Ownership == "direct" {
		return kctmember.SelfOwner{Self: e.self.ID}
	}
	return kctmember.Rendezvous{}
}

func (e *Entry) picker() kctport.Picker {
	if e.settings.Picker == "robin" {
		return kctroute.NewRoundRobin()
	}
	return kctroute.NewPicker(kctroute.WithInFlight(e.sender.InFlight))
}

func (e *Entry) hedger() kctport.Hedger {
	switch e.settings.Hedge {
	case "none":
		return kctretry.NoHedge{}
	case "fixed":
		return kctretry.FixedHedge(fixedHedgeDelay)
	}
	return kctretry.NewHedger()
}

// fixedHedgeDelay is the hedge delay of the fixed-delay baseline.
const fixedHedgeDelay = 30 * time.Millisecond

// budgetShare returns the default policy's retry budget as a share of the load: one budget covers the parts of all services of a query.
func (e *Entry) budgetShare() float64 {
	return e.control.View().Defaults.Budget
}

func (e *Entry) reportViolation(invariant, evidence string) {
	e.metrics.Violation(invariant, evidence)
	klog.ErrorS(nil, "invariant violated", "invariant", invariant, "evidence", evidence)
}

// Run serves until the context ends, then drains: callers are served until their cached address lists have expired. It returns early with the
// error of a listener that fails.
func (e *Entry) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := e.mesh.Listen(workCtx); err != nil {
		return err
	}
	peers := e.mesh.Serve(workCtx, &peerHandler{entry: e})
	guard := e.guard.Run(workCtx)
	control := e.control.Run(workCtx)
	batches := e.batch.run(workCtx)
	callers, err := e.server.Start(workCtx)
	if err != nil {
		stop()
		<-control
		<-peers
		<-batches
		<-guard
		return err
	}
	klog.InfoS("entry started", "id", e.self.ID, "zone", e.self.Zone, "caller", e.self.Caller, "peer", e.self.Peer)
	select {
	case <-ctx.Done():
		err = e.drain(workCtx)
	case err = <-callers:
	case <-e.killed:
		e.server.Close()
		e.mesh.Close()
	}
	stop()
	limit, release := context.WithTimeout(context.WithoutCancel(ctx), e.partsTimeout)
	defer release()
	return errors.Join(err, kctstop.Await(limit, kctstop.On("control", control), kctstop.On("batches", batches), kctstop.On("peers", peers), kctstop.On("guard", guard)))
}

// Kill ends the entry at once, as a crash does, and closes the connections of callers and peers. It may be called once.
func (e *Entry) Kill() {
	close(e.killed)
}

const (
	// shutdownTimeout limits the wait for requests in progress; it exceeds the longest deadline.
	shutdownTimeout = 70 * time.Second
	// handoverWait is the time for releases of endpoints and relayed attempts to finish.
	handoverWait = time.Second
	// leaveTimeout bounds the wait until the control goroutine has withdrawn this entry from the members; callers are served after it all the same.
	leaveTimeout = time.Second
	// defaultPartsTimeout bounds the wait for the parts of the entry once callers are no longer served; the longest one, for requests of other entries in
	// progress, takes 10 s (kctpeer).
	defaultPartsTimeout = 12 * time.Second
)

// drain leaves the membership, serves callers until their address lists have expired, and shuts down after the requests in progress.
func (e *Entry) drain(ctx context.Context) error {
	klog.InfoS("entry draining", "id", e.self.ID, "lifetime", e.settings.Lifetime)
	if err := e.leave(ctx); err != nil {
		klog.ErrorS(err, "not withdrawn from the members", "id", e.self.ID)
	}
	e.sleep(ctx, leavePropagation+e.settings.Lifetime-closePeriod)
	e.server.DisableKeepAlives()
	e.sleep(ctx, closePeriod)
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := e.server.Shutdown(ctx)
	e.sleep(ctx, handoverWait)
	klog.InfoS("entry stopped", "id", e.self.ID)
	return err
}

// leave withdraws this entry from the members.
func (e *Entry) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return e.control.Drain(ctx)
}

// leavePropagation is how long other entries may still list this entry's address, until all have received its leaving.
const leavePropagation = 2 * time.Second

// closePeriod is the last part of serving during the drain, in which each reply closes its connection.
const closePeriod = 500 * time.Millisecond

func (e *Entry) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-e.timer.After(ctx, d):
	}
}
