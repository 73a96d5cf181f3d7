package kctfake

import (
	"net/http"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// outageStatus is what the store answers during an outage.
const outageStatus = http.StatusServiceUnavailable

// handler serves the store's calls and the stand-in's own switches, which work during an outage.
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
	if decode(w, r, &reg) {
		p.Register(kctport.InstanceID(r.PathValue("id")), reg)
		answer(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) serveRemove(w http.ResponseWriter, r *http.Request) {
	p.Remove(kctport.InstanceID(r.PathValue("id")))
	answer(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := p.Faults()
	if decode(w, r, &f) {
		p.SetFaults(f)
		answer(w, http.StatusOK, f)
	}
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, p.CallCounts())
}
