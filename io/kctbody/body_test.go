package kctbody

import (
	"bytes"
	"errors"
	"io"
	"testing"

	kctport "kingcupturn"
)

// repeated is a body of a number of bytes that ends with an error.
type repeated struct {
	left int
	err  error
}

func (r *repeated) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, r.err
	}
	n := min(len(b), r.left, 1000)
	copy(b, bytes.Repeat([]byte{'b'}, n))
	r.left -= n
	return n, nil
}

// TestRead guards against a body that is cut at its bound or at a step and returned as whole, and against memory that is not given back.
func TestRead(t *testing.T) {
	const limit = 1 << 20
	var r Reader
	for _, size := range []int{0, 1, freeBody - 1, freeBody, freeBody + 1, freeBody + bodyStep, limit - 1, limit} {
		if body, err := r.Read(&repeated{size, io.EOF}, limit); err != nil || len(body) != size {
			t.Errorf("%d bytes, %v; want %d", len(body), err, size)
		}
		if _, err := r.Read(&repeated{size, io.ErrUnexpectedEOF}, limit); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("error %v of a body that breaks off after %d bytes, want unexpected EOF", err, size)
		}
	}
	for _, bound := range []int{10, limit} {
		if _, err := r.Read(&repeated{bound + 1, io.EOF}, bound); !errors.Is(err, kctport.ErrMismatch) {
			t.Errorf("error %v of a body above its bound of %d, want ErrMismatch", err, bound)
		}
	}
	if r.used != 0 {
		t.Errorf("%d bytes are reserved after the last body, want 0", r.used)
	}
}

// TestBudget guards against bodies that together take more than the budget, and against small ones that fail beside them.
func TestBudget(t *testing.T) {
	r := Reader{used: bodyBudget}
	if _, err := r.Read(&repeated{freeBody + 1, io.EOF}, 1<<20); !errors.Is(err, kctport.ErrMismatch) {
		t.Errorf("error %v of a large body without memory for it, want ErrMismatch", err)
	}
	if body, err := r.Read(&repeated{freeBody - 1, io.EOF}, 1<<20); err != nil || len(body) != freeBody-1 {
		t.Errorf("small body of %d bytes, %v", len(body), err)
	}
}

// endless is a body that never ends; after its last full step it waits for the end of the test.
type endless struct {
	left int
	full chan<- struct{}
	end  <-chan struct{}
}

func (e *endless) Read(b []byte) (int, error) {
	if e.left == 0 {
		e.full <- struct{}{}
		<-e.end
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(b), e.left)
	e.left -= n
	return n, nil
}

// TestBodiesWithoutEndGiveWay guards against sound bodies that are refused because bodies without end have taken all memory for such bodies, and against
// memory beyond the budget.
func TestBodiesWithoutEndGiveWay(t *testing.T) {
	const bodies, steps = 8, 8
	var r Reader
	full, end, ended := make(chan struct{}), make(chan struct{}), make(chan error, bodies)
	for range bodies {
		go func() {
			_, err := r.Read(&endless{left: freeBody + steps*bodyStep - 1, full: full, end: end}, bodyBudget)
			ended <- err
		}()
	}
	for range bodies {
		<-full
	}
	if r.used != bodyBudget {
		t.Fatalf("%d bytes are reserved, want all %d", r.used, bodyBudget)
	}
	for range 3 {
		size := freeBody + bodyStep + 1
		if body, err := r.Read(&repeated{size, io.EOF}, 1<<20); err != nil || len(body) != size {
			t.Errorf("%d bytes, %v; want %d", len(body), err, size)
		}
	}
	if r.used > bodyBudget {
		t.Errorf("%d bytes are reserved, want at most %d", r.used, bodyBudget)
	}
	if _, err := r.Read(&repeated{bodyBudget, io.EOF}, bodyBudget); !errors.Is(err, kctport.ErrMismatch) {
		t.Errorf("error %v of a body larger than those that are being read, want ErrMismatch", err)
	}
	close(end)
	for range bodies {
		if err := <-ended; err == nil {
			t.Error("a body that breaks off is whole")
		}
	}
	if r.used != 0 || len(r.open) != 0 {
		t.Errorf("%d bytes of %d bodies are reserved after the last one, want 0", r.used, len(r.open))
	}
}
