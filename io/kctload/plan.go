package kctload

import (
	"net/netip"
	"time"

	kctport "kingcupturn"
)

// Plan is one run of a load.
type Plan struct {
	Workload Workload
	Seed     uint64
	Length   time.Duration
	// Entries are where callers ask for addresses first.
	Entries []netip.AddrPort
	Callers int
	// MaxInflight bounds the requests under way; arrivals above it are counted as skipped.
	MaxInflight int
	Timer       kctport.Timer
	// Oracle recomputes expected items; nil leaves the items unchecked.
	Oracle Oracle
	// RunCounter gives what endpoints ran; nil leaves extra load and doubled runs unknown.
	RunCounter RunCounter
}

// Oracle recomputes what endpoints answer.
type Oracle interface {
	// Shards is the shard count of a service in a snapshot, 0 when it has none.
	Shards(service kctport.ServiceName, snapshot kctport.Snapshot) int
	Items(part kctport.Part, shards int, snapshot kctport.Snapshot, body []byte) []kctport.Item
	// Snapshots are those that endpoints may hold during the run.
	Snapshots() []kctport.Snapshot
}

// RunCounter counts what endpoints ran.
type RunCounter interface {
	// Runs is how often the non-idempotent request with the key ran.
	Runs(key string) int
	// PartsRun is the number of parts run so far.
	PartsRun() uint64
}

const (
	defaultCallers  = 12
	defaultInflight = 2000
)

func (p Plan) withDefaults() Plan {
	if p.Callers == 0 {
		p.Callers = defaultCallers
	}
	if p.MaxInflight == 0 {
		p.MaxInflight = defaultInflight
	}
	return p
}
