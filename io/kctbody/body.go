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
	bodyBudget = 24 << 20
	// bodyStep is the number of bytes that are reserved at a time.
	bodyStep = 256 << 10
)

// Reader reads bodies within a budget of memory that they share; the zero value is ready to use, by several goroutines.
type Reader struct {
	mu   sync.Mutex
	used int
}

// reserve takes a step of the budget, or reports false when it is used up.
func (r *Reader) reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used+bodyStep > bodyBudget {
		return false
	}
	r.used += bodyStep
	return true
}

func (r *Reader) release(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= n
}

// Read reads a body of at most limit bytes to its end; an error wraps ErrMismatch for a longer one, or one for which there is no memory. Large bodies
// are read in steps, since a buffer that grows would leave several times their size for the garbage collector.
func (r *Reader) Read(from io.Reader, limit int) ([]byte, error) {
	first := min(freeBody, limit+1)
	body, err := io.ReadAll(io.LimitReader(from, int64(first)))
	if err != nil || len(body) < first {
		return body, err
	}
	steps, size := [][]byte{body}, len(body)
	defer func() { r.release((len(steps) - 1) * bodyStep) }()
	for size <= limit {
		if !r.reserve() {
			return nil, eris.Wrapf(kctport.ErrMismatch, "answer of more than %d bytes while others take the memory for such bodies", size)
		}
		step := make([]byte, bodyStep)
		n, err := fill(step, from)
		steps, size = append(steps, step[:n]), size+n
		if err == io.EOF && size <= limit {
			return bytes.Join(steps, nil), nil
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
	}
	return nil, eris.Wrapf(kctport.ErrMismatch, "answer of more than %d bytes", limit)
}

// fill reads until the buffer is full. Unlike io.ReadFull it returns io.EOF at the end of the body, and so leaves io.ErrUnexpectedEOF for a body that
// breaks off.
func fill(buffer []byte, from io.Reader) (int, error) {
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
