package kctfake

import (
	"net/http"
	"time"

	"kingcupturn/io/kctwire"
)

// historyLimit is the maximum number of past statuses kept for StatusFaults.Lag.
const historyLimit = 4096

// pastStatus is a status and the time at which it was current.
type pastStatus struct {
	at     time.Time
	status kctwire.Status
}

// status returns the reported status, with the status faults applied.
func (e *Endpoint) status() kctwire.Status {
	running, _ := e.gate.load()
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults.Status
	s := kctwire.Status{
		Boot:        e.bootID,
		Slots:       e.settings.slots,
		Connections: e.settings.maxConnections,
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
		s.Boot = e.firstBootID
	}
	if f.Lag <= 0 {
		return s
	}
	return e.delayed(s, time.Duration(f.Lag))
}

// delayed records the status and returns the one that was current a lag ago; e.mu must be held.
func (e *Endpoint) delayed(s kctwire.Status, lag time.Duration) kctwire.Status {
	now := time.Now()
	e.history = append(e.history, pastStatus{at: now, status: s})
	for len(e.history) > 1 && (len(e.history) > historyLimit || !e.history[1].at.After(now.Add(-lag))) {
		e.history = e.history[1:]
	}
	return e.history[0].status
}

func (e *Endpoint) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !pause(r.Context(), e.networkDelay()) {
		return
	}
	s := e.status()
	s.Request = r.URL.Query().Get(kctwire.QueryRequest)
	if pause(r.Context(), e.networkDelay()) {
		writeJSON(w, http.StatusOK, s)
	}
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := e.Faults()
	if readJSON(w, r, &f) {
		e.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	}
}

// serveActions answers before it blackholes connections or crashes, since both affect the connection of the request.
func (e *Endpoint) serveActions(w http.ResponseWriter, r *http.Request) {
	var a kctwire.EndpointAction
	if !readJSON(w, r, &a) {
		return
	}
	if a.Holdings != nil {
		e.setHoldings(a.Holdings)
	}
	if a.MakeCold > 0 {
		e.MakeCold(a.MakeCold)
	}
	writeJSON(w, http.StatusOK, a)
	_ = http.NewResponseController(w).Flush()
	if a.BlackholeConnections {
		e.BlackholeConnections()
	}
	if a.Crash {
		e.Crash()
	}
}

func (e *Endpoint) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Counts())
}
