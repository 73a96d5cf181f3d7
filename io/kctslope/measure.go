package kctslope

import (
	"context"
	"fmt"
	"io"
	"time"

	kctport "kingcupturn"
)

// measurement is one run of the command.
type measurement struct {
	timer       kctport.Timer
	short       bool
	seed        uint64
	endpointSet endpointSet
	out         io.Writer
}

// part is one part of the command.
type part struct {
	name string
	run  func(*measurement, context.Context) ([]Series, error)
}

var parts = []part{
	{"fleet", (*measurement).measureIdle},
	{"changes", (*measurement).measureChanges},
	{"control", (*measurement).measureControl},
	{"record", (*measurement).measureRecords},
	{"wire", (*measurement).measureMessages},
	{"role", (*measurement).measureRoles},
	{"query", (*measurement).measureQueries},
	{"spread", (*measurement).measurePropagation},
	{"simulation", (*measurement).measureGossip},
}

// window is the duration of the measurement of one size.
func (m *measurement) window() time.Duration {
	if m.short {
		return time.Second
	}
	return 8 * time.Second
}

// settle is the wait after a fleet start for the first endpoint reports and the handover periods.
func (m *measurement) settle() time.Duration {
	if m.short {
		return time.Second
	}
	return 4 * time.Second
}

func (m *measurement) log(format string, args ...any) {
	_, _ = fmt.Fprintf(m.out, format+"\n", args...)
}
