package kctload

import (
	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctwire"
)

// Shards implements Oracle.
func (c *Cluster) Shards(service kctport.ServiceName, s kctport.Snapshot) int {
	if s != snapshot {
		return 0
	}
	for _, have := range c.workload.Services {
		if have.Name == service {
			return have.Shards
		}
	}
	return 0
}

// Items implements Oracle.
func (c *Cluster) Items(part kctport.Part, shards int, s kctport.Snapshot, body []byte) []kctport.Item {
	return kctfake.ExpectedItems(part, shards, s, body)
}

// Snapshots implements Oracle.
func (c *Cluster) Snapshots() []kctport.Snapshot { return []kctport.Snapshot{snapshot} }

// Runs implements RunCounter.
func (c *Cluster) Runs(key string) int {
	sum := 0
	for _, e := range c.endpoints(anyEndpoint) {
		sum += e.Runs(key)
	}
	return sum
}

// PartsRun implements RunCounter.
func (c *Cluster) PartsRun() uint64 { return sumPartsRun(c.endpoints(anyEndpoint)) }

func anyEndpoint(kctwire.Registration) bool { return true }
