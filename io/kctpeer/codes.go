package kctpeer

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// codes pairs each sentinel error with its name on the wire.
var codes = []struct {
	code     string
	sentinel error
}{
	{"notrun", kctport.ErrNotRun},
	{"unknown", kctport.ErrUnknown},
	{"shed", kctport.ErrShed},
	{"leaving", kctport.ErrEndpointDraining},
	{"snapshot", kctport.ErrSnapshotDropped},
	{"mismatch", kctport.ErrMismatch},
	{"reset", kctport.ErrReset},
	{"timeout", kctport.ErrTimeout},
	{"failed", kctport.ErrFailed},
	{"quarantined", kctport.ErrQuarantined},
	{"noendpoint", kctport.ErrNoEndpoint},
	{"nosnapshot", kctport.ErrNoSnapshot},
	{"notowner", kctport.ErrNotOwner},
	{"isolated", kctport.ErrIsolated},
	{"draining", kctport.ErrDraining},
	{"invalid", kctport.ErrInvalid},
	{"conflict", kctport.ErrConflict},
	{"notfound", kctport.ErrNotFound},
	{"unavailable", kctport.ErrUnavailable},
	{"deadline", context.DeadlineExceeded},
	{"canceled", context.Canceled},
}

// encodeError returns the codes of all sentinels that the error wraps.
func encodeError(err error) []string {
	var out []string
	for _, c := range codes {
		if errors.Is(err, c.sentinel) {
			out = append(out, c.code)
		}
	}
	return out
}

// decodeError rebuilds an error that wraps the sentinels; unknown codes of newer entries leave only the text.
func decodeError(names []string, text string) error {
	var sentinels []error
	for _, c := range codes {
		for _, n := range names {
			if n == c.code {
				sentinels = append(sentinels, c.sentinel)
			}
		}
	}
	if len(sentinels) == 0 {
		return eris.New(text)
	}
	return eris.Wrap(errors.Join(sentinels...), text)
}
