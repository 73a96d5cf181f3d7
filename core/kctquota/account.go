package kctquota

import (
	"container/list"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

const (
	// stallTime is how long an answer makes no progress until its connection may give way to others.
	stallTime = 500 * time.Millisecond
	// ageBase is added to the age of a request in the comparison of what requests hold, so that a new one counts too.
	ageBase = 100 * time.Millisecond
	// returnShare bounds the memory that connections which gave way have not given back yet, and how many of them are answered: the bounds divided by it.
	returnShare = 4
)

// Bounds bound what all clients hold together.
type Bounds struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the memory of requests and answers, beyond a first part that belongs to each connection.
	Bytes int
}

// Timeouts bound how long a connection may stay in a phase.
type Timeouts struct {
	// Idle bounds the time between two requests, Head the reading of a head from its first byte on.
	Idle, Head time.Duration
	// Stall bounds the time in which a body or an answer makes no progress.
	Stall time.Duration
}

// Reason is why a client was refused or a connection closed.
type Reason string

// The reasons for which clients are refused.
const (
	// ReasonConnections and ReasonMemory are a want of places and of memory.
	ReasonConnections Reason = "connections"
	ReasonMemory      Reason = "memory"
	// ReasonIdle, ReasonHead and ReasonStall are the timeouts of Timeouts.
	ReasonIdle  Reason = "idle"
	ReasonHead  Reason = "head"
	ReasonStall Reason = "stall"
	// ReasonDeadline is a body that has not arrived by the time at which its client stops waiting.
	ReasonDeadline Reason = "deadline"
	// ReasonSize is a head or a body above its limit.
	ReasonSize Reason = "size"
)

// Group names the clients at one address of one listener. When something is short, the group that holds most of it gives way first.
type Group struct {
	Listener string
	Address  netip.Addr
}

// group holds the connections of a Group.
type group struct {
	key     Group
	holders map[*Holder]struct{}
	bytes   int
	// fresh holds the connections on which no request has been answered yet, served those with one, both in the order in which they may give way, and
	// answering those to which an answer is being written, the earliest first.
	fresh, served, answering list.List
}

// Account holds what clients have taken; it is safe for concurrent use.
type Account struct {
	bounds Bounds
	// observe is called with each refused client and each connection that gave way.
	observe func(listener string, reason Reason)

	mu     sync.Mutex
	groups map[Group]*group
	// connections and bytes are what all holders have; leavingConnections and leavingBytes are the part of those that gave way.
	connections, leavingConnections int
	bytes, leavingBytes             int
	// returned is signalled when a connection that gave way has given something back.
	returned sync.Cond
}

// Option configures an Account.
type Option func(*Account)

// WithObserver sets the function that is called, with the account locked, for each refused client and each connection that gave way.
func WithObserver(observe func(listener string, reason Reason)) Option {
	return func(a *Account) { a.observe = observe }
}

// New returns an Account without holders.
func New(bounds Bounds, opts ...Option) *Account {
	a := &Account{bounds: bounds, observe: func(string, Reason) {}, groups: map[Group]*group{}}
	a.returned.L = &a.mu
	for _, o := range opts {
		o(a)
	}
	return a
}

// Usage is what clients hold together.
type Usage struct {
	Connections, Bytes int
}

// Usage returns what clients hold together.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{a.connections, a.bytes}
}

// Open takes a place for a connection; interrupt ends the connection when it gives way, must not block and must not call the account. With answer set, there is
// time for an answer to the request whose body is being read; otherwise the connection must be closed at once. The error wraps ErrShed when no other connection
// gives way to this one.
func (a *Account) Open(now time.Time, key Group, interrupt func(answer bool, reason Reason)) (*Holder, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connections-a.leavingConnections >= a.bounds.Connections {
		v := a.nextToClose(key, now)
		if v == nil {
			a.refused(key.Listener, ReasonConnections)
			return nil, eris.Wrapf(kctport.ErrShed, "%d connections are open", a.connections)
		}
		a.giveWay(v, ReasonConnections)
	}
	g := a.groups[key]
	if g == nil {
		g = &group{key: key, holders: map[*Holder]struct{}{}}
		a.groups[key] = g
	}
	h := &Holder{account: a, group: g, interrupt: interrupt, since: now}
	h.Progress(now)
	g.holders[h] = struct{}{}
	h.join(&g.fresh)
	a.connections++
	return h, nil
}

// Expire makes the connections of a listener give way that have exceeded a timeout.
func (a *Account) Expire(now time.Time, listener string, t Timeouts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, g := range a.groups {
		if key.Listener != listener {
			continue
		}
		for h := range g.holders {
			if reason := h.expired(now, t); reason != "" && !h.gaveWay {
				a.giveWay(h, reason)
			}
		}
	}
}

