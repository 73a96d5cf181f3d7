package kctroute

import (
	"errors"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// consecutive failures eject an endpoint; probationFailures do while it is on probation.
	consecutive       = 3
	probationFailures = 1
	// failingShare of the recent attempts, of at least minSamples, eject as well.
	failingShare = 0.5
	minSamples   = 8
	// shedFew is the most that the other endpoints of the service may shed when one is ejected for its sheds; with more
	// the service is overloaded and needs every endpoint.
	shedFew = 0.2
	// sampleWeight is the weight of one attempt in the moving averages.
	sampleWeight = 0.15
	// slowOutlier times the service's median latency, plus slowSlack, makes an endpoint an outlier.
	slowOutlier = 3
	slowSlack   = 2 * time.Millisecond
	// lateFactor times the median latency is when an attempt that was given up counts as late. Of the attempts at a
	// healthy endpoint about 5% are, which are those that get hedged.
	lateFactor = 1.5
	// firstEjection doubles with each ejection that follows, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = time.Minute
	// provenAfter successes end a probation or a cold period.
	provenAfter = 20
	// coldPeriod ends a cold mark without traffic; the gate warms by its own replies.
	coldPeriod = 5 * time.Second
	// ejectionMemory is the time in good health after which earlier ejections no longer lengthen the next.
	ejectionMemory = 2 * time.Minute
	// refusals of the connection in a row show that the process is gone.
	refusals = 2
)

// record is what is known of one endpoint.
type record struct {
	id       kctport.InstanceID
	service  kctport.ServiceName
	status   kctport.Status
	reported bool // a status was received
	refused  int  // status calls in a row that found no process
	lastErr  error

	failures int     // in a row
	failing  float64 // moving average of failures, 0 to 1
	late     float64 // moving average of attempts given up late, 0 to 1
	sheds    float64 // moving average of sheds, 0 to 1
	tries    int     // attempts that sheds are a share of
	latency  float64 // moving average in nanoseconds
	samples  int     // since the last ejection or boot
	timed    int     // those with a latency

	until     time.Time // end of the ejection
	ejections int
	ejected   bool
	out       bool // another owner ejected it or found it down
	probation bool
	proven    int
	coldAt    time.Time // start of the cold period, zero when warm
	reason    string
}

// Health judges endpoints by observations and status reports; it belongs to the control goroutine.
type Health struct {
	records  map[kctport.InstanceID]*record
	services map[kctport.ServiceName][]*record
}

// NewHealth returns a Health that knows no endpoint.
func NewHealth() *Health {
	return &Health{records: make(map[kctport.InstanceID]*record), services: make(map[kctport.ServiceName][]*record)}
}

// Track sets the endpoints that are judged; a new one starts cold, and one that is left out is forgotten.
func (h *Health) Track(now time.Time, endpoints []kctport.Endpoint) {
	records := make(map[kctport.InstanceID]*record, len(endpoints))
	services := make(map[kctport.ServiceName][]*record)
	for _, e := range endpoints {
		r := h.records[e.ID]
		if r == nil {
			r = &record{id: e.ID, service: e.Service, coldAt: now, reason: "new"}
		}
		records[e.ID] = r
		services[e.Service] = append(services[e.Service], r)
	}
	h.records, h.services = records, services
}

// Observe takes a batch of what traffic saw.
func (h *Health) Observe(now time.Time, batch []kctport.Observation) {
	medians := make(map[kctport.ServiceName]time.Duration)
	for _, o := range batch {
		r := h.records[o.Endpoint]
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
			if why := r.outlier(m, s); why != "" && !r.ejected {
				h.eject(now, r, why)
			}
		}
	}
}

// Status takes the result of a status call.
func (h *Health) Status(now time.Time, id kctport.InstanceID, s kctport.Status, err error) {
	r := h.records[id]
	if r == nil {
		return
	}
	if err != nil {
		r.lastErr = err
		// A refused connection proves that the process is gone; a timeout may be load or the path and proves nothing.
		if errors.Is(err, kctport.ErrUnavailable) || errors.Is(err, kctport.ErrReset) {
			r.refused++
		}
		return
	}
	if r.reported && s.BootID != r.status.BootID || r.refused >= refusals {
		r.restart(now)
	}
	r.refused = 0
	r.status, r.reported = s, true
}

// Report takes what another owner tells of an endpoint; it counts in the ejection bounds of the shard's other replicas.
func (h *Health) Report(now time.Time, id kctport.InstanceID, s kctport.Status, health kctport.Health) {
	h.Status(now, id, s, nil)
	if r := h.records[id]; r != nil {
		r.out = health == kctport.HealthEjected || health == kctport.HealthDown
	}
}

// restart forgets what was seen of an earlier process. The count of ejections stays, since a process that crashes
// again and again must not come back at once each time.
func (r *record) restart(now time.Time) {
	r.failures, r.failing, r.late, r.latency, r.samples, r.timed = 0, 0, 0, 0, 0, 0
	r.sheds, r.tries = 0, 0
	r.coldAt, r.proven, r.reason = now, 0, "restarted"
}

// Health returns the health of an endpoint and the reason for operators.
func (h *Health) Health(now time.Time, id kctport.InstanceID) (kctport.Health, string) {
	r := h.records[id]
	if r == nil {
		return kctport.HealthDown, "unknown endpoint"
	}
	r.out = false
	if r.refused >= refusals {
		return kctport.HealthDown, fmt.Sprintf("%d status calls failed: %v", r.refused, r.lastErr)
	}
	if r.ejected && now.Before(r.until) {
		return kctport.HealthEjected, r.reason
	}
	if r.ejected {
		r.ejected, r.probation, r.proven, r.coldAt = false, true, 0, now
	}
	if !r.probation && r.ejections > 0 && now.Sub(r.until) > ejectionMemory {
		r.ejections = 0
	}
	if r.coldAt.IsZero() || r.proven >= provenAfter || now.Sub(r.coldAt) >= coldPeriod {
		r.coldAt = time.Time{}
		return kctport.HealthOK, ""
	}
	if r.probation {
		return kctport.HealthCold, "on probation: " + r.reason
	}
	return kctport.HealthCold, r.reason
}

// eject takes an endpoint out unless that would leave a shard with too few replicas.
func (h *Health) eject(now time.Time, r *record, why string) {
	if r.ejected || !h.mayEject(now, r) {
		return
	}
	if r.ejections > 0 && now.Sub(r.until) > ejectionMemory {
		r.ejections = 0
	}
	d := min(firstEjection<<min(r.ejections, 10), maxEjection)
	r.ejected, r.probation, r.until, r.reason = true, false, now.Add(d), why
	r.ejections++
	r.failures, r.failing, r.late, r.latency, r.samples, r.timed = 0, 0, 0, 0, 0, 0
	r.sheds, r.tries = 0, 0
}

// mayEject reports whether every shard that the endpoint holds can do without it: at most a third of the replicas of a
// shard are ejected, and at least one other replica stays.
func (h *Health) mayEject(now time.Time, r *record) bool {
	for _, held := range r.status.Holdings {
		all, out, left := 0, 0, 0
		for _, o := range h.services[r.service] {
			if !slices.Contains(o.status.Holdings, held) {
				continue
			}
			all++
			switch {
			case o == r:
			case o.out || o.ejected && now.Before(o.until):
				out++
			case o.refused < refusals:
				left++
			}
		}
		if (out+1)*3 > all || left == 0 {
			return false
		}
	}
	return true
}
