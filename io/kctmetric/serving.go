package kctmetric

import (
	"net/http"
	"strconv"

	kctport "kingcupturn"
	"kingcupturn/core/kctbalance"
	"kingcupturn/core/kctforward"
	"kingcupturn/core/kctquota"
	"kingcupturn/core/kctsuspect"
	"kingcupturn/io/kctegress"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets are upper bounds in seconds; current objectives lie between 60 and 600 ms.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.03, 0.045, 0.06, 0.08, 0.1, 0.12, 0.15, 0.2, 0.3, 0.45, 0.6, 1, 2, 4, 8}

// Serving holds the metrics of an entry on the users' platform; all methods may be called concurrently.
type Serving struct {
	registry *prometheus.Registry
	// requests has the source of the answer in its label by: endpoint, merged, own, or left when the caller disconnected.
	requests  *prometheus.CounterVec
	objective *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	parts     *prometheus.CounterVec
	// decisions counts failed attempts and missing shards by what happened.
	decisions  *prometheus.CounterVec
	violations *prometheus.CounterVec
	// refused counts clients by listener and reason.
	refused *prometheus.CounterVec
}

// NewServing returns metrics in a registry of their own. Routes are grouped by kind and priority to bound the number of label values, since rules may
// name thousands of routes.
func NewServing() *Serving {
	m := &Serving{registry: prometheus.NewRegistry()}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
		m.registry.MustRegister(v)
		return v
	}
	m.requests = counter("answers_total", "Answers by kind of route, priority, status code and who gave them: endpoint, merged or own.", "kind", "priority", "status", "by")
	m.objective = counter("objective_total", "Requests that met or missed their route's objective.", "service", "kind", "result")
	m.attempts = counter("attempts_total", "Attempts at endpoints by kind: first, hedge or retry.", "kind")
	m.parts = counter("parts_total", "Parts of gathered answers, answered or missing.", "result")
	m.violations = counter("violations_total", "Violations of run time invariants by name.", "invariant")
	m.refused = counter(refusedClients, refusedClientsHelp, "listener", "reason")
	m.decisions = counter("decisions_total", "Decisions about requests that were not served plainly.", "what")
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: Namespace, Name: "latency_seconds", Help: "Time from the reading of a request to its answer.", Buckets: latencyBuckets,
	}, []string{"kind"})
	m.registry.MustRegister(m.latency)
	return m
}

// Handler serves the metrics in the exposition format.
func (m *Serving) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// ClientRefused counts a client that was refused, or whose connection was closed, at a listener.
func (m *Serving) ClientRefused(listener string, reason kctquota.Reason) {
	m.refused.WithLabelValues(listener, string(reason)).Inc()
}

// RegisterClients registers gauges of what clients hold.
func (m *Serving) RegisterClients(usage func() kctquota.Usage) { registerClients(m.registry, usage) }

// Violation counts a violated invariant; it has the signature of the report function of core/kctcheck.
func (m *Serving) Violation(invariant, _ string) {
	m.violations.WithLabelValues(invariant).Inc()
}

// Counters are counters that other packages maintain.
type Counters struct {
	// Egress counts connections to endpoints and their answers.
	Egress func() kctegress.Counts
	// Dropped counts log lines, Losses losses of contact with the store, and DroppedReports reports to other entries.
	Dropped, Losses, DroppedReports func() uint64
}

