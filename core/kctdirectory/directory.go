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
	// minEntries is the number of active entries below which a zone's callers get the entries of all zones of the region, and those of a region the
	// entries of all regions, so that they have another one when an entry fails.
	minEntries = 2
)

// Directory lists entries from the current fleet state.
type Directory struct {
	fleets kctport.Fleets
	zones  map[kctport.Zone]kctport.Region
}

var _ kctport.EntryDirectory = (*Directory)(nil)

// New returns a directory over the fleet state; zones holds the region of each zone, and zones without one form a region together.
func New(fleets kctport.Fleets, zones map[kctport.Zone]kctport.Region) *Directory {
	return &Directory{fleets: fleets, zones: zones}
}

// Entries lists the caller addresses of the active entries in the zone, in its region when the zone has fewer than minEntries, or in all regions when that
// one has too few, and how long the list may be cached.
func (d *Directory) Entries(zone kctport.Zone) ([]netip.AddrPort, time.Duration) {
	fleet := d.fleets.Fleet()
	if fleet.Rules == nil {
		return nil, 0
	}
	var inZone, inRegion, all []netip.AddrPort
	for _, e := range fleet.Active {
		all = append(all, e.Caller)
		if d.zones[e.Zone] == d.zones[zone] {
			inRegion = append(inRegion, e.Caller)
		}
		if e.Zone == zone {
			inZone = append(inZone, e.Caller)
		}
	}
	for _, near := range [][]netip.AddrPort{inZone, inRegion} {
		if len(near) >= minEntries {
			return near, answerTTL
		}
	}
	return all, answerTTL
}
