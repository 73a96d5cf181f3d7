package kctforward

import (
	"time"

	kctport "kingcupturn"
)

// Step is one decision about a request.
type Step struct {
	At      time.Time
	What    string
	Service kctport.ServiceName
	Server  kctport.InstanceID
	Detail  string
}

// Story is everything that was decided about one request, for logs and metrics.
type Story struct {
	Message *kctport.Message
	Fleet   *kctport.Fleet
	// Route is nil for a request without one.
	Route *kctport.Route
	Reply *kctport.Reply
	Start time.Time
	End   time.Time
	Steps []Step
	// Sends, Hedges and Retries count attempts.
	Sends   int
	Hedges  int
	Retries int
	// Left is set when the caller left before the answer.
	Left bool
}

func (s *Story) add(at time.Time, what string, service kctport.ServiceName, server kctport.InstanceID, detail string) {
	s.Steps = append(s.Steps, Step{at, what, service, server, detail})
}

// Plain reports an answer that needs no explanation: complete, in time and without a failed attempt.
func (s *Story) Plain() bool {
	return len(s.Steps) == 0 && s.Reply.Status < 400 && s.Reply.Missing == 0 && !s.Left && !s.Late()
}

// Late reports an answer after the route's objective.
func (s *Story) Late() bool {
	return s.Route != nil && s.End.Sub(s.Start) > s.Route.Objective
}
