package kctlimit

import (
	"container/heap"
	"time"
)

// waiter is a request in the queue of a gate, or one that has left it.
type waiter struct {
	urgent   bool
	deadline time.Time
	index    int // position in the heap, -1 when not queued
	permit   *permit
	// ready holds at most one signal: slot granted, evicted, or poll again.
	ready chan struct{}
}

// before orders urgent requests first, then by deadline.
func (w *waiter) before(o *waiter) bool {
	if w.urgent != o.urgent {
		return w.urgent
	}
	return w.deadline.Before(o.deadline)
}

// wake signals the waiter unless a signal is already pending.
func (w *waiter) wake() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// queue is a heap of waiters with the highest priority first.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

func (q *queue) add(w *waiter) { heap.Push(q, w) }

// popFirst removes and returns the waiter of the highest priority.
func (q *queue) popFirst() *waiter { return heap.Pop(q).(*waiter) }

// remove removes a waiter if it is still queued.
func (q *queue) remove(w *waiter) {
	if w.index >= 0 {
		heap.Remove(q, w.index)
	}
}

// lowest returns the waiter of the lowest priority.
func (q queue) lowest() *waiter {
	l := q[0]
	for _, w := range q[1:] {
		if l.before(w) {
			l = w
		}
	}
	return l
}

// aheadOf returns the number of waiters of higher priority than w.
func (q queue) aheadOf(w *waiter) int {
	n := 0
	for _, o := range q {
		if o.before(w) {
			n++
		}
	}
	return n
}
