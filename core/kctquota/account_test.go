package kctquota

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
)

var (
	crowd    = Group{"callers", netip.MustParseAddr("10.0.0.1")}
	ordinary = Group{"callers", netip.MustParseAddr("10.0.0.2")}
	checks   = Group{"readiness", netip.MustParseAddr("10.0.0.1")}
	start    = time.Unix(1000, 0)
)

// clients opens connections by name and records which gave way and why.
type clients struct {
	t       *testing.T
	account *Account
	held    map[string]*Holder
	gone    []string
}

func newClients(t *testing.T, b Bounds) *clients {
	return &clients{t: t, account: New(b), held: map[string]*Holder{}}
}

// open opens a connection, which gives back what it holds as soon as it has to give way.
func (c *clients) open(name string, key Group, at time.Duration) error {
	h, err := c.account.Open(start.Add(at), key, func(_ bool, reason Reason) {
		c.gone = append(c.gone, name+" "+string(reason))
		held := c.held[name]
		go held.Close()
	})
	c.held[name] = h
	return err
}

// serve carries a request from its first byte to its answer.
func (c *clients) serve(name string, at time.Duration) {
	h := c.held[name]
	h.Begin(start.Add(at))
	h.ReadBody(start.Add(at))
	h.Run()
	h.Answer(start.Add(at), 0)
	h.Rest(start.Add(at))
}

func (c *clients) wantGone(names ...string) {
	c.t.Helper()
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if !slices.Equal(c.gone, names) {
		c.t.Errorf("gave way: %q, want %q", c.gone, names)
	}
}

// TestPlaces guards against a crowd that keeps others out: a new connection takes the place of one of the largest group, first of one on which nothing has been
// answered, and never of one whose request runs.
func TestPlaces(t *testing.T) {
	c := newClients(t, Bounds{Connections: 6, Bytes: 1 << 20})
	for i := range 5 {
		if err := c.open(fmt.Sprint("crowd", i), crowd, time.Duration(i)); err != nil {
			t.Fatal(err)
		}
	}
	c.serve("crowd0", 10)
	c.held["crowd1"].Begin(start)
	c.held["crowd1"].Run()
	if err := c.open("one", ordinary, 20); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		name string
		key  Group
		gone string
	}{{"two", ordinary, "crowd2"}, {"check", checks, "crowd3"}, {"three", crowd, "crowd4"}, {"four", crowd, "three"}, {"five", crowd, "four"}} {
		c.gone = nil
		if err := c.open(step.name, step.key, 30); err != nil {
			t.Errorf("%s: %v", step.name, err)
		}
		c.wantGone(step.gone + " connections")
	}
}

// TestPlacesOfRunningRequests guards against a request that is cut off for a new connection.
func TestPlacesOfRunningRequests(t *testing.T) {
	c := newClients(t, Bounds{Connections: 2, Bytes: 1})
	for _, name := range []string{"a", "b"} {
		if err := c.open(name, crowd, 0); err != nil {
			t.Fatal(err)
		}
		c.held[name].Run()
	}
	if err := c.open("c", ordinary, 1); !errors.Is(err, kctport.ErrShed) {
		t.Errorf("error %v, want ErrShed", err)
	}
	c.held["a"].Answer(start, 0)
	if err := c.open("d", ordinary, 2*stallTime); err != nil {
		t.Errorf("an answer that is not read keeps its place: %v", err)
	}
	c.wantGone("a connections")
}

// TestMemory guards against a client that holds much for long and makes others give way, or a new one that is refused for it.
func TestMemory(t *testing.T) {
	c := newClients(t, Bounds{Connections: 10, Bytes: 1000})
	take := func(name string, key Group, at time.Duration, size int) bool {
		if c.held[name] == nil {
			if err := c.open(name, key, at); err != nil {
				t.Fatal(err)
			}
			c.held[name].Begin(start.Add(at))
			c.held[name].ReadBody(start.Add(at))
		}
		return c.held[name].Take(start.Add(at), size)
	}
	for _, step := range []struct {
		name string
		key  Group
		at   time.Duration
		size int
		ok   bool
	}{
		{"old", crowd, 0, 400, true},
		{"large", crowd, time.Second, 500, true},
		{"small", ordinary, 2 * time.Second, 50, true},
		// The heaviest of the larger group gives way: old has held 400 for 4 s, large 500 for 3 s.
		{"other", ordinary, 4 * time.Second, 100, true},
		// What would hold most itself is refused.
		{"small", ordinary, 4 * time.Second, 900, false},
	} {
		if got := take(step.name, step.key, step.at, step.size); got != step.ok {
			t.Errorf("%s takes %d: %v, want %v", step.name, step.size, got, step.ok)
		}
	}
	c.wantGone("old memory")
}

// TestMemoryOfRunningRequests guards against requests that are forwarded and give way, and against answers that nobody reads and that keep others out.
func TestMemoryOfRunningRequests(t *testing.T) {
	c := newClients(t, Bounds{Connections: 10, Bytes: 1000})
	for _, name := range []string{"running", "answered", "new"} {
		if err := c.open(name, crowd, 0); err != nil {
			t.Fatal(err)
		}
		c.held[name].ReadBody(start)
	}
	if !c.held["running"].Take(start, 600) || !c.held["running"].Run() || !c.held["answered"].Run() {
		t.Fatal("nothing is held, but a request is refused")
	}
	c.held["answered"].Answer(start, 500)
	if c.held["new"].Take(start, 100) {
		t.Error("more is held than the bound")
	}
	if !c.held["new"].Take(start.Add(2*stallTime), 100) {
		t.Error("an answer that nobody reads doesn't give way")
	}
	c.wantGone("answered memory")
}

