package kctlog

import (
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/core/kctforward"
	"kingcupturn/core/kctsuspect"
)

// DecisionLogger logs state changes and answered requests; the zero value is ready to use.
type DecisionLogger struct{}

// LogChange logs a change of a record, the rules in force, the members or the reachability of the store; a version of 0 and an empty detail are left out.
func (DecisionLogger) LogChange(message, key, detail string, version kctport.RulesVersion) {
	fields := []any{"key", key}
	if version > 0 {
		fields = append(fields, "version", uint64(version))
	}
	if detail != "" {
		fields = append(fields, "detail", oneLine(detail))
	}
	klog.InfoS(message, fields...)
}

// LogCrash logs an endpoint that crashed and the requests that were in flight, whose crashes are those one after the other.
func (DecisionLogger) LogCrash(c kctsuspect.Crash) {
	for _, s := range c.Suspicions {
		klog.InfoS("endpoint crashed with a request", "endpoint", c.Endpoint.ID, "service", c.Endpoint.Service, "fingerprint", strconv.FormatUint(uint64(s.Fingerprint), 16),
			"crashes", s.Crashes, "inFlight", s.InFlight.Round(10*time.Microsecond))
	}
}

// LogVerdict logs that a request is refused from now on since it crashes endpoints, or no longer.
func (DecisionLogger) LogVerdict(v kctsuspect.Verdict) {
	message := "request refused since it crashes endpoints"
	if v.Refused == 0 {
		message = "request no longer refused"
	}
	klog.InfoS(message, "fingerprint", strconv.FormatUint(uint64(v.Fingerprint), 16), "for", v.Refused.Round(time.Millisecond), "crashes", v.Crashes,
		"evidence", strconv.FormatFloat(v.Evidence, 'f', 1, 64))
}

// oneLine joins the lines of a text, such as those of joined errors, into one.
func oneLine(text string) string {
	return strings.ReplaceAll(text, "\n", "; ")
}

// Answered logs one line for an uneventful request; for any other it logs a line for each event and more fields.
func (DecisionLogger) Answered(t *kctforward.Trace) {
	id := t.Message.ID
	for _, event := range t.Events {
		klog.InfoS(event.Kind, "request", id, "after", event.At.Sub(t.Start).Round(10*time.Microsecond),
			"service", event.Service, "endpoint", event.Endpoint, "detail", oneLine(event.Detail))
	}
	fields := []any{
		"request", id, "status", t.Reply.Status, "took", t.End.Sub(t.Start).Round(10 * time.Microsecond),
		"sends", t.Attempts, "hedges", t.Hedges, "retries", t.Retries,
	}
	if t.Route != nil {
		fields = append(fields, "route", t.Route.Name)
	}
	if t.Fleet.Rules != nil {
		fields = append(fields, "rules", uint64(t.Fleet.Rules.Version))
	}
	if !t.Uneventful() {
		fields = append(fields, "missing", strconv.Itoa(t.Reply.Missing), "late", t.Late(), "left", t.CallerLeft, "reason", t.Reply.Reason,
			"wait", t.Message.Deadline.Sub(t.Start), "contact", t.Start.Sub(t.Fleet.LastContact).Round(time.Millisecond))
	}
	klog.InfoS("request answered", fields...)
}
