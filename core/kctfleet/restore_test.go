package kctfleet

import (
	"testing"
	"time"

	kctport "kingcupturn"
)

// started is the start of an incarnation of an endpoint.
var started = start.Add(-time.Minute)

// incarnation returns the record of an endpoint's incarnation.
func incarnation(id string, r kctport.StoreRevision, began time.Time, leaving bool) kctport.RegistryChange {
	c := endpointChange(id, 0)
	c.Revision, c.Endpoint.Started, c.Endpoint.Leaving = r, began, leaving
	c.Value = []byte("ready")
	if leaving {
		c.Value = []byte("leaving")
	}
	return c
}

// restored returns the state of an entry that has applied changes as of revision 60 of the first era, and then a complete reading of the copy from which the
// store has come back.
func restored(before, reading []kctport.RegistryChange) *state {
	s := newTestState(kctport.EntryRecord{ID: "e"})
	s.applyWatched(start, before, revision(60))
	s.applyLoaded(start, kctport.RegistryState{Changes: reading, Revision: laterEra(40)})
	return s
}

// TestEndpointThatLeftIsInTheCopy guards against requests to an endpoint that has left, because the copy from which the store has come back has its record from
// before; and against an endpoint that is alive and never used again, because it was removed once.
func TestEndpointThatLeftIsInTheCopy(t *testing.T) {
	ready, leaving := incarnation("i", revision(30), started, false), incarnation("i", revision(50), started, true)
	gone := deletion(ready, 55)
	inCopy := incarnation("i", laterEra(30), started, false)
	again := incarnation("i", laterEra(41), start, false)
	for name, c := range map[string]struct {
		before, after []kctport.RegistryChange
		// soon and late are the usable endpoints after the reading, and once a record of an endpoint that is gone has expired.
		soon, late int
	}{
		"it says that it leaves":                   {[]kctport.RegistryChange{ready, leaving}, nil, 0, 0},
		"it has left":                              {[]kctport.RegistryChange{ready, leaving, gone}, nil, 0, 0},
		"it has left and starts again":             {[]kctport.RegistryChange{ready, leaving, gone}, []kctport.RegistryChange{again}, 1, 1},
		"its record was removed":                   {[]kctport.RegistryChange{ready, gone}, nil, 0, 1},
		"its record was removed and expires again": {[]kctport.RegistryChange{ready, gone}, []kctport.RegistryChange{{Kind: ready.Kind, Key: ready.Key, Revision: laterEra(41), Deleted: true}}, 0, 0},
		"its record was removed and it writes":     {[]kctport.RegistryChange{ready, gone}, []kctport.RegistryChange{incarnation("i", laterEra(61), started, false)}, 1, 1},
		"it was there all the time":                {[]kctport.RegistryChange{ready}, nil, 1, 1},
	} {
		s := restored(c.before, []kctport.RegistryChange{inCopy})
		for _, change := range c.after {
			s.apply(start, change)
		}
		s.expire(start)
		late := start.Add(reviveDelay(s) + time.Millisecond)
		soon := usableEndpoints(s, start)
		watched(s, late)
		s.expire(late)
		if n := usableEndpoints(s, late); soon != c.soon || n != c.late {
			t.Errorf("%s: %d endpoints and %d later, want %d and %d", name, soon, n, c.soon, c.late)
		}
	}
}

// reviveDelay is the time after which the record of an endpoint that is gone has expired.
func reviveDelay(s *state) time.Duration {
	return expiryHeartbeats * s.contact.heartbeat
}

// TestRecordThatTheCopyLacks guards against live endpoints that are dropped, and zones that get requests although they were taken out, because the copy from
// which the store has come back is from before; and against both lasting when nobody writes them again.
func TestRecordThatTheCopyLacks(t *testing.T) {
	endpoint := incarnation("i", revision(50), started, false)
	other := endpointChange("other", 55)
	other.Endpoint.Zone = "b"
	out := kctport.RegistryChange{Kind: kctport.RecordZoneOut, Key: "out/b", Zone: "b", Revision: revision(58)}
	outAgain := out
	outAgain.Revision = laterEra(42)
	for name, c := range map[string]struct {
		after      []kctport.RegistryChange
		soon, late int
	}{
		"nobody writes them again":    {nil, 1, 0},
		"the endpoint writes again":   {[]kctport.RegistryChange{incarnation("i", laterEra(41), started, false)}, 1, 1},
		"the operator writes again":   {[]kctport.RegistryChange{outAgain}, 1, 0},
		"the other endpoint writes":   {[]kctport.RegistryChange{{Kind: other.Kind, Key: other.Key, Revision: laterEra(41), Endpoint: other.Endpoint}}, 1, 1},
		"the other one and operator":  {[]kctport.RegistryChange{{Kind: other.Kind, Key: other.Key, Revision: laterEra(41), Endpoint: other.Endpoint}, outAgain}, 1, 0},
		"both endpoints and operator": {[]kctport.RegistryChange{incarnation("i", laterEra(43), started, false), {Kind: other.Kind, Key: other.Key, Revision: laterEra(41), Endpoint: other.Endpoint}, outAgain}, 1, 1},
	} {
		s := restored([]kctport.RegistryChange{endpoint, other, out}, nil)
		soon := usableEndpoints(s, start)
		for _, change := range c.after {
			s.apply(start, change)
		}
		late := start.Add(lapseGrace + time.Millisecond)
		watched(s, late)
		s.expire(late)
		if n := usableEndpoints(s, late); soon != c.soon || n != c.late {
			t.Errorf("%s: %d endpoints and %d later, want %d and %d", name, soon, n, c.soon, c.late)
		}
	}
}