// TestExpiry guards against connections that keep their place without progress, and against a slow request that is cut off within its limits.
func TestExpiry(t *testing.T) {
	timeouts := Timeouts{Idle: 10 * time.Second, Head: 3 * time.Second, Stall: 10 * time.Second}
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, r := range map[string]struct {
		do   func(*Holder)
		ends float64
		want Reason
	}{
		"silent":        {func(*Holder) {}, 10, ReasonIdle},
		"head":          {func(h *Holder) { h.Begin(at(4)); h.Progress(at(6)) }, 7, ReasonHead},
		"body":          {func(h *Holder) { h.Begin(at(1)); h.ReadBody(at(2)); h.Progress(at(11)) }, 21, ReasonStall},
		"body too late": {func(h *Holder) { h.ReadBody(at(2)); h.WaitUntil(at(9)); h.Progress(at(8)) }, 9, ReasonDeadline},
		"running":       {func(h *Holder) { h.ReadBody(at(2)); h.WaitUntil(at(9)); h.Run() }, 1e6, ""},
		"answer":        {func(h *Holder) { h.Run(); h.Answer(at(5), 1); h.Progress(at(6)) }, 16, ReasonStall},
		"idle again":    {func(h *Holder) { h.Run(); h.Answer(at(5), 1); h.Rest(at(6)) }, 16, ReasonIdle},
	} {
		t.Run(name, func(t *testing.T) {
			account := New(Bounds{Connections: 1, Bytes: 1})
			var got Reason
			h, err := account.Open(start, crowd, func(_ bool, reason Reason) { got = reason })
			if err != nil {
				t.Fatal(err)
			}
			r.do(h)
			account.Expire(at(r.ends), crowd.Listener, timeouts)
			account.Expire(at(1e6), "another", timeouts)
			if got != "" {
				t.Errorf("ended for %q within the limits", got)
			}
			account.Expire(at(r.ends+0.1), crowd.Listener, timeouts)
			if got != r.want {
				t.Errorf("ended for %q, want %q", got, r.want)
			}
		})
	}
}

// TestAccountReturnsToZero guards against memory and places that are not given back, and against a wait for them that never ends.
func TestAccountReturnsToZero(t *testing.T) {
	account := New(Bounds{Connections: 20, Bytes: 10_000})
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			gone := make(chan struct{})
			h, err := account.Open(time.Now(), crowd, func(bool, Reason) { close(gone) })
			if err != nil {
				return
			}
			defer h.Close()
			h.Begin(time.Now())
			h.ReadBody(time.Now())
			for range 5 {
				if !h.Take(time.Now(), 100+i) {
					return
				}
				select {
				case <-gone:
					return
				case <-time.After(time.Millisecond):
				}
			}
			if i%2 == 0 && h.Run() {
				h.Answer(time.Now(), 500)
				h.Rest(time.Now())
			}
		})
	}
	group.Wait()
	if usage := account.Usage(); usage != (Usage{}) || len(account.groups) != 0 || account.leavingBytes != 0 || account.leavingConnections != 0 {
		t.Errorf("%+v is held by nobody: %+v", usage, account)
	}
}

// TestGivesWayOnce guards against a connection that gives way for its body, answers its refusal, which nobody reads, and is then counted as leaving once more,
// so that the bounds hold no longer.
func TestGivesWayOnce(t *testing.T) {
	account := New(Bounds{Connections: 1, Bytes: 1})
	gone := 0
	h, err := account.Open(start, crowd, func(bool, Reason) { gone++ })
	if err != nil {
		t.Fatal(err)
	}
	h.ReadBody(start)
	account.Expire(start.Add(time.Minute), crowd.Listener, Timeouts{Stall: time.Second})
	h.Answer(start.Add(time.Minute), 10)
	other, err := account.Open(start.Add(time.Hour), ordinary, func(bool, Reason) {})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := account.Open(start.Add(time.Hour), crowd, func(bool, Reason) {}); !errors.Is(err, kctport.ErrShed) {
		t.Errorf("a place that is already given is given again: error %v", err)
	}
	other.Close()
	h.Close()
	if gone != 1 || account.leavingConnections != 0 || account.leavingBytes != 0 {
		t.Errorf("gave way %d times; %d connections and %d bytes count as leaving", gone, account.leavingConnections, account.leavingBytes)
	}
}

// TestClosedConnectionHoldsNothing guards against memory that is taken for a connection after its end and never given back, as for a message of another entry
// whose session is lost meanwhile.
func TestClosedConnectionHoldsNothing(t *testing.T) {
	account := New(Bounds{Connections: 1, Bytes: 1000})
	h, err := account.Open(start, crowd, func(bool, Reason) {})
	if err != nil {
		t.Fatal(err)
	}
	h.Admit()
	h.Close()
	if h.Take(start, 100) {
		t.Error("a closed connection takes memory")
	}
	h.Answer(start, 100)
	h.Rest(start)
	if usage := account.Usage(); usage != (Usage{}) {
		t.Errorf("%+v is held by nobody", usage)
	}
}
