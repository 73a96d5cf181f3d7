package kctforward

import (
	"time"

	kctport "kingcupturn"
)

// Event is one decision about a request.
type Event struct {
	At      time.Time
	Kind    string
	Service kctport.ServiceName
	Endpoint  kctport.InstanceID
	Detail  string
}

// Trace is everything that was decided about one request, for logs and metrics.
type Trace struct {
	Message *kctport.Message
	Fleet   *kctport.Fleet
	// Route is nil for a request without one.
	Route *kctport.Route
	Reply *kctport.Reply
	Start time.Time
	End   time.Time
	Events []Event
	// Attempts, Hedges and Retries count attempts.
	Attempts   int
	Hedges  int
	Retries int
	// CallerLeft is set when the caller left before the answer.
	CallerLeft bool
}

func (s *Trace) add(at time.Time, kind string, service kctport.ServiceName, endpoint kctport.InstanceID, detail string) {
	s.Events = append(s.Events, Event{at, kind, service, endpoint, detail})
}

// Uneventful reports an answer that needs no explanation: complete, in time and without a failed attempt.
func (s *Trace) Uneventful() bool {
	return len(s.Events) == 0 && s.Reply.Status < 400 && s.Reply.Missing == 0 && !s.CallerLeft && !s.Late()
}

// Late reports an answer after the route's objective.
func (s *Trace) Late() bool {
	return s.Route != nil && s.End.Sub(s.Start) > s.Route.Objective
}
