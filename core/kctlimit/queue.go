package kctlimit

import (
	"container/heap"
	"time"
)

// waiter is a request in the queue of a gate.
type waiter struct {
	urgent   bool
	deadline time.Time
	index    int // position in the queue, -1 when it has left
	permit   *permit
	// ready has room for one signal: granted, evicted, or look again.
	ready chan struct{}
}

// before orders by urgency, then deadline.
func (w *waiter) before(o *waiter) bool {
	if w.urgent != o.urgent {
		return w.urgent
	}
	return w.deadline.Before(o.deadline)
}

// wake signals the waiter; a signal that is already pending serves as well.
func (w *waiter) wake() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// queue is a heap of waiters with the most pressing one first.
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

// add puts a waiter in.
func (q *queue) add(w *waiter) { heap.Push(q, w) }

// popFirst takes the most pressing waiter out.
func (q *queue) popFirst() *waiter { return heap.Pop(q).(*waiter) }

// remove takes a waiter out if it is still there.
func (q *queue) remove(w *waiter) {
	if w.index >= 0 {
		heap.Remove(q, w.index)
	}
}

// lowest returns the least pressing waiter.
func (q queue) lowest() *waiter {
	l := q[0]
	for _, w := range q[1:] {
		if l.before(w) {
			l = w
		}
	}
	return l
}

// aheadOf returns the number of waiters that go before w.
func (q queue) aheadOf(w *waiter) int {
	n := 0
	for _, o := range q {
		if o.before(w) {
			n++
		}
	}
	return n
}
