package kctmetric

import (
	kctport "kingcupturn"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterView registers gauges read from the current view at each collection, which takes no time of the control loop.
func (m *Metrics) RegisterView(views kctport.Views) {
	gauge := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(Namespace, "", name), help, labels, nil)
	}
	m.registry.MustRegister(&viewCollector{
		views:          views,
		revision:       gauge("config_revision", "Revision of the configuration in force."),
		members:        gauge("members", "Live entries known, this one included."),
		endpoints:      gauge("endpoints", "Endpoints by health; unusable ones by themselves.", "health"),
		isolated:       gauge("isolated", "1 while the entry hears neither the store nor half of its members."),
		objective:      gauge("objective_seconds", "Latency objective of a service.", "service"),
		objectiveShare: gauge("objective_share", "Share of requests that must meet the objective.", "service"),
	})
}

type viewCollector struct {
	views                                                             kctport.Views
	revision, members, endpoints, isolated, objective, objectiveShare *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *viewCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.revision, c.members, c.endpoints, c.isolated, c.objective, c.objectiveShare} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *viewCollector) Collect(out chan<- prometheus.Metric) {
	v := c.views.View()
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	gauge(c.revision, float64(v.Revision))
	alive := 0
	for _, m := range v.Members {
		if m.Alive() {
			alive++
		}
	}
	gauge(c.members, float64(alive))
	for health, n := range healthCounts(v) {
		gauge(c.endpoints, float64(n), health)
	}
	isolated := 0.0
	if v.Isolated {
		isolated = 1
	}
	gauge(c.isolated, isolated)
	for name, s := range v.Services {
		gauge(c.objective, s.Policy.Objective.Seconds(), string(name))
		gauge(c.objectiveShare, s.Policy.ObjectiveShare, string(name))
	}
}

// healthCounts counts replicas by health; those that are ok or cold but not usable count as unusable.
func healthCounts(v *kctport.View) map[string]int {
	names := map[kctport.Health]string{
		kctport.HealthOK: "ok", kctport.HealthCold: "cold",
		kctport.HealthEjected: "ejected", kctport.HealthDown: "down",
	}
	counts := map[string]int{"ok": 0, "cold": 0, "ejected": 0, "down": 0, "unusable": 0}
	for r := range v.Replicas() {
		if !r.Usable && (r.Health == kctport.HealthOK || r.Health == kctport.HealthCold) {
			counts["unusable"]++
			continue
		}
		counts[names[r.Health]]++
	}
	return counts
}
