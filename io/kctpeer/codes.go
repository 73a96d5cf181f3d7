package kctpeer

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// codes maps each sentinel error to its name on the wire; "leaving" and "snapshot" stand for a draining endpoint and a dropped snapshot.
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

// encodeError returns the codes of all sentinels that err wraps.
func encodeError(err error) []string {
	var out []string
	for _, c := range codes {
		if errors.Is(err, c.sentinel) {
			out = append(out, c.code)
		}
	}
	return out
}

// decodeError returns an error that wraps the sentinels of the codes; codes that only newer entries define are ignored.
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
