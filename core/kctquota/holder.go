package kctquota

import (
	"container/list"
	"sync/atomic"
	"time"
)

// Phase is what a connection is used for at a moment.
type Phase int

// The phases of a connection, in the order in which a request goes through them.
const (
	// Idle is the time between two requests.
	Idle Phase = iota
	// Head and Body are the reading of a request.
	Head
	Body
	// Running is the time from the end of a request to its answer; a connection doesn't give way then.
	Running
	// Answering is the writing of the answer.
	Answering
)

// Holder is the share of one connection in an Account; it is safe for concurrent use.
type Holder struct {
	account *Account
	group   *group
	// interrupt ends the connection's use. It is called once, with the account locked, so that it must neither block nor call the account.
	interrupt func(answer bool, reason Reason)
	// progressed is the time in Unix nanoseconds at which bytes were last received or sent.
	progressed atomic.Int64

	// The lock of the account guards the fields below.
	phase Phase
	bytes int
	// since is when the connection became idle, or when the request that is being read began.
	since time.Time
	// deadline is when the client of the request that is being read stops waiting, zero when it is not known.
	deadline time.Time
	gaveWay  bool
	closed   bool
	// admitted is set when the connection takes no place.
	admitted bool
	// element is the place in one of the group's lists, nil outside of them.
	element *list.Element
	in      *list.List
}

// Begin records the first byte of a request.
func (h *Holder) Begin(now time.Time) {
	h.Progress(now)
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.phase, h.since = Head, now
}

// ReadBody records that the head of a request has been read.
func (h *Holder) ReadBody(now time.Time) {
	h.Progress(now)
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.phase == Idle {
		h.since = now
	}
	h.phase, h.deadline = Body, time.Time{}
}

// WaitUntil sets the time at which the client of the request that is being read stops waiting.
func (h *Holder) WaitUntil(deadline time.Time) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.deadline = deadline
}

// Run records that the request has been read, and reports whether it may be served; the connection may have given way meanwhile.
func (h *Holder) Run() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.gaveWay {
		return false
	}
	h.phase = Running
	h.leave()
	return true
}

// Admit records that the connection is that of another entry and doesn't give way any more, and reports false when it has already. It gives back its place,
// since the number of entries follows from the fleet, and what it held.
func (h *Holder) Admit() bool {
	if !h.Run() {
		return false
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.admitted && !h.closed {
		h.admitted = true
		a.connections--
		a.add(h, -h.bytes)
	}
	return true
}

// Answer replaces what the request holds by the size of its answer in bytes, which is written from now on. It is never refused, since the answer is there.
func (h *Holder) Answer(now time.Time, size int) {
	h.Progress(now)
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	a.add(h, size-h.bytes)
	h.phase = Answering
	if h.gaveWay {
		// This is its refusal.
		return
	}
	h.join(&h.group.answering)
	for a.bytes-a.leavingBytes > a.bounds.Bytes {
		v := a.heaviestStalled(now)
		if v == nil {
			return
		}
		a.giveWay(v, ReasonMemory)
	}
}

// Rest records that the connection has no request any more, and gives back what the last one held.
func (h *Holder) Rest(now time.Time) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	a.add(h, -h.bytes)
	h.phase, h.since = Idle, now
	if !h.gaveWay {
		h.join(&h.group.served)
	}
}

// Progress records that bytes were received or sent.
func (h *Holder) Progress(now time.Time) { h.progressed.Store(now.UnixNano()) }

// Take takes memory in bytes, and reports whether there is any for this connection. It may wait for the memory of connections that give way.
func (h *Holder) Take(now time.Time, size int) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for !h.gaveWay && !h.closed {
		if a.bytes-a.leavingBytes+size <= a.bounds.Bytes {
			if a.bytes+size <= a.bounds.Bytes+a.bounds.Bytes/returnShare {
				a.add(h, size)
				return true
			}
			a.returned.Wait()
			continue
		}
		v := a.heaviest(h, size, now)
		if v == nil || v == h {
			a.refused(h.group.key.Listener, ReasonMemory)
			return false
		}
		a.giveWay(v, ReasonMemory)
	}
	return false
}

// Give gives memory in bytes back.
func (h *Holder) Give(size int) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.add(h, -min(size, h.bytes))
}

// Close gives back all that the connection holds, and its place.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	a.add(h, -h.bytes)
	h.leave()
	if !h.admitted {
		a.connections--
	}
	if h.gaveWay {
		a.leavingConnections--
	}
	delete(h.group.holders, h)
	if len(h.group.holders) == 0 {
		delete(a.groups, h.group.key)
	}
	a.returned.Broadcast()
}

// leave takes the connection out of the list of its group; the caller holds the lock.
func (h *Holder) leave() {
	if h.element != nil {
		h.in.Remove(h.element)
		h.element, h.in = nil, nil
	}
}

// join puts the connection at the end of a list of its group; the caller holds the lock.
func (h *Holder) join(l *list.List) {
	h.leave()
	h.element, h.in = l.PushBack(h), l
}

// stalled reports whether the connection has made no progress for a time.
func (h *Holder) stalled(now time.Time, limit time.Duration) bool {
	return now.UnixNano()-h.progressed.Load() > int64(limit)
}