// RegisterFleet registers gauges of the current fleet state, and counters that other packages maintain.
func (m *Serving) RegisterFleet(fleets kctport.Fleets, timer kctport.Timer, b *kctbalance.Balancer, counters Counters) {
	gauge := func(name, help string, read func(f *kctport.Fleet) float64) {
		opts := prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}
		m.registry.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return read(fleets.Fleet()) }))
	}
	gauge("rules_version", "Version of the operator's rules in force, 0 for none.", func(f *kctport.Fleet) float64 {
		if f.Rules == nil {
			return 0
		}
		return float64(f.Rules.Version)
	})
	gauge("entries", "Entries of the tier known to be alive.", func(f *kctport.Fleet) float64 { return float64(len(f.Entries)) })
	gauge("active_entries", "Entries that callers are sent to.", func(f *kctport.Fleet) float64 { return float64(len(f.Active)) })
	gauge("endpoints", "Endpoints that may get work.", func(f *kctport.Fleet) float64 {
		n := 0
		for _, endpoints := range f.Endpoints {
			n += len(endpoints)
		}
		return float64(n)
	})
	gauge("lapsed_endpoints", "Endpoints whose records disappeared and that may get work until it is clear whether an outage of the store was the cause.",
		func(f *kctport.Fleet) float64 { return float64(f.Lapsed) })
	gauge("store_hops", "Feeds between this entry and the one that watches the store, -1 without contact with the store.", func(f *kctport.Fleet) float64 {
		if f.Watcher == "" {
			return -1
		}
		return float64(f.WatcherHops)
	})
	gauge("store_age_seconds", "Age of the state: time up to which all changes of the store are known.", func(f *kctport.Fleet) float64 {
		return timer.Now().Sub(f.LastContact).Seconds()
	})
	gauge("ejected_endpoints", "Endpoints that rest after failures seen by this entry.", func(*kctport.Fleet) float64 {
		return float64(len(b.Ejected(timer.Now())))
	})
	gauge("moving_services", "Services that move to another version.", func(f *kctport.Fleet) float64 {
		moving := 0
		for _, m := range f.Moves {
			if m.Evaluating {
				moving++
			}
		}
		return float64(moving)
	})
	gauge("limited_endpoints", "Endpoints that name a limit of requests a second in their answers.", func(*kctport.Fleet) float64 { return float64(b.Limited()) })
	gauge("leaving_endpoints", "Incarnations of endpoints that said in an answer that they leave, in the last minutes.", func(*kctport.Fleet) float64 {
		leaving, _ := b.Notices(timer.Now())
		return float64(leaving)
	})
	gauge("paused_endpoints", "Endpoints that want no requests from this entry for a time.", func(*kctport.Fleet) float64 {
		_, paused := b.Notices(timer.Now())
		return float64(paused)
	})
	counter := m.counterFunc
	egress := func(name, help string, read func(kctegress.Counts) uint64) {
		counter(name, help, func() uint64 { return read(counters.Egress()) })
	}
	egress("connections_opened_total", "Connections opened to endpoints.", func(c kctegress.Counts) uint64 { return c.Opened })
	egress("connections_stray_total", "Idle connections closed since their endpoint sent bytes on them.", func(c kctegress.Counts) uint64 { return c.Strays })
	egress("answers_skipped_total", "Second answers to earlier requests that came before the answer to a request.", func(c kctegress.Counts) uint64 { return c.Skipped })
	counter("log_lines_dropped_total", "Log lines dropped because the reader of standard output was slow.", counters.Dropped)
	counter("store_losses_total", "Losses of contact with the store.", counters.Losses)
	counter("reports_dropped_total", "Reports of this entry's traffic that other entries did not get.", counters.DroppedReports)
}

// counterFunc registers a counter that another package maintains.
func (m *Serving) counterFunc(name, help string, read func() uint64) {
	opts := prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(read()) }))
}

// RegisterSuspects registers what is known of requests that crash endpoints.
func (m *Serving) RegisterSuspects(d *kctsuspect.Detector) {
	gauge := func(name, help string, read func() int) {
		opts := prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}
		m.registry.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return float64(read()) }))
	}
	gauge("suspected_requests", "Requests that were in flight when an endpoint crashed and have not run well since.", func() int {
		suspects, _ := d.Counts()
		return suspects
	})
	gauge("refused_requests", "Requests that are refused since they crash endpoints, by what they are.", func() int {
		_, refused := d.Counts()
		return refused
	})
	m.counterFunc("endpoint_crashes_total", "Endpoints that crashed with requests of this entry in flight.", func() uint64 { return d.DetectorCounts().Crashes })
	m.counterFunc("answers_lost_total", "Attempts without an answer whose endpoints lived or could not be reached.", func() uint64 { return d.DetectorCounts().Lost })
	m.counterFunc("cuts_dropped_total", "Attempts without an answer whose endpoints were not looked at.", func() uint64 { return d.DetectorCounts().Dropped })
}

// Answered counts a finished request.
func (m *Serving) Answered(t *kctforward.Trace) {
	kind, priority := "none", "none"
	if t.Route != nil {
		kind, priority = "single", strconv.Itoa(min(t.Route.Priority, maxPriorityLabel))
		if len(t.Route.Gather) > 0 {
			kind = "gather"
		}
	}
	by := "endpoint"
	switch {
	case t.CallerLeft:
		by = "left"
	case t.Reply.Local:
		by = "own"
	case len(t.Reply.Signatures) > 0:
		by = "merged"
	}
	m.requests.WithLabelValues(kind, priority, strconv.Itoa(t.Reply.Status), by).Inc()
	m.latency.WithLabelValues(kind).Observe(t.End.Sub(t.Start).Seconds())
	m.attempts.WithLabelValues("hedge").Add(float64(t.Hedges))
	m.attempts.WithLabelValues("retry").Add(float64(t.Retries))
	m.attempts.WithLabelValues("first").Add(float64(t.Attempts - t.Hedges - t.Retries))
	m.parts.WithLabelValues("answered").Add(float64(len(t.Reply.Signatures)))
	m.parts.WithLabelValues("missing").Add(float64(t.Reply.Missing))
	for _, event := range t.Events {
		m.decisions.WithLabelValues(event.Kind).Inc()
	}
	m.countObjective(t, kind, priority)
}

// maxPriorityLabel bounds the priority label; larger numbers are less urgent and rare.
const maxPriorityLabel = 9

// countObjective counts the request for the burn report, which groups by service; the service label holds the kind of the route, and the kind
// label the priority.
func (m *Serving) countObjective(t *kctforward.Trace, kind, priority string) {
	if t.Route == nil || t.CallerLeft {
		return
	}
	result := "missed"
	if t.Reply.Status < http.StatusBadRequest && t.End.Sub(t.Start) <= t.Route.Objective {
		result = "met"
	}
	m.objective.WithLabelValues(kind, "priority "+priority, result).Inc()
}
