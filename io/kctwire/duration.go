package kctwire

import (
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// Duration is a time.Duration that is encoded as a Go duration string, such as "150ms".
type Duration time.Duration

// MarshalText returns the duration as a Go duration string.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a Go duration string; an error wraps ErrInvalid.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrapf(kctport.ErrInvalid, "duration %q, allowed are Go durations such as 150ms", text)
	}
	*d = Duration(v)
	return nil
}
