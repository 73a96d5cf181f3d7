package kctproto

import "time"

// Micros encodes a time in microseconds of Unix time, 0 for the zero time.
func Micros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// Time decodes a time from Micros.
func Time(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros).UTC()
}
