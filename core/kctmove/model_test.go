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
	modelEntries   = 9
	modelTick      = 250 * time.Millisecond
	modelPushDelay = 500 * time.Millisecond
	modelRate      = 600.0 // requests a second of the service, over all entries
	modelWarmup    = 15 * time.Second
	modelEndpoints = 3 // of each version and zone
)

var (
	modelStart  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	modelRoutes = []string{"search", "browse", "export"}
)

// fault describes a fault of the new version, which appears after a time, at shares from minShare up and on one route, or on all if it is empty.
type fault struct {
	failureRate float64
	slowdown    float64
	after       time.Duration
	minShare    float64
	route       string
	// cold makes the owners report the new endpoints as cold throughout.
	cold bool
	// turnover is the chance a second that the holder is replaced.
	turnover float64
}

// model generates traffic of one service during a move, with one tracker for each entry.
type model struct {
	random       *rand.Rand
	now          time.Time
	trackers     []*Tracker
	replicas     []*kctport.Replica
	firstAttempt map[kctport.InstanceID]time.Time
	// owner is the index of the entry that observes an endpoint's attempts; some entries own endpoints of one version only.
	owner  map[kctport.InstanceID]int
	policy kctport.Policy
	// stored is the move in the store, current the one that the entries have; a change of stored reaches them at pushedAt.
	stored, current kctport.Move
	pushedAt        time.Time
	fault           fault
	// slowZone is four times as slow for a minute from slowFrom after the start.
	slowZone kctport.Zone
	slowFrom time.Duration
	// coldFor is how long a new endpoint takes to warm up.
	coldFor time.Duration
	rate    float64
	// straggler is an endpoint that is three times as slow as the others.
	straggler kctport.InstanceID
	// ownersSeeCold makes the owners report endpoints as cold while they are.
	ownersSeeCold bool
	// holder is the index of the entry that decides on the move; turnover is the chance a second that another one takes over.
	holder   int
	turnover float64
	// onset is when the fault first affected a request at a share of at least 1%, last when the share last was that high.
	onset, last time.Time
	// maxUnproven is the highest share that was decided on without evidence that the version is good.
	maxUnproven float64
}

func newModel(seed uint64, length time.Duration) *model {
	move := kctport.Move{
		ID: "m", Service: "s", From: "v1", To: "v2",
		Started: modelStart, Deadline: modelStart.Add(length), State: kctport.MoveRunning,
	}
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), now: modelStart, stored: move, current: move,
		firstAttempt: map[kctport.InstanceID]time.Time{}, owner: map[kctport.InstanceID]int{}, policy: kctport.Policy{Warmup: modelWarmup},
		coldFor: 10 * time.Second, rate: modelRate,
	}
	for range modelEntries {
		m.trackers = append(m.trackers, NewTracker())
	}
	for z := range 3 {
		for i := range 2 * modelEndpoints {
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

// run advances the model until the move is over.
func (m *model) run() {
	for m.current.State == kctport.MoveRunning {
		m.step()
	}
}

func (m *model) step() {
	m.now = m.now.Add(modelTick)
	if !m.pushedAt.IsZero() && !m.now.Before(m.pushedAt) {
		m.current, m.pushedAt = m.stored, time.Time{}
	}
	batches := make([][]kctport.Observation, modelEntries)
	for _, t := range m.trackers {
		t.Track(m.now, m.current, m.replicas, m.policy)
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
	if next, ok := m.trackers[m.holder].Decide(m.now, m.stored, m.replicas, m.policy); ok {
		m.stored, m.pushedAt = next, m.now.Add(modelPushDelay)
		if !strings.HasPrefix(next.Evidence, "good") {
			m.maxUnproven = max(m.maxUnproven, next.Share)
		}
	}
}

// report sends an entry's counts and stops to the holder.
func (m *model) report(from int, t *Tracker) {
	reports := t.Reports(m.now)
	if from != m.holder {
		m.trackers[m.holder].Merge(m.now, kctport.InstanceID(fmt.Sprint("e", from)), reports)
	}
}

// traffic returns one entry's attempts of one tick.
func (m *model) traffic(t *Tracker) []kctport.Observation {
	share := m.current.Share
	if stopped, _ := t.Stopped(m.now, m.current); stopped {
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
		if m.ownersSeeCold {
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
	if _, ok := m.firstAttempt[id]; !ok {
		m.firstAttempt[id] = m.now
	}
	age := m.now.Sub(m.firstAttempt[id])
	if age < m.coldFor {
		return 1 + 9*(1-age.Seconds()/m.coldFor.Seconds())
	}
	return 1
}

// apply applies the fault to an attempt at the new version and returns the factor on its latency.
func (m *model) apply(o *kctport.Observation, share float64) float64 {
	f := m.fault
	if m.now.Sub(modelStart) < f.after || share < f.minShare || f.route != "" && f.route != o.Route || f == (fault{}) {
		return 1
	}
	if m.onset.IsZero() && share >= 0.01 {
		m.onset = m.now
	}
	if m.random.Float64() < f.failureRate {
		o.Err = kctport.ErrFailed
	}
	return max(1, f.slowdown)
}

func (m *model) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := m.random.Float64(); x > p; x *= m.random.Float64() {
		n++
	}
	return n
}
