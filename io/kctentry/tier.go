package kctentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/core/kctquery"
	"kingcupturn/core/kctroute"
	"kingcupturn/io/kctmetric"
)

// Addresses returns the caller addresses of live entries, those of the caller's zone first and without zones taken out of service, and how
// long the list may be cached.
func (e *Entry) Addresses(zone kctport.Zone) ([]netip.AddrPort, time.Duration) {
	view := e.control.View()
	if zone == "" {
		zone = e.self.Zone
	}
	var members []kctport.Member
	for _, m := range view.Members {
		// A member without an incarnation comes only from the instance list or the seeds, which may contain stopped entries.
		if m.Incarnation == 0 {
			continue
		}
		share, listed := view.ZoneShares[m.Zone]
		if m.Alive() && m.Caller.IsValid() && (share > 0 || !listed) && (m.ID != e.self.ID || !view.Isolated && !view.Draining) {
			members = append(members, m)
		}
	}
	// A random order within a zone spreads callers that use the first address; there is no load balancer in front of the entries.
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b kctport.Member) int { return zoneDistance(a, zone) - zoneDistance(b, zone) })
	list := make([]netip.AddrPort, 0, len(members))
	for _, m := range members[:min(len(members), maxAddresses)] {
		list = append(list, m.Caller)
	}
	return list, e.settings.Lifetime
}

// maxAddresses limits the length of a caller's address list; it leaves enough addresses when several entries fail together.
const maxAddresses = 16

func zoneDistance(m kctport.Member, zone kctport.Zone) int {
	if m.Zone == zone {
		return 0
	}
	return 1
}

// Query runs a query and records its outcome in the metrics.
func (e *Entry) Query(ctx context.Context, query kctport.Query) (kctport.Answer, error) {
	start := e.timer.Now()
	var answer kctport.Answer
	err := e.suspects.Check(kctquery.Fingerprint(query.Services, query.Route, query.Body))
	if err == nil {
		answer, err = e.engine.Query(ctx, query)
	}
	e.metrics.Record(e.control.View(), kctmetric.Request{
		Services: query.Services, Route: query.Route, Kind: kctmetric.KindOf(query.Urgent), Coverage: answer.Coverage,
		Latency: e.timer.Now().Sub(start), Deadline: query.Deadline.Sub(start), Err: err,
	})
	return answer, err
}

// Keys issues idempotency keys and returns how long they are valid.
func (e *Entry) Keys(count int) ([]string, time.Duration) {
	return e.keys.Issue(count)
}

// Execute runs a non-idempotent request here if this incarnation issued its key, and forwards it to the issuer otherwise.
func (e *Entry) Execute(ctx context.Context, execution kctport.Execution) (kctport.Result, error) {
	start := e.timer.Now()
	result, err := e.execute(ctx, execution)
	e.metrics.Record(e.control.View(), kctmetric.Request{
		Services: []kctport.ServiceName{execution.Service}, Route: execution.Route, Kind: kctmetric.KindExecution,
		Latency: e.timer.Now().Sub(start), Deadline: execution.Deadline.Sub(start), Err: err,
	})
	return result, err
}

func (e *Entry) execute(ctx context.Context, execution kctport.Execution) (kctport.Result, error) {
	id, incarnation, err := e.keys.Parse(execution.Key)
	if err != nil {
		return kctport.Result{}, err
	}
	if id == e.self.ID && incarnation == e.self.Incarnation {
		return e.keys.Run(ctx, execution, e.engine.Execute)
	}
	issuer, ok := e.control.View().Members[id]
	// A member from the instance list has no incarnation yet; the issuer itself checks the key.
	if !ok || issuer.Incarnation != incarnation && issuer.Incarnation != 0 {
		return kctport.Result{}, eris.Wrapf(kctport.ErrUnknown, "the issuer %s of the key is gone", id)
	}
	result, err := e.mesh.Forward(ctx, issuer, execution)
	return result, forwardError(err)
}

// forwardError keeps ErrNotRun only when the issuer itself returned it, and wraps ErrUnknown otherwise: an attempt that didn't reach the issuer
// doesn't show whether an earlier one with the same key ran.
func forwardError(err error) error {
	if err == nil || errors.Is(err, kctport.ErrUnknown) {
		return err
	}
	if errors.Is(err, kctport.ErrUnavailable) || !errors.Is(err, kctport.ErrNotRun) {
		return eris.Wrap(errors.Join(kctport.ErrUnknown, err), "forward to the issuer of the key")
	}
	return err
}

// Change applies an operator's request.
func (e *Entry) Change(ctx context.Context, request kctport.ChangeRequest) kctport.ChangeResult {
	return e.control.Change(ctx, request)
}

// Config returns the configuration, with its complete history while the store is reachable.
func (e *Entry) Config(ctx context.Context) (kctport.Config, error) {
	return e.control.FullConfig(ctx)
}

// View returns the current view.
func (e *Entry) View() *kctport.View {
	return e.control.View()
}

// Ready returns nil while the entry accepts new callers; errors wrap ErrDraining, ErrIsolated, ErrNotRun or ErrNoSnapshot.
func (e *Entry) Ready() error {
	view := e.control.View()
	switch {
	case view.Draining:
		return kctport.ErrDraining
	case view.Isolated:
		return kctport.ErrIsolated
	case !view.Fresh(e.timer.Now()) || len(view.Services) == 0:
		return eris.Wrap(kctport.ErrNotRun, "no endpoints known yet")
	case !e.wasReady.Load() && !e.hasSnapshots(view):
		return eris.Wrap(kctport.ErrNoSnapshot, "the endpoints have not reported yet")
	}
	e.wasReady.Store(true)
	return nil
}

// WaitForEndpoints waits until a newly started entry is ready, draining or isolated, for at most half of the time to the context's deadline.
func (e *Entry) WaitForEndpoints(ctx context.Context) {
	if e.wasReady.Load() {
		return
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(e.timer.Now())/2)
	defer cancel()
	tick := e.timer.Subscribe(ctx, readyPollPeriod)
	for {
		err := e.Ready()
		if err == nil || errors.Is(err, kctport.ErrDraining) || errors.Is(err, kctport.ErrIsolated) {
			return
		}
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
	}
}

// readyPollPeriod is how often a request at a newly started entry checks whether the entry is ready.
const readyPollPeriod = 20 * time.Millisecond

// hasSnapshots reports whether every service has a usable snapshot, or maxStartWait has passed. Without the wait a new entry would refuse
// queries until the owners have reported; without its limit, one unreachable service would keep new entries from serving all others.
func (e *Entry) hasSnapshots(view *kctport.View) bool {
	if e.timer.Now().Sub(e.created) > maxStartWait {
		return true
	}
	for name := range view.Services {
		if _, _, err := kctroute.SelectSnapshot(view, []kctport.ServiceName{name}); err != nil {
			return false
		}
	}
	return true
}

// maxStartWait is the longest time that a new entry waits for endpoint reports of all services before it is ready.
const maxStartWait = 10 * time.Second
