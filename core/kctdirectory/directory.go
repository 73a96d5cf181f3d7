package kctdirectory

import (
	"net/netip"
	"time"

	kctport "kingcupturn"
)

const (
	// lifetime is how long callers keep an answer. It is shorter than the drain of an entry, so that an entry that stops has no callers left; some keep it three times as long.
	lifetime = 3 * time.Second
	// minEntries is the number of entries below which a zone's callers use all zones, so that the loss of one entry doesn't leave them without another.
	minEntries = 2
)

// Directory answers from the current picture of the fleet.
type Directory struct {
	fleets kctport.Fleets
}

var _ kctport.EntryDirectory = (*Directory)(nil)

// New returns the directory that an entry serves.
func New(fleets kctport.Fleets) *Directory {
	return &Directory{fleets: fleets}
}

// Entries lists the active entries of the caller's zone, or all active ones when there are too few.
func (d *Directory) Entries(zone kctport.Zone) ([]netip.AddrPort, time.Duration) {
	fleet := d.fleets.Fleet()
	if fleet.Rules == nil {
		return nil, 0
	}
	var near, all []netip.AddrPort
	for _, e := range fleet.Active {
		all = append(all, e.Caller)
		if e.Zone == zone {
			near = append(near, e.Caller)
		}
	}
	if len(near) >= minEntries {
		return near, lifetime
	}
	return all, lifetime
}
