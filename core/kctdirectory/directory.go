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
	self   kctport.EntryRecord
	fleets kctport.Fleets
}

var _ kctport.EntryDirectory = (*Directory)(nil)

// New returns the directory that an entry serves.
func New(self kctport.EntryRecord, fleets kctport.Fleets) *Directory {
	return &Directory{self: self, fleets: fleets}
}

// Entries lists the entries of the caller's zone, or all when there are too few.
func (d *Directory) Entries(zone kctport.Zone) ([]netip.AddrPort, time.Duration) {
	fleet := d.fleets.Fleet()
	var near, all []netip.AddrPort
	add := func(e kctport.EntryRecord) {
		all = append(all, e.Caller)
		if e.Zone == zone {
			near = append(near, e.Caller)
		}
	}
	listed := false
	for _, e := range fleet.Entries {
		if e.ID == d.self.ID {
			listed = true
			if fleet.Draining {
				continue
			}
		}
		add(e)
	}
	if !listed && !fleet.Draining && fleet.Rules != nil {
		// The store is away or has lost this entry's record, and this entry serves all the same.
		add(d.self)
	}
	if len(near) >= minEntries {
		return near, lifetime
	}
	return all, lifetime
}
