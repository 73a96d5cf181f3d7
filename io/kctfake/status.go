package kctfake

import (
	"net/http"
	"time"

	"kingcupturn/io/kctwire"
)

// historyLimit bounds the past states kept for a lagging status.
const historyLimit = 4096

// dated is a status with the time at which it held.
type dated struct {
	at     time.Time
	status kctwire.Status
}

// status returns the reported state, after the switches that make it misleading.
func (e *Endpoint) status() kctwire.Status {
	running, _ := e.gate.load()
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults.Status
	s := kctwire.Status{
		Boot:        e.boot,
		Slots:       e.settings.slots,
		Connections: e.settings.connections,
		InFlight:    running,
		Draining:    e.faults.Draining,
		Holdings:    e.holdings,
	}
	if f.ReportIdle {
		s.InFlight = 0
	}
	if f.Slots > 0 {
		s.Slots = f.Slots
	}
	if f.Boot {
		s.Boot = e.first
	}
	if f.Lag <= 0 {
		return s
	}
	return e.delayed(s, time.Duration(f.Lag))
}

// delayed records the state and returns the one that held a lag ago; the caller holds the lock.
func (e *Endpoint) delayed(s kctwire.Status, lag time.Duration) kctwire.Status {
	now := time.Now()
	e.history = append(e.history, dated{at: now, status: s})
	for len(e.history) > 1 && (len(e.history) > historyLimit || !e.history[1].at.After(now.Add(-lag))) {
		e.history = e.history[1:]
	}
	return e.history[0].status
}

func (e *Endpoint) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !pause(r.Context(), e.network()) {
		return
	}
	s := e.status()
	if pause(r.Context(), e.network()) {
		answer(w, http.StatusOK, s)
	}
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := e.Faults()
	if decode(w, r, &f) {
		e.SetFaults(f)
		answer(w, http.StatusOK, f)
	}
}

// serveActions answers before it acts, since the actions may end its own connection.
func (e *Endpoint) serveActions(w http.ResponseWriter, r *http.Request) {
	var a kctwire.EndpointAction
	if !decode(w, r, &a) {
		return
	}
	if a.Holdings != nil {
		e.hold(a.Holdings)
	}
	if a.MakeCold > 0 {
		e.MakeCold(a.MakeCold)
	}
	answer(w, http.StatusOK, a)
	_ = http.NewResponseController(w).Flush()
	if a.BlackholeConnections {
		e.BlackholeConnections()
	}
	if a.Crash {
		e.Crash()
	}
}

func (e *Endpoint) serveCounts(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, e.Counts())
}
