package kctmove

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	kctport "kingcupturn"
)

const (
	modelEntries = 9
	modelTick    = 250 * time.Millisecond
	modelPush    = 500 * time.Millisecond
	modelRate    = 600.0 // requests a second of the service, over all entries
	modelWarmup  = 15 * time.Second
	modelServers = 3 // of each version and zone
)

var (
	modelStart  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	modelRoutes = []string{"search", "browse", "export"}
)

// fault says how the new version misbehaves.
type fault struct {
	fails  float64
	slower float64
	after  time.Duration
	load   float64
	route  string
	// cold lets the owner report the new endpoints as cold for ever.
	cold bool
	// turnover replaces the holder meanwhile.
	turnover float64
}

// model is synthetic traffic of one service under a move, with an entry's tracker for each of a few entries.
type model struct {
	random   *rand.Rand
	now      time.Time
	trackers []*Tracker
	replicas []*kctport.Replica
	born     map[kctport.InstanceID]time.Time
	// owner is the entry that observes an endpoint's attempts; some entries own endpoints of one version only.
	owner  map[kctport.InstanceID]int
	policy kctport.Policy
	// written is the stored move, seen the move that entries have after the push.
	written, seen kctport.Move
	visible       time.Time
	fault         fault
	// slowZone and slowFrom give one period of a minute in which a zone is four times as slow.
	slowZone kctport.Zone
	slowFrom time.Duration
	// coldFor is how long a new endpoint takes to warm up.
	coldFor time.Duration
	rate    float64
	// straggler is an endpoint that is three times as slow.
	straggler kctport.InstanceID
	// honest lets owners see that endpoints are cold.
	honest bool
	// holder is the entry that works on the move; turnover is the chance a second that another one takes over.
	holder   int
	turnover float64
	// onset is when the first fault reached a request at a share of at least 1%, last when the share last was that high.
	onset, last time.Time
	// judged is the highest share before the evidence first called the version good.
	judged float64
}

func newModel(seed uint64, length time.Duration) *model {
	move := kctport.Move{
		ID: "m", Service: "s", From: "v1", To: "v2",
		Started: modelStart, Deadline: modelStart.Add(length), State: kctport.MoveRunning,
	}
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), now: modelStart, written: move, seen: move,
		born: map[kctport.InstanceID]time.Time{}, owner: map[kctport.InstanceID]int{}, policy: kctport.Policy{Warmup: modelWarmup},
		coldFor: 10 * time.Second, rate: modelRate,
	}
	for range modelEntries {
		m.trackers = append(m.trackers, NewTracker())
	}
	for z := range 3 {
		for i := range 2 * modelServers {
			version := []kctport.VersionName{"v1", "v2"}[i%2]
			id := kctport.InstanceID(fmt.Sprintf("%d-%d", z, i))
			m.owner[id] = z + 3*m.random.IntN(modelEntries/3)
			m.replicas = append(m.replicas, &kctport.Replica{Usable: true, Endpoint: kctport.Endpoint{
				ID: id, Service: "s", Version: version, Zone: kctport.Zone(fmt.Sprint("z", z)),
			}})
		}
	}
	return m
}

// run steps the model until the move is over.
func (m *model) run() {
	for m.seen.State == kctport.MoveRunning {
		m.step()
	}
}

func (m *model) step() {
	m.now = m.now.Add(modelTick)
	if !m.visible.IsZero() && !m.now.Before(m.visible) {
		m.seen, m.visible = m.written, time.Time{}
	}
	batches := make([][]kctport.Observation, modelEntries)
	for _, t := range m.trackers {
		t.Track(m.now, m.seen, m.replicas, m.policy)
		for _, o := range m.traffic(t) {
			batches[m.owner[o.Endpoint]] = append(batches[m.owner[o.Endpoint]], o)
		}
	}
	for i, t := range m.trackers {
		t.Observe(m.now, batches[i])
		if m.now.Sub(modelStart)%(500*time.Millisecond) == 0 {
			m.report(i, t)
		}
	}
	if m.random.Float64() < m.turnover*modelTick.Seconds() {
		m.holder = m.random.IntN(modelEntries)
	}
	if next, ok := m.trackers[m.holder].Decide(m.now, m.written, m.replicas, m.policy); ok {
		m.written, m.visible = next, m.now.Add(modelPush)
		if !strings.HasPrefix(next.Evidence, "good") {
			m.judged = max(m.judged, next.Share)
		}
	}
}

// report sends counts and cuts to the holder.
func (m *model) report(from int, t *Tracker) {
	reports := t.Reports(m.now)
	if from != m.holder {
		m.trackers[m.holder].Merge(m.now, kctport.InstanceID(fmt.Sprint("e", from)), reports)
	}
}

// traffic returns one entry's attempts in one tick.
func (m *model) traffic(t *Tracker) []kctport.Observation {
	share := m.seen.Share
	if cut, _ := t.Stopped(m.now, m.seen); cut {
		share = 0
	}
	if share >= 0.01 && !m.onset.IsZero() {
		m.last = m.now
	}
	var out []kctport.Observation
	mean := m.rate / modelEntries * modelTick.Seconds()
	for range m.poisson(mean) {
		version := kctport.VersionName("v1")
		if m.random.Float64() < share {
			version = "v2"
		}
		out = append(out, m.attempt(version, share))
	}
	return out
}

func (m *model) attempt(version kctport.VersionName, share float64) kctport.Observation {
	r := m.replicas[2*m.random.IntN(len(m.replicas)/2)]
	if version == "v2" {
		r = m.replicas[2*m.random.IntN(len(m.replicas)/2)+1]
	}
	at := m.random.Float64()
	route := 0
	if at > 0.6 {
		route++
	}
	if at > 0.9 {
		route++
	}
	o := kctport.Observation{Endpoint: r.ID, Service: "s", Version: version, Route: modelRoutes[route], At: m.now}
	latency := 5 * math.Exp(0.5*m.random.NormFloat64()) * float64(int(1)<<route)
	since := m.now.Sub(modelStart)
	if r.Zone == m.slowZone && since > m.slowFrom && since < m.slowFrom+time.Minute {
		latency *= 4
	}
	if r.ID == m.straggler {
		latency *= 3
	}
	if version == "v2" {
		cold := m.coldFactor(r.ID)
		latency *= cold
		if m.honest {
			r.Health = kctport.HealthOK
			if cold > 1.2 {
				r.Health = kctport.HealthCold
			}
		}
		latency *= m.apply(&o, share)
	}
	if m.random.Float64() < 0.001 {
		o.Err = kctport.ErrFailed
	}
	o.Latency = time.Duration(latency * float64(time.Millisecond))
	return o
}

func (m *model) coldFactor(id kctport.InstanceID) float64 {
	if _, ok := m.born[id]; !ok {
		m.born[id] = m.now
	}
	age := m.now.Sub(m.born[id])
	if age < m.coldFor {
		return 1 + 9*(1-age.Seconds()/m.coldFor.Seconds())
	}
	return 1
}

// apply brings the fault into an attempt at the new version and returns the factor on its latency.
func (m *model) apply(o *kctport.Observation, share float64) float64 {
	f := m.fault
	if m.now.Sub(modelStart) < f.after || share < f.load || f.route != "" && f.route != o.Route || f == (fault{}) {
		return 1
	}
	if m.onset.IsZero() && share >= 0.01 {
		m.onset = m.now
	}
	if m.random.Float64() < f.fails {
		o.Err = kctport.ErrFailed
	}
	return max(1, f.slower)
}

func (m *model) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := m.random.Float64(); x > p; x *= m.random.Float64() {
		n++
	}
	return n
}
