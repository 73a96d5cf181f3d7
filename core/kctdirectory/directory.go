package kctdirectory

import (
	"net/netip"
	"time"

	kctport "kingcupturn"
)

const (
	// answerTTL is how long callers may cache an answer. It is shorter than the drain time of an entry, so that a draining entry has no callers left when
	// it stops; some callers cache an answer three times as long.
	answerTTL = 3 * time.Second
	// minEntries is the number of active entries below which a zone's callers get the entries of all zones, so that they have another one when an entry
	// fails.
	minEntries = 2
)

// Directory lists entries from the current fleet state.
type Directory struct {
	fleets kctport.Fleets
}

var _ kctport.EntryDirectory = (*Directory)(nil)

// New returns a directory over the fleet state.
func New(fleets kctport.Fleets) *Directory {
	return &Directory{fleets: fleets}
}

// Entries lists the caller addresses of the active entries in the zone, or in all zones when the zone has fewer than minEntries, and how long the list
// may be cached.
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
		return near, answerTTL
	}
	return all, answerTTL
}
