package kctroute

import (
	"errors"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// consecutiveFailures failures in a row eject an endpoint; on probation probationFailures do.
	consecutiveFailures = 3
	probationFailures   = 1
	// An endpoint is also ejected when failingShare of at least minSamples recent attempts failed, were given up late or were
	// shed.
	failingShare = 0.5
	minSamples   = 8
	// maxMedianSheds is the median share of sheds among a service's endpoints from which none is ejected for its sheds, since
	// the service is overloaded and needs every endpoint.
	maxMedianSheds = 0.2
	// sampleWeight is the weight of one attempt in the moving averages.
	sampleWeight = 0.15
	// An endpoint is an outlier above slowFactor times the median latency of its service plus slowSlack.
	slowFactor = 3
	slowSlack  = 2 * time.Millisecond
	// An attempt given up after more than lateFactor times the median latency counts as late. At a healthy endpoint these
	// are the attempts that are hedged, about 5%.
	lateFactor = 1.5
	// firstEjectionTime doubles with each further ejection, up to maxEjectionTime.
	firstEjectionTime = time.Second
	maxEjectionTime   = time.Minute
	// requiredSuccesses successes end a probation or a cold period.
	requiredSuccesses = 20
	// coldPeriod is the time after which an endpoint without traffic is no longer cold; the admission gate warms up by its
	// own replies.
	coldPeriod = 5 * time.Second
	// ejectionResetAfter is the time since the end of an ejection after which earlier ejections no longer lengthen the next.
	ejectionResetAfter = 2 * time.Minute
	// downAfterRefusals refused connections in a row show that the process has ended.
	downAfterRefusals = 2
)

// endpointState holds the status, statistics and ejections of one endpoint.
type endpointState struct {
	id        kctport.InstanceID
	service   kctport.ServiceName
	status    kctport.Status
	hasStatus bool // a status was received
	refusals  int  // status calls in a row that were refused or reset
	lastErr   error

	failures     int     // in a row
	failureRate  float64 // EWMA of failures, 0 to 1
	lateRate     float64 // EWMA of attempts given up late, 0 to 1
	sheds        float64 // EWMA of sheds, 0 to 1
	attempts     int     // number of samples of sheds
	latency      float64 // EWMA, in nanoseconds
	samples      int     // since the last ejection or boot
	timedSamples int     // samples with a latency

	ejectedUntil time.Time
	ejections    int
	ejected      bool
	unusable     bool // another owner reported it as ejected or down
	probation    bool
	successes    int
	coldSince    time.Time // start of the cold period, zero when warm
	reason       string
}

// Health derives the health of endpoints from observations and status reports; only the control goroutine uses it.
type Health struct {
	states   map[kctport.InstanceID]*endpointState
	services map[kctport.ServiceName][]*endpointState
}

// NewHealth returns a Health without endpoints.
func NewHealth() *Health {
	return &Health{states: make(map[kctport.InstanceID]*endpointState), services: make(map[kctport.ServiceName][]*endpointState)}
}

// Track sets the endpoints to observe; a new one starts cold, and the state of one that is left out is deleted.
func (h *Health) Track(now time.Time, endpoints []kctport.Endpoint) {
	states := make(map[kctport.InstanceID]*endpointState, len(endpoints))
	services := make(map[kctport.ServiceName][]*endpointState)
	for _, e := range endpoints {
		r := h.states[e.ID]
		if r == nil {
			r = &endpointState{id: e.ID, service: e.Service, coldSince: now, reason: "new"}
		}
		states[e.ID] = r
		services[e.Service] = append(services[e.Service], r)
	}
	h.states, h.services = states, services
}

// Observe records the outcomes of a batch of attempts and ejects outliers.
func (h *Health) Observe(now time.Time, batch []kctport.Observation) {
	medians := make(map[kctport.ServiceName]time.Duration)
	for _, o := range batch {
		r := h.states[o.Endpoint]
		if r == nil {
			continue
		}
		m, ok := medians[r.service]
		if !ok {
			m = median(h.services[r.service])
			medians[r.service] = m
		}
		r.observe(o, m)
	}
	for name := range medians {
		m, s := median(h.services[name]), medianSheds(h.services[name])
		for _, r := range h.services[name] {
			if reason := r.ejectionReason(m, s); reason != "" && !r.ejected {
				h.eject(now, r, reason)
			}
		}
	}
}