// TestMoveAfterRestore guards against a move that starts again, goes back to a former share, or whose status the operator never sees, because the copy from
// which the store has come back is older than its progress.
func TestMoveAfterRestore(t *testing.T) {
	request := kctport.RegistryChange{Kind: kctport.RecordMove, Key: "moves/s", Revision: revision(50), Value: []byte("request"), Move: &kctport.MoveRequest{Service: "s", To: "v2", Duration: time.Minute}}
	requestAt := func(r kctport.StoreRevision) kctport.RegistryChange {
		c := request
		c.Revision = r
		return c
	}
	progressAt := func(r kctport.StoreRevision, share float64, state kctport.MoveState) kctport.RegistryChange {
		p := &kctport.MoveProgress{
			Announced: state == kctport.MoveDone,
			Move:      kctport.Move{ID: "v2@50", Service: "s", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Minute), State: state, Share: share},
		}
		return kctport.RegistryChange{Kind: kctport.RecordProgress, Key: "progress/s", Revision: r, Progress: p, Value: []byte{byte(share * 100)}}
	}
	reader := kctport.RegistryChange{Kind: kctport.RecordReader, Key: "readers/a", Revision: laterEra(39), Reader: &kctport.EntryRecord{ID: "e", Zone: "a"}}
	running, done := progressAt(revision(58), 0.5, kctport.MoveRunning), progressAt(revision(58), 1, kctport.MoveDone)
	for name, c := range map[string]struct {
		progress       kctport.RegistryChange
		reading, after []kctport.RegistryChange
		// share is that of the new version, id the move's identifier as written, and expected the revision of the progress record over which it is written.
		share    float64
		id       string
		expected kctport.StoreRevision
	}{
		"the copy lacks its progress":          {running, []kctport.RegistryChange{requestAt(laterEra(50))}, nil, 0.5, "v2@50", kctport.StoreRevision{}},
		"the copy has older progress":          {running, []kctport.RegistryChange{requestAt(laterEra(50)), progressAt(laterEra(52), 0.1, kctport.MoveRunning)}, nil, 0.5, "v2@50", laterEra(52)},
		"the copy lacks it, it is asked again": {running, nil, []kctport.RegistryChange{requestAt(laterEra(41))}, 0.5, "v2@41", kctport.StoreRevision{}},
		"the copy lacks its end":               {done, []kctport.RegistryChange{requestAt(laterEra(50)), progressAt(laterEra(52), 0.5, kctport.MoveRunning)}, nil, 1, "v2@50", laterEra(52)},
	} {
		s := restored([]kctport.RegistryChange{request, c.progress}, append([]kctport.RegistryChange{reader}, c.reading...))
		for _, change := range c.after {
			s.apply(start, change)
		}
		share := s.moveShares(start)["s"].Share
		writes := s.decideMoves(start)
		if share != c.share || len(writes) != 1 {
			t.Errorf("%s: share %v and writes %+v, want %v and one", name, share, writes, c.share)
			continue
		}
		if w := writes[0]; w.progress.ID != c.id || w.progress.Share != c.share || w.progress.State != c.progress.Progress.State || !w.progress.Started.Equal(start) || w.expected != c.expected {
			t.Errorf("%s: %+v is written, want share %v of %s over revision %v", name, w, c.share, c.id, c.expected)
		}
		written := progressAt(laterEra(70), c.share, c.progress.Progress.State)
		written.Progress.ID = c.id
		s.apply(start, written)
		clear(s.mover.saving)
		if writes := s.decideMoves(start); len(writes) != 0 {
			t.Errorf("%s: written again after that: %+v", name, writes)
		}
	}
}

// TestDeadlineAfterRestore guards against a move whose deadline is counted from the moment when the operator has written its request again, because the copy
// from which the store has come back lacks it.
func TestDeadlineAfterRestore(t *testing.T) {
	request := kctport.RegistryChange{Kind: kctport.RecordMove, Key: "moves/s", Revision: revision(50), Value: []byte("request"), Move: &kctport.MoveRequest{Service: "s", To: "v2", Duration: time.Minute}}
	progress := kctport.RegistryChange{Kind: kctport.RecordProgress, Key: "progress/s", Revision: revision(58), Progress: &kctport.MoveProgress{
		Move: kctport.Move{ID: "v2@50", Service: "s", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Minute), State: kctport.MoveRunning, Share: 0.5},
	}}
	s := restored([]kctport.RegistryChange{request, progress}, nil)
	request.Revision = laterEra(41)
	s.apply(start.Add(time.Second), request)
	p := s.requestedMoves()["s"].progress
	if p == nil {
		t.Fatal("the move has no progress")
	}
	if deadline := s.local(p.Move).Deadline; !deadline.Equal(start.Add(time.Minute)) {
		t.Errorf("the deadline is %v after the request, want a minute", deadline.Sub(start))
	}
}
