package kctquery_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctcheck"
	"kingcupturn/core/kctlimit"
	"kingcupturn/core/kctquery"
	"kingcupturn/core/kctretry"
	"kingcupturn/core/kctroute"
	"kingcupturn/core/kctsend"
	"kingcupturn/io/kcttimer"
)

// publishPeriod is the time between two views that control publishes.
const publishPeriod = 100 * time.Millisecond

// fleet simulates the endpoints of service s and the control state of one entry that owns them all.
type fleet struct {
	kctport.Backend
	kctport.Peers
	rand       *rand.Rand
	policy     kctport.Policy
	slots      int
	noEjection bool // replicas stay usable when ejected
	zoned      bool // one replica of each shard in each of three zones, this entry in zone 0
	// respond returns the latency and the error of one attempt.
	respond func(r *rand.Rand, call kctport.PartCall) (time.Duration, error)
	// shards returns the shard count of a snapshot.
	shards func(kctport.Snapshot) int

	mu           sync.Mutex
	view         *kctport.View
	observations []kctport.Observation
	ids          []kctport.InstanceID
	running      map[kctport.InstanceID]int
	snapshots    []kctport.Snapshot
	runs         map[string]int // by route or key
	ran          int
}

// newFleet returns n endpoints of 4 slots that hold snapshot 1.
func newFleet(seed uint64, n int, shards func(kctport.Snapshot) int, respond func(*rand.Rand, kctport.PartCall) (time.Duration, error)) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 7)), respond: respond, slots: 4, shards: shards, snapshots: []kctport.Snapshot{1},
		policy:  kctport.Policy{Hedge: true, Canary: true, Deadline: time.Second},
		running: make(map[kctport.InstanceID]int), runs: make(map[string]int),
	}
	for i := range n {
		f.ids = append(f.ids, kctport.InstanceID(fmt.Sprintf("%03d", i)))
	}
	return f
}

// start runs control until the test ends and returns an engine over the fleet.
func (f *fleet) start(t *testing.T, hedger kctport.Hedger, picker func(func(kctport.InstanceID) int) kctport.Picker) *kctquery.Engine {
	timer := kcttimer.New()
	health := kctroute.NewHealth()
	f.publish(health)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		for tick := timer.Subscribe(ctx, publishPeriod); ; {
			select {
			case <-tick:
				f.publish(health)
			case <-ctx.Done():
				return
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f.engine(hedger, picker)
}

// engine returns an engine over the fleet.
func (f *fleet) engine(hedger kctport.Hedger, picker func(func(kctport.InstanceID) int) kctport.Picker) *kctquery.Engine {
	timer, checker := kcttimer.New(), kctcheck.New(nil, kctcheck.Panic())
	s := kctsend.New("e", timer, f, f, kctlimit.NewGates(timer, kctlimit.WithChecker(checker)), f, checker)
	budget := kctretry.NewBudget(func() float64 { return 0.05 })
	return kctquery.NewEngine(f, timer, s, picker(s.InFlight), hedger, budget, checker)
}

func powerOfTwo(inFlight func(kctport.InstanceID) int) kctport.Picker {
	return kctroute.NewPicker(kctroute.WithInFlight(inFlight))
}

func roundRobin(func(kctport.InstanceID) int) kctport.Picker { return kctroute.NewRoundRobin() }

// publish sets the next view, from the observations since the last one and the current holdings.
func (f *fleet) publish(health *kctroute.Health) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	v := &kctport.View{
		At: now, Expires: now.Add(time.Second), Members: map[kctport.InstanceID]kctport.Member{"e": {ID: "e"}},
	}
	var es []kctport.Endpoint
	for i, id := range f.ids {
		e := kctport.Endpoint{ID: id, Service: "s"}
		if f.zoned {
			v.Self.Zone = "0"
			e.Zone = kctport.Zone(fmt.Sprint(i / f.shards(f.snapshots[0])))
		}
		es = append(es, e)
	}
	health.Track(now, es)
	health.Observe(now, f.observations)
	f.observations = nil
	sv := &kctport.ServiceView{Name: "s", Policy: f.policy}
	for i, e := range es {
		st := kctport.Status{BootID: 1, Slots: f.slots}
		for _, s := range f.snapshots {
			st.Holdings = append(st.Holdings, kctport.Holding{Snapshot: s, Shard: i % f.shards(s), Shards: f.shards(s)})
		}
		health.Status(now, e.ID, st, nil)
		h, reason := health.Health(now, e.ID)
		r := &kctport.Replica{Endpoint: e, Status: st, Owner: "e", Health: h, Usable: f.noEjection || h != kctport.HealthEjected, Reason: reason}
		sv.Replicas = append(sv.Replicas, r)
	}
	v.Services = map[kctport.ServiceName]*kctport.ServiceView{"s": sv}
	f.view = v
}

func (f *fleet) View() *kctport.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fleet) Wait(context.Context) (*kctport.View, error) { return f.View(), nil }

func (f *fleet) Observe(o kctport.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, o)
}

// Call simulates one attempt, which is shed when all slots are taken.
func (f *fleet) Call(ctx context.Context, e kctport.Endpoint, call kctport.PartCall) (kctport.PartReply, error) {
	d, err := f.admit(e.ID, call)
	if !errors.Is(err, kctport.ErrNotRun) {
		defer f.release(e.ID)
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return kctport.PartReply{}, errors.Join(kctport.ErrUnknown, ctx.Err())
	}
	if err != nil {
		return kctport.PartReply{}, err
	}
	id := fmt.Sprintf("%s@%d", call.Part, call.Snapshot)
	return kctport.PartReply{
		Request: call.Request, Part: call.Part, Shards: call.Shards, Snapshot: call.Snapshot,
		Items: []kctport.Item{{ID: id, Score: float64(call.Part.Shard)}},
	}, nil
}

func (f *fleet) admit(id kctport.InstanceID, call kctport.PartCall) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if call.Snapshot < f.snapshots[0] {
		return 0, errors.Join(kctport.ErrSnapshotDropped, kctport.ErrNotRun)
	}
	if f.running[id] >= f.slots {
		return 0, errors.Join(kctport.ErrShed, kctport.ErrNotRun)
	}
	d, err := f.respond(f.rand, call)
	if !errors.Is(err, kctport.ErrNotRun) {
		f.running[id]++
		f.runs[call.Route+call.Key]++
		f.ran++
	}
	return d, err
}

// count returns the number of times that a request ran, by its route or key.
func (f *fleet) count(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *fleet) release(id kctport.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[id]--
}
