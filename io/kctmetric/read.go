package kctmetric

import "github.com/prometheus/client_golang/prometheus"

// Counter names a counter that another package keeps and that is read when the metrics are collected.
type Counter int

// The counters read from other packages.
const (
	AttemptsFirst Counter = iota
	AttemptsRetry
	AttemptsHedge
	AttemptsCanary
	ControlBytesIn
	ControlBytesOut
	DroppedBatches
)

type series struct {
	name, help, label, value string
}

var counters = map[Counter]series{
	AttemptsFirst:   {"attempts_total", "Attempts at parts by kind; a canary also counts as first.", "kind", "first"},
	AttemptsRetry:   {"attempts_total", "Attempts at parts by kind; a canary also counts as first.", "kind", "retry"},
	AttemptsHedge:   {"attempts_total", "Attempts at parts by kind; a canary also counts as first.", "kind", "hedge"},
	AttemptsCanary:  {"attempts_total", "Attempts at parts by kind; a canary also counts as first.", "kind", "canary"},
	ControlBytesIn:  {"control_bytes_total", "Bytes of control messages by direction.", "direction", "in"},
	ControlBytesOut: {"control_bytes_total", "Bytes of control messages by direction.", "direction", "out"},
	DroppedBatches:  {"dropped_batches_total", "Batches of observations dropped because control was behind.", "", ""},
}

// RegisterCounter has a counter read by the function at each collection; each counter may be set once.
func (m *Metrics) RegisterCounter(counter Counter, read func() uint64) {
	s := counters[counter]
	opts := prometheus.CounterOpts{Namespace: Namespace, Name: s.name, Help: s.help}
	if s.label != "" {
		opts.ConstLabels = prometheus.Labels{s.label: s.value}
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(read()) }))
}