// Status records the result of a status call.
func (h *Health) Status(now time.Time, id kctport.InstanceID, s kctport.Status, err error) {
	r := h.states[id]
	if r == nil {
		return
	}
	if err != nil {
		r.lastErr = err
		// A refused or reset connection shows that the process has ended; a timeout is not counted, since it may be
		// due to load or the network.
		if errors.Is(err, kctport.ErrUnavailable) || errors.Is(err, kctport.ErrReset) {
			r.refusals++
		}
		return
	}
	if r.hasStatus && s.BootID != r.status.BootID || r.refusals >= downAfterRefusals {
		r.restart(now)
	}
	r.refusals = 0
	r.status, r.hasStatus = s, true
}

// Report records the status and health that another owner reports of an endpoint. An endpoint that it reports as ejected or
// down counts in the ejection bounds of the shard's other replicas.
func (h *Health) Report(now time.Time, id kctport.InstanceID, s kctport.Status, health kctport.Health) {
	h.Status(now, id, s, nil)
	if r := h.states[id]; r != nil {
		r.unusable = health == kctport.HealthEjected || health == kctport.HealthDown
	}
}

// restart resets the statistics of an earlier process. The count of ejections stays, so that the ejection times of a process
// that crashes repeatedly keep growing.
func (r *endpointState) restart(now time.Time) {
	r.failures, r.failureRate, r.lateRate, r.latency, r.samples, r.timedSamples = 0, 0, 0, 0, 0, 0
	r.sheds, r.attempts = 0, 0
	r.coldSince, r.successes, r.reason = now, 0, "restarted"
}

// Health returns the health of an endpoint and the reason shown to operators; it ends ejections whose time is over.
func (h *Health) Health(now time.Time, id kctport.InstanceID) (kctport.Health, string) {
	r := h.states[id]
	if r == nil {
		return kctport.HealthDown, "unknown endpoint"
	}
	r.unusable = false
	if r.refusals >= downAfterRefusals {
		return kctport.HealthDown, fmt.Sprintf("%d status calls failed: %v", r.refusals, r.lastErr)
	}
	if r.ejected && now.Before(r.ejectedUntil) {
		return kctport.HealthEjected, r.reason
	}
	if r.ejected {
		r.ejected, r.probation, r.successes, r.coldSince = false, true, 0, now
	}
	if !r.probation && r.ejections > 0 && now.Sub(r.ejectedUntil) > ejectionResetAfter {
		r.ejections = 0
	}
	if r.coldSince.IsZero() || r.successes >= requiredSuccesses || now.Sub(r.coldSince) >= coldPeriod {
		r.coldSince = time.Time{}
		return kctport.HealthOK, ""
	}
	if r.probation {
		return kctport.HealthCold, "on probation: " + r.reason
	}
	return kctport.HealthCold, r.reason
}

// eject ejects an endpoint unless that would leave a shard with too few replicas.
func (h *Health) eject(now time.Time, r *endpointState, cause string) {
	if r.ejected || !h.mayEject(now, r) {
		return
	}
	if r.ejections > 0 && now.Sub(r.ejectedUntil) > ejectionResetAfter {
		r.ejections = 0
	}
	d := min(firstEjectionTime<<min(r.ejections, 10), maxEjectionTime)
	r.ejected, r.probation, r.ejectedUntil, r.reason = true, false, now.Add(d), cause
	r.ejections++
	r.failures, r.failureRate, r.lateRate, r.latency, r.samples, r.timedSamples = 0, 0, 0, 0, 0, 0
	r.sheds, r.attempts = 0, 0
}

// mayEject reports whether an ejection leaves every shard of the endpoint with enough replicas: at most a third of the
// replicas of a shard are ejected, and at least one other replica stays.
func (h *Health) mayEject(now time.Time, r *endpointState) bool {
	for _, holding := range r.status.Holdings {
		total, unusable, remaining := 0, 0, 0
		for _, o := range h.services[r.service] {
			if !slices.Contains(o.status.Holdings, holding) {
				continue
			}
			total++
			switch {
			case o == r:
			case o.unusable || o.ejected && now.Before(o.ejectedUntil):
				unusable++
			case o.refusals < downAfterRefusals:
				remaining++
			}
		}
		if (unusable+1)*3 > total || remaining == 0 {
			return false
		}
	}
	return true
}
