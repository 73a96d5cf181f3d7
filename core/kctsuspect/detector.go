package kctsuspect

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
)

const (
	// cutBuffer holds the attempts that ended without an answer until they are looked at; further ones are dropped.
	cutBuffer = 1024
	// maxProbes bounds the endpoints that are probed at the same time; attempts that were cut at others are dropped.
	maxProbes = 64
	// unknownLifetime is assumed of an endpoint whose record has no start time.
	unknownLifetime = 10 * time.Second
	// maxInvolved bounds the requests that one crash counts against.
	maxInvolved = 64
)

// Crash is the crash of an endpoint with the suspicions that follow from it.
type Crash struct {
	Endpoint   *kctport.EndpointRecord
	Suspicions []kctport.Suspicion
}

// Detector tells endpoints that crashed from answers that were lost: after an attempt whose connection ended without an answer it probes the endpoint, which
// takes no connections once its process has ended. It records the evidence in a Memory.
type Detector struct {
	*Memory
	prober  kctport.Prober
	report  func([]kctport.Suspicion)
	onCrash func(Crash)
	cuts    chan cut
	dropped atomic.Uint64
	lost    atomic.Uint64
	crashes atomic.Uint64
}

// cut is an attempt that ended without an answer.
type cut struct {
	endpoint *kctport.EndpointRecord
	request  Involved
}

// DetectorOption configures a Detector.
type DetectorOption func(*Detector)

// WithReport passes new evidence to a function that tells other entries; it must not block.
func WithReport(report func([]kctport.Suspicion)) DetectorOption {
	return func(d *Detector) { d.report = report }
}

// WithOnCrash calls f after each crash of an endpoint that had requests in flight.
func WithOnCrash(f func(Crash)) DetectorOption {
	return func(d *Detector) { d.onCrash = f }
}

// NewDetector returns a detector that records nothing before Run.
func NewDetector(memory *Memory, prober kctport.Prober, opts ...DetectorOption) *Detector {
	d := &Detector{
		Memory: memory, prober: prober, report: func([]kctport.Suspicion) {}, onCrash: func(Crash) {}, cuts: make(chan cut, cutBuffer),
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// DetectorCounts counts since the start.
type DetectorCounts struct {
	// Crashes are endpoints that had crashed, Lost answers of endpoints that lived or could not be reached, and Dropped attempts that were not looked at.
	Crashes, Lost, Dropped uint64
}

// DetectorCounts returns the counts since the start.
func (d *Detector) DetectorCounts() DetectorCounts {
	return DetectorCounts{Crashes: d.crashes.Load(), Lost: d.lost.Load(), Dropped: d.dropped.Load()}
}

// Cut records that the connection of an attempt, sent at a mark, ended without an answer; it never blocks.
func (d *Detector) Cut(endpoint *kctport.EndpointRecord, f kctport.Fingerprint, sent Mark, inFlight time.Duration) {
	request := Involved{Fingerprint: f, Sent: sent, Cut: d.Mark(), InFlight: inFlight}
	select {
	case d.cuts <- cut{endpoint, request}:
	default:
		d.dropped.Add(1)
	}
}

// Answered records that an endpoint answered a request that it ran.
func (d *Detector) Answered(f kctport.Fingerprint) {
	if news := d.RecordSuccess(f); len(news) > 0 {
		d.report(news)
	}
}

// inquiry is a probe of an endpoint and the requests that were cut there.
type inquiry struct {
	endpoint *kctport.EndpointRecord
	requests []Involved
	liveness kctport.Liveness
}

// Run looks at cut attempts until the context ends; the channel closes after the last probe.
func (d *Detector) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var probes sync.WaitGroup
		defer probes.Wait()
		d.run(ctx, &probes)
	}()
	return done
}

func (d *Detector) run(ctx context.Context, probes *sync.WaitGroup) {
	open := map[Incarnation]*inquiry{}
	ended := make(chan *inquiry, maxProbes)
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.cuts:
			i := open[incarnationOf(c.endpoint)]
			if i == nil && len(open) >= maxProbes || i != nil && len(i.requests) >= maxInvolved {
				d.dropped.Add(1)
				continue
			}
			if i == nil {
				i = &inquiry{endpoint: c.endpoint}
				open[incarnationOf(c.endpoint)] = i
				probes.Go(func() {
					// The requests belong to the other goroutine.
					i.liveness = d.prober.Probe(ctx, c.endpoint.Address)
					ended <- i
				})
			}
			i.requests = append(i.requests, c.request)
		case i := <-ended:
			delete(open, incarnationOf(i.endpoint))
			d.conclude(i)
		}
	}
}

// conclude records a crash when the probe shows one.
func (d *Detector) conclude(i *inquiry) {
	if i.liveness != kctport.LivenessDown {
		d.lost.Add(uint64(len(i.requests)))
		return
	}
	d.crashes.Add(1)
	incarnation, now := incarnationOf(i.endpoint), d.timer.Now()
	lifetime := max(0, now.Sub(incarnation.Started))
	if incarnation.Started.IsZero() {
		// Without a start time the crashes of an endpoint are told apart by theirs.
		incarnation.Started, lifetime = now, unknownLifetime
	}
	news := d.RecordCrash(incarnation, lifetime, i.requests)
	if len(news) == 0 {
		return
	}
	d.report(news)
	d.onCrash(Crash{i.endpoint, news})
}

func incarnationOf(e *kctport.EndpointRecord) Incarnation {
	return Incarnation{e.ID, e.Started}.normalized()
}
