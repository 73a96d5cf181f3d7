package kctload

import (
	"net/netip"
	"time"

	kctport "kingcupturn"
)

// Plan describes one load.
type Plan struct {
	Workload Workload
	Seed     uint64
	Length   time.Duration
	// Entries are the addresses from which callers fetch their first address list.
	Entries []netip.AddrPort
	Callers int
	// MaxInflight is the number of requests in flight at most; arrivals above it are counted as skipped.
	MaxInflight int
	Timer       kctport.Timer
	// Oracle computes the expected items; with nil the items are not checked.
	Oracle Oracle
	// RunCounter counts the runs at endpoints; with nil, extra load is not computed and doubled and misreported executions are not detected.
	RunCounter RunCounter
}

// Oracle computes the answers of endpoints.
type Oracle interface {
	// Shards returns the shard count of a service in a snapshot, 0 if the snapshot has none.
	Shards(service kctport.ServiceName, snapshot kctport.Snapshot) int
	// Items returns the items of a part out of shards for the request body.
	Items(part kctport.Part, shards int, snapshot kctport.Snapshot, body []byte) []kctport.Item
	// Snapshots returns the snapshots that endpoints may hold during the load.
	Snapshots() []kctport.Snapshot
}

// RunCounter returns what endpoints ran.
type RunCounter interface {
	// Runs returns the number of times that the execution with the key ran.
	Runs(key string) int
	// PartsRun returns the number of parts run so far.
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
