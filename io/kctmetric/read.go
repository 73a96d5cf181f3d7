package kctmetric

import "github.com/prometheus/client_golang/prometheus"

// Counter identifies a counter that another package maintains and that is read at each collection.
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

// series is a metric with one constant label, or none when label is empty.
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

// RegisterCounter registers the function that returns a counter's value at each collection; registering a counter twice panics.
func (m *Metrics) RegisterCounter(counter Counter, read func() uint64) {
	s := counters[counter]
	opts := prometheus.CounterOpts{Namespace: Namespace, Name: s.name, Help: s.help}
	if s.label != "" {
		opts.ConstLabels = prometheus.Labels{s.label: s.value}
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(read()) }))
}
