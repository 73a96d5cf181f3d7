package kctmetric

import (
	"github.com/prometheus/client_golang/prometheus"

	"kingcupturn/core/kctquota"
)

const (
	refusedClients     = "clients_refused_total"
	refusedClientsHelp = "Clients that were refused and connections that were closed for others or for a timeout, by listener and reason."
	// maxScrapes bounds the scrapes that are answered at the same time, since each takes memory for all metrics; further ones get 503.
	maxScrapes = 4
)

// registerClients registers gauges of what clients hold.
func registerClients(registry *prometheus.Registry, usage func() kctquota.Usage) {
	gauge := func(name, help string, read func(kctquota.Usage) int) {
		opts := prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}
		registry.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return float64(read(usage())) }))
	}
	gauge("client_connections", "Open connections of clients.", func(u kctquota.Usage) int { return u.Connections })
	gauge("client_bytes", "Memory in bytes that requests and answers of clients hold beyond that of their connections.", func(u kctquota.Usage) int { return u.Bytes })
}

// ClientRefused counts a client that was refused, or whose connection was closed, at a listener.
func (m *Metrics) ClientRefused(listener string, reason kctquota.Reason) {
	m.clients.WithLabelValues(listener, string(reason)).Inc()
}

// RegisterClients registers gauges of what clients hold.
func (m *Metrics) RegisterClients(usage func() kctquota.Usage) { registerClients(m.registry, usage) }
