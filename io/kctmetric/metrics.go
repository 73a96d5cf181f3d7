package kctmetric

import (
	"net/http"
	"time"

	kctport "kingcupturn"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Namespace is the prefix of every metric name of an entry.
const Namespace = "kingcupturn"

// defaultObjective is the p99 latency of the design target; latency buckets are denser around it.
const defaultObjective = 210 * time.Millisecond

// Metrics holds the metrics of one entry; all methods may be called concurrently.
type Metrics struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	answers     *prometheus.CounterVec
	objective   *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	parts       *prometheus.CounterVec
	coverage    prometheus.Histogram
	urgent      *prometheus.CounterVec
	sheds       *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	violations  *prometheus.CounterVec
	clients     *prometheus.CounterVec
	controlLoop prometheus.Histogram
	// baseObjective is the center of the latency buckets and the objective of a service without one.
	baseObjective time.Duration
}

// Option configures Metrics.
type Option func(*Metrics)

// WithObjective sets the objective around which latency buckets are denser, and that of services without one.
func WithObjective(objective time.Duration) Option {
	return func(m *Metrics) { m.baseObjective = objective }
}

// New returns metrics in a registry of their own, with the Go and process collectors.
func New(opts ...Option) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), baseObjective: defaultObjective}
	for _, o := range opts {
		o(m)
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.requests = m.newCounter("requests_total", "Requests by service, route, kind and outcome; a request counts once for each service it names.", "service", "route", "kind", "outcome")
	m.answers = m.newCounter("answers_total", "Requests by kind and outcome, each counted once.", "kind", "outcome")
	m.objective = m.newCounter("objective_total", "Requests by service and kind that met or missed the latency objective in force.", "service", "kind", "result")
	m.urgent = m.newCounter("urgent_total", "Urgent requests by result: ontime or late.", "result")
	m.parts = m.newCounter("parts_total", "Parts of queries, answered or missing.", "result")
	m.sheds = m.newCounter("sheds_total", "Attempts refused for lack of capacity, by service.", "service")
	m.refusals = m.newCounter("refusals_total", "Requests refused to callers, by whether they ran: no or unknown.", "ran")
	m.clients = m.newCounter(refusedClients, refusedClientsHelp, "listener", "reason")
	m.violations = m.newCounter("violations_total", "Violations of run time invariants by name.", "invariant")
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: Namespace, Name: "latency_seconds", Help: "Latency of requests by kind, each counted once.",
		Buckets: buckets(m.baseObjective),
	}, []string{"kind"})
	m.coverage = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: Namespace, Name: "coverage_ratio", Help: "Share of parts answered, per query.",
		Buckets: []float64{0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 1},
	})
	m.controlLoop = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: Namespace, Name: "control_loop_seconds", Help: "Time of one pass of the control loop.",
		Buckets: prometheus.ExponentialBuckets(10e-6, 4, 9),
	})
	m.registry.MustRegister(m.latency, m.coverage, m.controlLoop)
	return m
}

// Handler serves the metrics in the exposition format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// Gatherer returns the registry for readers in the same process.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// Shed counts an attempt at a service that was refused for lack of capacity.
func (m *Metrics) Shed(service kctport.ServiceName) {
	m.sheds.WithLabelValues(string(service)).Inc()
}

// Violation counts a violated invariant; it has the signature of the report function of core/kctcheck.
func (m *Metrics) Violation(invariant, _ string) {
	m.violations.WithLabelValues(invariant).Inc()
}

// ObserveControlLoop records the duration of one pass of the control loop.
func (m *Metrics) ObserveControlLoop(duration time.Duration) {
	m.controlLoop.Observe(duration.Seconds())
}

func (m *Metrics) newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

// buckets returns bucket bounds in seconds, denser near the objective, where the burn report reads them.
func buckets(objective time.Duration) []float64 {
	factors := []float64{0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.65, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 5, 10}
	for i := range factors {
		factors[i] *= objective.Seconds()
	}
	return factors
}
