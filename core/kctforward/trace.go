package kctforward

import (
	"time"

	kctport "kingcupturn"
)

// Event is a failed attempt or a missing shard of a request.
type Event struct {
	At time.Time
	// Kind is one of a fixed set of texts, such as "attempt failed"; metrics use it as a label.
	Kind     string
	Service  kctport.ServiceName
	Endpoint kctport.InstanceID
	Detail   string
}

// Trace is the record of how one request was handled, for logs and metrics.
type Trace struct {
	Message *kctport.Message
	Fleet   *kctport.Fleet
	// Route is nil for a request without one.
	Route  *kctport.Route
	Reply  *kctport.Reply
	Start  time.Time
	End    time.Time
	Events []Event
	// Attempts, Hedges and Retries count attempts.
	Attempts int
	Hedges   int
	Retries  int
	// CallerLeft is set when the caller disconnected before the answer.
	CallerLeft bool
}

func (t *Trace) add(at time.Time, kind string, service kctport.ServiceName, endpoint kctport.InstanceID, detail string) {
	t.Events = append(t.Events, Event{at, kind, service, endpoint, detail})
}

// Uneventful reports whether the answer was successful, complete, in time and without a failed attempt.
func (t *Trace) Uneventful() bool {
	return len(t.Events) == 0 && t.Reply.Status < 400 && t.Reply.Missing == 0 && !t.CallerLeft && !t.Late()
}

// Late reports whether the answer took longer than the route's objective.
func (t *Trace) Late() bool {
	return t.Route != nil && t.End.Sub(t.Start) > t.Route.Objective
}
