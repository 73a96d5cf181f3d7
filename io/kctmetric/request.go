package kctmetric

import (
	"errors"
	"time"

	kctport "kingcupturn"
)

// Kind is the kind of a request, by which service-level objectives are counted.
type Kind string

// The kinds of request.
const (
	KindUrgent    Kind = "urgent"
	KindOrdinary  Kind = "ordinary"
	KindExecution Kind = "execution"
)

// Outcome is the outcome of a request for its caller.
type Outcome string

// The outcomes of a request. The label value of OutcomeComplete is whole.
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
	// Coverage is the coverage of a query's answer, zero for executions.
	Coverage kctport.Coverage
	Latency  time.Duration
	// Deadline is the time that the caller allowed, from the request's arrival; a complete answer within it is on time.
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

// Outcome classifies the request; one with an error is OutcomeNotRun only if its error wraps ErrNotRun.
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

// Record counts a finished request under the policies of the view, which may be nil; the base objective applies to a service without one.
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
	return kctport.Policy{Objective: m.baseObjective}
}
