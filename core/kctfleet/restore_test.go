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
