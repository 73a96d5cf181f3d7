package kctmove

import (
	"errors"

	kctport "kingcupturn"
)

// cell is the unit within which the versions are compared.
type cell struct {
	zone  kctport.Zone
	route string
}

// tally sums the attempts at one version; slow counts the timed ones above the latency limit.
type tally struct {
	requests int
	timed    int
	failures int
	slow     int
}

func (t *tally) add(u tally) {
	t.requests += u.requests
	t.timed += u.timed
	t.failures += u.failures
	t.slow += u.slow
}

// sourceTally is the tally of the new version as reported by one source.
type sourceTally struct {
	source string
	tally  tally
}

// tallyPair holds the tallies of the old and the new version.
type tallyPair struct {
	old, new tally
}

func (p *tallyPair) add(q tallyPair) {
	p.old.add(q.old)
	p.new.add(q.new)
}

// outcome classifies an attempt as evidence about its version.
type outcome int

const (
	outcomeIgnored outcome = iota
	outcomeReply
	outcomeFailure
	outcomeTimeout
)

// classify returns outcomeIgnored for errors caused by load, shutdown or snapshots, which aren't faults of the version.
func classify(err error) outcome {
	if err == nil {
		return outcomeReply
	}
	for _, e := range []error{kctport.ErrFailed, kctport.ErrReset, kctport.ErrMismatch} {
		if errors.Is(err, e) {
			return outcomeFailure
		}
	}
	if errors.Is(err, kctport.ErrTimeout) {
		return outcomeTimeout
	}
	return outcomeIgnored
}
