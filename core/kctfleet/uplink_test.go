package kctfleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctsuspect"
	"kingcupturn/io/kcttimer"
)

// suspectingEntry is an entry with its memory of requests that crash endpoints.
type suspectingEntry struct {
	*Controller
	memory *kctsuspect.Memory
	cancel context.CancelFunc
	done   <-chan struct{}
}

// crash records that an endpoint crashed with a request at this entry.
func (e *suspectingEntry) crash(f kctport.Fingerprint) {
	crashed := kctsuspect.Incarnation{Endpoint: kctport.InstanceID(fmt.Sprint("endpoint", f)), Started: start}
	e.Report(e.memory.RecordCrash(crashed, time.Minute, []kctsuspect.Involved{{Fingerprint: f, Cut: e.memory.Mark()}}))
}

// TestSuspicionsReachAllEntries guards against a request that crashes endpoints again because entries don't know of its crashes: those at an entry that is
// not a reader, while the store is out, just before the reader of the zone ends, and before an entry started.
func TestSuspicionsReachAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &registry{readers: map[kctport.Zone]kctport.EntryRecord{}, rules: 1}
		feeds := &linkedFeeds{sources: map[uint16]*Controller{}}
		var entries []*suspectingEntry
		prepare := func(i int) *suspectingEntry {
			m := kctsuspect.NewMemory(kcttimer.New())
			c := New(entryRecord(fmt.Sprint("e", i), kctport.Zone([]string{"a", "b", "c"}[i%3]), uint16(i+1)), store, feeds, kcttimer.New(), discardLogger{},
				WithSeed(uint64(i)), WithSuspicions(m))
			feeds.sources[uint16(i+1)] = c
			return &suspectingEntry{Controller: c, memory: m}
		}
		run := func(e *suspectingEntry) {
			var entryCtx context.Context
			entryCtx, e.cancel = context.WithCancel(ctx)
			e.done = e.Run(entryCtx)
			entries = append(entries, e)
		}
		check := func(within time.Duration, f kctport.Fingerprint, when string) {
			t.Helper()
			time.Sleep(within)
			for _, e := range entries {
				if !isClosed(e.done) && e.memory.Crashes(f) != 1 {
					t.Errorf("%s: entry %s does not know of the crash after %v", when, e.self.ID, within)
				}
			}
		}
		prepared := make([]*suspectingEntry, 10)
		for i := range prepared {
			prepared[i] = prepare(i)
		}
		for _, e := range prepared[:9] {
			run(e)
		}
		time.Sleep(3 * time.Second)
		isReader := func(e *suspectingEntry) bool {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.readers[e.self.Zone].ID == e.self.ID
		}
		var reader, other *suspectingEntry
		for _, e := range entries {
			if isReader(e) {
				reader = e
			}
		}
		for _, e := range entries {
			if e.self.Zone == reader.self.Zone && !isReader(e) {
				other = e
			}
		}
		other.crash(1)
		check(100*time.Millisecond, 1, "at an entry that is not a reader")
		reader.crash(2)
		check(100*time.Millisecond, 2, "at a reader")
		store.mu.Lock()
		store.unavailable = true
		store.mu.Unlock()
		time.Sleep(2 * time.Second)
		other.crash(3)
		check(time.Second, 3, "while the store is out")
		store.mu.Lock()
		store.unavailable = false
		store.mu.Unlock()
		time.Sleep(3 * time.Second)
		reader.cancel()
		<-reader.done
		other.crash(4)
		store.mu.Lock()
		delete(store.readers, reader.self.Zone)
		store.mu.Unlock()
		check(6*time.Second, 4, "just after the reader ended")
		run(prepared[9])
		for f := range kctport.Fingerprint(4) {
			check(3*time.Second, f+1, "at an entry that started later")
		}
		cancel()
		for _, e := range entries {
			<-e.done
		}
	})
}
