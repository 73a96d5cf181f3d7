package kctlog

import (
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/core/kctforward"
)

// DecisionLogger logs what the core decides; the zero value is ready.
type DecisionLogger struct{}

// LogChange logs a change of what the entry believes.
func (DecisionLogger) LogChange(what, key, detail string, version kctport.RulesVersion) {
	fields := []any{"key", key}
	if version > 0 {
		fields = append(fields, "version", uint64(version))
	}
	if detail != "" {
		fields = append(fields, "detail", oneLine(detail))
	}
	klog.InfoS(what, fields...)
}

// oneLine keeps joined errors on the line that they belong to.
func oneLine(text string) string {
	return strings.ReplaceAll(text, "\n", "; ")
}

// Answered logs one line for a request that was served plainly, and each decision about any other.
func (DecisionLogger) Answered(s *kctforward.Trace) {
	id := s.Message.ID
	for _, step := range s.Events {
		klog.InfoS(step.Kind, "request", id, "after", step.At.Sub(s.Start).Round(10*time.Microsecond),
			"service", step.Service, "endpoint", step.Endpoint, "detail", oneLine(step.Detail))
	}
	fields := []any{
		"request", id, "status", s.Reply.Status, "took", s.End.Sub(s.Start).Round(10 * time.Microsecond),
		"sends", s.Attempts, "hedges", s.Hedges, "retries", s.Retries,
	}
	if s.Route != nil {
		fields = append(fields, "route", s.Route.Name)
	}
	if s.Fleet.Rules != nil {
		fields = append(fields, "rules", uint64(s.Fleet.Rules.Version))
	}
	if !s.Uneventful() {
		fields = append(fields, "missing", strconv.Itoa(s.Reply.Missing), "late", s.Late(), "left", s.CallerLeft, "reason", s.Reply.Reason,
			"wait", s.Message.Deadline.Sub(s.Start), "contact", s.Start.Sub(s.Fleet.LastContact).Round(time.Millisecond))
	}
	klog.InfoS("request answered", fields...)
}
