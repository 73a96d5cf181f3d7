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
