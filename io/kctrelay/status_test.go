package kctrelay

import (
	"errors"
	"testing"

	kctport "kingcupturn"
)

// TestRelayedStatus guards against a status that is none and that another entry passes on.
func TestRelayedStatus(t *testing.T) {
	for status, sound := range map[int]bool{0: false, 99: false, 100: true, 200: true, 599: true, 600: false, 999: false} {
		r, err := decodeResult(encodeResult(1, kctport.Response{Status: status}, nil))
		if sound && (err != nil || r.Status != status) || !sound && !errors.Is(err, kctport.ErrMismatch) {
			t.Errorf("status %d: %+v, %v", status, r, err)
		}
	}
}
