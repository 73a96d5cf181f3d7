package kctfleet

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctmove"
	"kingcupturn/io/kcttimer"
)

// movingStore returns a store with a service that has three endpoints of each version, and a request to move it to the new one.
func movingStore(duration time.Duration) *registry {
	r := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1, revision: 100}
	for i, id := range []string{"o1", "o2", "o3", "n1", "n2", "n3"} {
		c := endpointChange(id, uint64(i+1))
		c.Endpoint.Version = map[byte]kctport.VersionName{'o': "v1", 'n': "v2"}[id[0]]
		r.extra = append(r.extra, c)
	}
	r.extra = append(r.extra, kctport.RegistryChange{
		Kind: kctport.RecordMove, Key: "moves/s", Revision: revision(50), Move: &kctport.MoveRequest{Service: "s", To: "v2", Duration: duration},
	})
	return r
}

func (r *registry) progress() kctport.MoveProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.saved.Progress == nil {
		return kctport.MoveProgress{}
	}
	return *r.saved.Progress
}

// sendRequests sends requests to a moving service until the move is announced or reverted or the time is over. It returns the number of
// requests to the new version and of all.
func sendRequests(t *testing.T, store *registry, entries []*Controller, length time.Duration, failureRate func(share float64) float64) (newVersion, all int) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	for until := time.Now().Add(length); time.Now().Before(until) && !store.progress().Announced && store.progress().State != kctport.MoveReverted; {
		time.Sleep(5 * time.Millisecond)
		c := entries[random.IntN(len(entries))]
		share := c.Fleet().Moves["s"].Share
		o := kctport.Observation{Service: "s", Route: "r", At: time.Now(), Latency: 20 * time.Millisecond, Endpoint: "o1", Version: "v1"}
		all++
		if random.Float64() < share {
			newVersion++
			o.Endpoint, o.Version = []kctport.InstanceID{"n1", "n2", "n3"}[random.IntN(3)], "v2"
			if random.Float64() < failureRate(share) {
				o.Err = kctport.ErrFailed
			}
		}
		c.Observe(o)
	}
	return newVersion, all
}

func startEntries(t *testing.T, store *registry, zones ...kctport.Zone) []*Controller {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	feeds := &linkedFeeds{sources: map[uint16]*Controller{}}
	var entries []*Controller
	var done []<-chan struct{}
	for i, zone := range zones {
		port := uint16(i + 1)
		c := New(entryRecord(string(rune('a'+i)), zone, port), store, feeds, kcttimer.New(), discardLogger{}, WithSeed(uint64(i)))
		feeds.sources[port] = c
		entries = append(entries, c)
	}
	for _, c := range entries {
		done = append(done, c.Run(ctx))
	}
	t.Cleanup(func() {
		cancel()
		for _, d := range done {
			<-d
		}
	})
	time.Sleep(2 * time.Second)
	return entries
}

// TestGoodMove guards against a good version that isn't in force on all entries by its deadline, or is announced before it is.
func TestGoodMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := movingStore(2 * time.Minute)
		entries := startEntries(t, store, "a", "b", "b")
		began := time.Now()
		sendRequests(t, store, entries, 3*time.Minute, func(float64) float64 { return 0 })
		p := store.progress()
		if p.State != kctport.MoveDone || !p.Announced || time.Since(began) > 2*time.Minute {
			t.Fatalf("after %v: %+v", time.Since(began), p)
		}
		for _, c := range entries {
			if list := c.Fleet().Endpoints["s"]; len(list) != 3 || list[0].Version != "v2" {
				t.Errorf("entry %s has %d endpoints, the first of version %s; want 3 of v2", c.self.ID, len(list), list[0].Version)
			}
		}
	})
}

// TestBadMove guards against a bad version that gets more than a tenth of the requests or isn't reverted, whether it fails at once or only under
// load.
func TestBadMove(t *testing.T) {
	for name, failureRate := range map[string]func(float64) float64{
		"at once": func(float64) float64 { return 0.4 },
		"under load": func(share float64) float64 {
			if share < 0.2 {
				return 0
			}
			return 0.5
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := movingStore(2 * time.Minute)
				entries := startEntries(t, store, "a", "b", "b")
				newVersion, all := sendRequests(t, store, entries, 2*time.Minute, failureRate)
				time.Sleep(2 * time.Second)
				if p := store.progress(); p.State != kctport.MoveReverted {
					t.Fatalf("move %+v, want it reverted", p)
				}
				// The limit is a tenth of all requests until the deadline; here the traffic stops with the move.
				if float64(newVersion) > 0.1*float64(all)+50 {
					t.Errorf("%d of %d requests went to the bad version", newVersion, all)
				}
				for _, c := range entries {
					for _, f := range c.Fleet().Endpoints["s"] {
						if f.Version != "v1" {
							t.Errorf("entry %s still uses endpoint %s of the bad version", c.self.ID, f.ID)
						}
					}
				}
			})
		})
	}
}

// TestMoveContinuesWithoutHolder guards against a move that stops or starts again when the entry that advances it leaves.
func TestMoveContinuesWithoutHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := movingStore(2 * time.Minute)
		entries := startEntries(t, store, "a", "b", "b")
		began := store.progress().Started
		sendRequests(t, store, entries, 30*time.Second, func(float64) float64 { return 0 })
		// The holder leaves and its reader record is deleted.
		entries[0].Leave(t.Context())
		time.Sleep(time.Second)
		store.mu.Lock()
		delete(store.readers, "a")
		store.extra = append(store.extra, kctport.RegistryChange{Kind: kctport.RecordReader, Key: "readers/a", Revision: revision(1000), Deleted: true})
		store.mu.Unlock()
		sendRequests(t, store, entries[1:], 3*time.Minute, func(float64) float64 { return 0 })
		if p := store.progress(); p.State != kctport.MoveDone || !p.Announced || !p.Started.Equal(began) || p.Holder == "a" {
			t.Fatalf("move %+v, want it done and announced by another holder, started at %v", p, began)
		}
	})
}

// TestEndOfMoveIsForgotten guards against state of ended moves that grows for as long as the process runs.
func TestEndOfMoveIsForgotten(t *testing.T) {
	now := time.Now()
	request := kctport.RegistryChange{Move: &kctport.MoveRequest{Service: "s", To: "2"}}
	s := &state{mover: newMover(kctmove.DefaultExposure), moveRecords: map[string]*record{"op/rollout/s": {RegistryChange: request}}}
	id := moveID(request)
	s.mover.requestedAt["1@7"], s.mover.requestedAt[id] = now, now
	s.mover.stops["1@7"], s.mover.stops[id] = kctport.MoveReport{}, kctport.MoveReport{}
	s.mover.saving["s"] = kctport.StoreRevision{}
	s.decideMoves(now)
	if len(s.mover.requestedAt) != 1 || s.mover.requestedAt[id].IsZero() || len(s.mover.stops) != 1 {
		t.Errorf("moves %v and stops %v are kept, want only %s", s.mover.requestedAt, s.mover.stops, id)
	}
}
