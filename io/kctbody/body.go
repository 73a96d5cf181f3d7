package kctbody

import (
	"bytes"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

const (
	// freeBody is the part of each body in bytes that is read without a reservation.
	freeBody = 64 << 10
	// bodyBudget bounds the larger bodies in bytes that are being read at the same time, so that bodies without end can't take the memory of the
	// process.
	bodyBudget = 16 << 20
	// bodyStep is the number of bytes that are reserved at a time.
	bodyStep = 256 << 10
)

// Reader reads bodies within a budget of memory that they share; the zero value is ready to use, by several goroutines. When the budget is used up, the
// largest body gives way to smaller ones, so that bodies without end don't keep others from being read.
type Reader struct {
	mu   sync.Mutex
	used int
	// open holds the bodies with reservations.
	open map[*reading]struct{}
	// free holds steps that are not in use while others are. As garbage they could add up to several budgets before they are collected.
	free []*[bodyStep]byte
	// heads holds the memory for the first parts of former bodies.
	heads sync.Pool
}

// reading is a body that is being read; the lock of its Reader guards its steps and givenUp.
type reading struct {
	// steps are the reservations; all but the last are full.
	steps []*[bodyStep]byte
	// givenUp is set when the body gave way to a smaller one.
	givenUp bool
}

// reserve takes a step of the budget for a body, or returns nil when there is none for it.
func (r *Reader) reserve(b *reading) *[bodyStep]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.givenUp || r.used+bodyStep > bodyBudget && !r.giveUpLargest(b) {
		return nil
	}
	r.used += bodyStep
	step := new([bodyStep]byte)
	if last := len(r.free) - 1; last >= 0 {
		step = r.free[last]
		r.free = r.free[:last]
	}
	b.steps = append(b.steps, step)
	if r.open == nil {
		r.open = map[*reading]struct{}{}
	}
	r.open[b] = struct{}{}
	return step
}

// giveUpLargest makes the largest body give way to a smaller one, and reports whether that freed a step. The last step of the body that gives way may be
// written to until its read ends. The caller holds the lock.
func (r *Reader) giveUpLargest(smaller *reading) bool {
	var largest *reading
	for b := range r.open {
		if !b.givenUp && (largest == nil || len(b.steps) > len(largest.steps)) {
			largest = b
		}
	}
	if largest == nil || largest == smaller || len(largest.steps) < 2 || len(largest.steps) <= len(smaller.steps) {
		return false
	}
	largest.givenUp = true
	last := len(largest.steps) - 1
	r.release(largest.steps[:last])
	largest.steps = largest.steps[last:]
	return true
}

// release gives steps back to the budget; the caller holds the lock.
func (r *Reader) release(steps []*[bodyStep]byte) {
	r.used -= len(steps) * bodyStep
	r.free = append(r.free, steps...)
	if r.used == 0 {
		r.free = nil
	}
}

// end gives back what a body still has.
func (r *Reader) end(b *reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, b)
	r.release(b.steps)
	b.steps = nil
}

// join returns the body, which ends with a part of its last step, or false when it gave way to a smaller one.
func (r *Reader) join(b *reading, head []byte, tail int) ([]byte, bool) {
	r.mu.Lock()
	givenUp := b.givenUp
	// A body that has been read to its end doesn't give way any more.
	delete(r.open, b)
	r.mu.Unlock()
	if givenUp {
		return nil, false
	}
	parts := [][]byte{head}
	for i, step := range b.steps {
		part := step[:]
		if i == len(b.steps)-1 {
			part = step[:tail]
		}
		parts = append(parts, part)
	}
	return bytes.Join(parts, nil), true
}

// Read reads a body of at most limit bytes to its end; an error wraps ErrMismatch for a longer one, or one for which there is no memory. Large bodies
// are read in steps, since a buffer that grows would leave several times their size for the garbage collector.
func (r *Reader) Read(from io.Reader, limit int) ([]byte, error) {
	head, ok := r.heads.Get().(*[freeBody]byte)
	if !ok {
		head = new([freeBody]byte)
	}
	defer r.heads.Put(head)
	size, err := Fill(head[:min(freeBody, limit+1)], from)
	if err == io.EOF {
		return bytes.Clone(head[:size]), nil
	}
	if err != nil {
		return nil, err
	}
	b := &reading{}
	defer r.end(b)
	first := size
	for size <= limit {
		step := r.reserve(b)
		if step == nil {
			return nil, noMemory(size)
		}
		n, err := Fill(step[:], from)
		size += n
		if err == io.EOF && size <= limit {
			body, ok := r.join(b, head[:first], n)
			if !ok {
				return nil, noMemory(size)
			}
			return body, nil
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
	}
	return nil, eris.Wrapf(kctport.ErrMismatch, "answer of more than %d bytes", limit)
}

func noMemory(size int) error {
	return eris.Wrapf(kctport.ErrMismatch, "answer of more than %d bytes while others take the memory for such bodies", size)
}

// Fill reads until the buffer is full. Unlike io.ReadFull it returns io.EOF at the end of the body, and so leaves io.ErrUnexpectedEOF for a body that
// breaks off.
func Fill(buffer []byte, from io.Reader) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := from.Read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
