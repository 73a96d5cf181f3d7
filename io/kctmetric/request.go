package kctmetric

import (
	"errors"
	"time"

	kctport "kingcupturn"
)

// Kind groups requests for the service-level objective.
type Kind string

// The kinds of request.
const (
	KindUrgent    Kind = "urgent"
	KindOrdinary  Kind = "ordinary"
	KindExecution Kind = "execution"
)

// Outcome is what a caller got.
type Outcome string

// The outcomes of a request.
const (
	OutcomeComplete Outcome = "whole"
	OutcomePartial  Outcome = "partial"
	OutcomeNotRun   Outcome = "notrun"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeFailed   Outcome = "failed"
)

// Request is one finished request of a caller.
type Request struct {
	Services []kctport.ServiceName
	Route    string
	Kind     Kind
	// Coverage is that of the answer; executions leave it zero.
	Coverage kctport.Coverage
	Latency  time.Duration
	// Deadline is the time the caller allowed; a whole answer within it is on time.
	Deadline time.Duration
	Err      error
}

// KindOf returns the kind of a query.
func KindOf(urgent bool) Kind {
	if urgent {
		return KindUrgent
	}
	return KindOrdinary
}

// Outcome classifies the request; anything that is not provably not run counts as unknown or failed.
func (r Request) Outcome() Outcome {
	switch {
	case r.Err == nil && (r.Kind == KindExecution || r.Coverage.Complete()):
		return OutcomeComplete
	case r.Err == nil:
		return OutcomePartial
	case errors.Is(r.Err, kctport.ErrUnknown):
		return OutcomeUnknown
	case errors.Is(r.Err, kctport.ErrNotRun):
		return OutcomeNotRun
	default:
		return OutcomeFailed
	}
}

// Record counts a finished request under the policies of the view, which may be nil.
func (m *Metrics) Record(view *kctport.View, r Request) {
	outcome := r.Outcome()
	kind := string(r.Kind)
	m.answers.WithLabelValues(kind, string(outcome)).Inc()
	m.latency.WithLabelValues(kind).Observe(r.Latency.Seconds())
	for _, s := range r.Services {
		m.requests.WithLabelValues(string(s), r.Route, kind, string(outcome)).Inc()
		result := "missed"
		if outcome == OutcomeComplete && r.Latency <= m.policy(view, s).Objective {
			result = "met"
		}
		m.objective.WithLabelValues(string(s), kind, result).Inc()
	}
	m.recordResult(r, outcome)
}

func (m *Metrics) recordResult(r Request, outcome Outcome) {
	if r.Kind != KindExecution && r.Err == nil {
		c := r.Coverage
		m.parts.WithLabelValues("answered").Add(float64(c.Answered))
		m.parts.WithLabelValues("missing").Add(float64(c.Total - c.Answered))
		if c.Total > 0 {
			m.coverage.Observe(float64(c.Answered) / float64(c.Total))
		}
	}
	if r.Kind == KindUrgent {
		result := "late"
		if outcome == OutcomeComplete && r.Latency <= r.Deadline {
			result = "ontime"
		}
		m.urgent.WithLabelValues(result).Inc()
	}
	switch outcome {
	case OutcomeNotRun:
		m.refusals.WithLabelValues("no").Inc()
	case OutcomeUnknown, OutcomeFailed:
		m.refusals.WithLabelValues("unknown").Inc()
	}
}

func (m *Metrics) policy(view *kctport.View, s kctport.ServiceName) kctport.Policy {
	if view != nil {
		if v, ok := view.Services[s]; ok && v.Policy.Objective > 0 {
			return v.Policy
		}
	}
	return kctport.Policy{Objective: m.center}
}
