package kctfake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+kctwire.PathParts, e.serveParts)
	mux.HandleFunc("GET "+kctwire.PathStatus, e.serveStatus)
	mux.HandleFunc("PUT "+kctwire.PathFaults, e.serveFaults)
	mux.HandleFunc("POST "+kctwire.PathActions, e.serveActions)
	mux.HandleFunc("GET "+kctwire.PathCounts, e.serveCounts)
	return mux
}

// serveParts answers one part request, with the network delay on both ways.
func (e *Endpoint) serveParts(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		return
	}
	arrived := time.Now()
	if !pause(r.Context(), e.network()) {
		return
	}
	var p kctwire.PartRequest
	if err := json.Unmarshal(data, &p); err != nil {
		answer(w, http.StatusBadRequest, kctwire.Refusal{Code: kctwire.CodeInvalid, Ran: kctwire.RanNo, Message: err.Error()})
		return
	}
	e.disturb(r.Context(), p)
	status, reply := e.execute(r.Context(), p, arrived.Add(time.Duration(p.Deadline)))
	if reply == nil || !pause(r.Context(), e.network()) {
		panic(http.ErrAbortHandler)
	}
	e.send(w, r, status, reply)
}

// disturb crashes the endpoint or resets the connection when a switch asks for it before the work.
func (e *Endpoint) disturb(ctx context.Context, p kctwire.PartRequest) {
	f := e.Faults()
	if f.Crash != "" && bytes.Contains(p.Body, []byte(f.Crash)) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if e.chance(f.ResetBefore) {
		resetConn(ctx)
	}
}

// execute admits and runs the request; a nil reply means that the caller has gone.
func (e *Endpoint) execute(ctx context.Context, p kctwire.PartRequest, deadline time.Time) (int, any) {
	if status, refusal := e.refuse(p); refusal != nil {
		return status, refusal
	}
	refusal := kctwire.Refusal{Request: p.Request, Ran: kctwire.RanNo}
	switch e.gate.enter(ctx, deadline) {
	case full:
		e.count(func(c *kctwire.EndpointCounts) { c.Shed++ })
		refusal.Code = kctwire.CodeShed
		return http.StatusTooManyRequests, refusal
	case expired:
		e.count(func(c *kctwire.EndpointCounts) { c.Expired++ })
		refusal.Code = kctwire.CodeDeadline
		return http.StatusGatewayTimeout, refusal
	case gone:
		e.count(func(c *kctwire.EndpointCounts) { c.Cancelled++ })
		return 0, nil
	}
	ok, completed := e.work(ctx, p)
	e.gate.leave(completed)
	if !completed {
		e.count(func(c *kctwire.EndpointCounts) { c.Cancelled++ })
		return 0, nil
	}
	e.count(func(c *kctwire.EndpointCounts) { c.Done++ })
	if !ok {
		refusal.Code, refusal.Ran = kctwire.CodeFailed, kctwire.RanUnknown
		return http.StatusInternalServerError, refusal
	}
	return http.StatusOK, e.reply(p)
}

// refuse checks what can be checked before a slot is taken.
func (e *Endpoint) refuse(p kctwire.PartRequest) (int, any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	refusal := kctwire.Refusal{Request: p.Request, Ran: kctwire.RanNo}
	switch {
	case p.Service != e.settings.service || p.Shards <= 0:
		refusal.Code = kctwire.CodeInvalid
		return http.StatusBadRequest, refusal
	case e.faults.Draining:
		refusal.Code = kctwire.CodeDraining
		e.counts.Refused++
		return http.StatusServiceUnavailable, refusal
	case !e.holds(p):
		refusal.Code, refusal.Holdings = kctwire.CodeSnapshot, e.holdings
		e.counts.Refused++
		return http.StatusConflict, refusal
	}
	return 0, nil
}

// work takes the service time; it reports whether the request succeeded, and whether the caller stayed.
func (e *Endpoint) work(ctx context.Context, p kctwire.PartRequest) (bool, bool) {
	running, cold := e.gate.load()
	e.mu.Lock()
	e.counts.Ran++
	if p.Key != "" {
		e.runs[p.Key]++
	}
	f, s := e.faults, e.settings
	d := s.base + time.Duration(e.random.ExpFloat64()*float64(s.tail))
	bad := badShows(f.BadVersion, e.since, running, p.Route)
	failed := bad && e.random.Float64() < f.BadVersion.FailureShare
	e.mu.Unlock()
	factor := max(f.ServiceTimeFactor, 1)
	if cold {
		factor *= coldFactor
	}
	if bad {
		factor *= max(f.BadVersion.Slow, 1)
	}
	return !failed, pause(ctx, time.Duration(float64(d)*factor))
}

// reply builds the true reply.
func (*Endpoint) reply(p kctwire.PartRequest) *kctwire.PartReply {
	r := &kctwire.PartReply{Request: p.Request, Service: p.Service, Shard: p.Shard, Shards: p.Shards, Snapshot: p.Snapshot}
	for _, i := range ExpectedItems(kctport.Part{Service: p.Service, Shard: p.Shard}, p.Shards, p.Snapshot, p.Body) {
		r.Items = append(r.Items, kctwire.Item(i))
	}
	r.Count = len(r.Items)
	r.Checksum = kctwire.Checksum(r)
	return r
}

func (e *Endpoint) count(add func(*kctwire.EndpointCounts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	add(&e.counts)
}

// chance draws with the probability.
func (e *Endpoint) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < probability
}