// expired returns the timeout that a connection has exceeded, empty for none; the caller holds the lock.
func (h *Holder) expired(now time.Time, t Timeouts) Reason {
	switch {
	case h.phase == Idle && now.Sub(h.since) > t.Idle:
		return ReasonIdle
	case h.phase == Head && now.Sub(h.since) > t.Head:
		return ReasonHead
	case (h.phase == Body || h.phase == Answering) && h.stalled(now, t.Stall):
		return ReasonStall
	case h.phase == Body && !h.deadline.IsZero() && now.After(h.deadline):
		return ReasonDeadline
	}
	return ""
}

func (a *Account) refused(listener string, reason Reason) { a.observe(listener, reason) }

// giveWay interrupts a connection; what it has counts as free from now on.
func (a *Account) giveWay(h *Holder, reason Reason) {
	h.gaveWay = true
	h.leave()
	a.leavingConnections++
	a.leavingBytes += h.bytes
	a.refused(h.group.key.Listener, reason)
	// Connections that are answered stay open for a moment, so that only some of them can be.
	h.interrupt(h.phase == Body && reason != ReasonConnections && a.leavingConnections <= a.bounds.Connections/returnShare, reason)
	// It may itself be waiting for memory.
	a.returned.Broadcast()
}

// add changes what a connection holds.
func (a *Account) add(h *Holder, size int) {
	h.bytes += size
	h.group.bytes += size
	a.bytes += size
	if h.gaveWay {
		a.leavingBytes += size
		a.returned.Broadcast()
	}
}

// nextToClose returns the connection that gives its place to a new one of a group, nil for none. A group gives way only to smaller ones and to itself. In it,
// answers that are not read come first, then the connection that has waited longest without an answered request, then the one idle for longest.
func (a *Account) nextToClose(key Group, now time.Time) *Holder {
	newcomers := 0
	if g := a.groups[key]; g != nil {
		newcomers = len(g.holders)
	}
	var next *Holder
	largest := 0
	for k, g := range a.groups {
		size := len(g.holders)
		if size <= largest || k != key && size <= newcomers {
			continue
		}
		if h := g.first(now); h != nil {
			next, largest = h, size
		}
	}
	return next
}

// first returns the connection of the group that gives way first, nil for none.
func (g *group) first(now time.Time) *Holder {
	if e := g.answering.Front(); e != nil && e.Value.(*Holder).stalled(now, stallTime) {
		return e.Value.(*Holder)
	}
	for _, l := range []*list.List{&g.fresh, &g.served} {
		if e := l.Front(); e != nil {
			return e.Value.(*Holder)
		}
	}
	return nil
}

// weight compares what requests hold: much for long weighs most.
func (h *Holder) weight(now time.Time, size int) float64 {
	return float64(size) * float64(now.Sub(h.since)+ageBase)
}

// mayGiveMemory reports whether a connection can give up its memory.
func (h *Holder) mayGiveMemory(now time.Time) bool {
	switch {
	case h.gaveWay || h.bytes == 0:
		return false
	case h.phase == Answering:
		return h.stalled(now, stallTime)
	}
	return h.phase == Head || h.phase == Body
}

// heaviest returns the connection that gives its memory to one that asks for more, which may be that one itself. It is the heaviest of the group that would
// hold most.
func (a *Account) heaviest(asking *Holder, size int, now time.Time) *Holder {
	var best *Holder
	most := -1
	for _, g := range a.groups {
		held := g.bytes
		if g == asking.group {
			held += size
		}
		if held <= most {
			continue
		}
		if h := g.heaviest(asking, size, now); h != nil {
			best, most = h, held
		}
	}
	return best
}

// heaviest returns the heaviest connection of the group that can give up its memory, or the one that asks for more if it is of the group and would be heavier;
// nil for none.
func (g *group) heaviest(asking *Holder, size int, now time.Time) *Holder {
	var heaviest *Holder
	most := 0.0
	if asking.group == g {
		heaviest, most = asking, asking.weight(now, asking.bytes+size)
	}
	for h := range g.holders {
		if w := h.weight(now, h.bytes); h != asking && w > most && h.mayGiveMemory(now) {
			heaviest, most = h, w
		}
	}
	return heaviest
}

// heaviestStalled returns the heaviest of the connections whose answer is not read, nil for none.
func (a *Account) heaviestStalled(now time.Time) *Holder {
	var heaviest *Holder
	for _, g := range a.groups {
		for e := g.answering.Front(); e != nil; e = e.Next() {
			if h := e.Value.(*Holder); h.mayGiveMemory(now) && (heaviest == nil || h.bytes > heaviest.bytes) {
				heaviest = h
			}
		}
	}
	return heaviest
}
