package kctfake

import (
	"net/http"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// outageStatus is the status code of every reply of the store during an outage.
const outageStatus = http.StatusServiceUnavailable

// handler serves the calls of the store, and those that control the stand-in, which an outage does not affect.
func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p.store)
	mux.HandleFunc("PUT "+kctwire.PathInstances+"/{id}", p.serveRegister)
	mux.HandleFunc("DELETE "+kctwire.PathInstances+"/{id}", p.serveRemove)
	mux.HandleFunc("PUT "+kctwire.PathFaults, p.serveFaults)
	mux.HandleFunc("GET "+kctwire.PathCalls, p.serveCalls)
	return mux
}

func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request) {
	var reg kctwire.Registration
	if readJSON(w, r, &reg) {
		p.Register(kctport.InstanceID(r.PathValue("id")), reg)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) serveRemove(w http.ResponseWriter, r *http.Request) {
	p.Remove(kctport.InstanceID(r.PathValue("id")))
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := p.Faults()
	if readJSON(w, r, &f) {
		p.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	}
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.CallCounts())
}
