package kctport

import "fmt"

// InstanceID identifies an instance; the platform assigns it and never reuses it.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Region names a region, which consists of availability zones.
type Region string

// ServiceName names a service of endpoints.
type ServiceName string

// VersionName names a software version of a service.
type VersionName string

// Snapshot numbers an index snapshot, an index version with its shard layout; a larger number is newer.
type Snapshot uint64

// Revision numbers the configuration; it rises by one with each accepted change.
type Revision uint64

// Incarnation is a random number drawn at process start, which identifies one process run of an instance.
type Incarnation uint64

// Fingerprint is a hash of a request's services, route and body.
type Fingerprint uint64

// Part is one shard of one service, the unit of fan-out and of coverage.
type Part struct {
	Service ServiceName
	Shard   int
}

// String returns the part as service/shard.
func (p Part) String() string {
	return fmt.Sprintf("%s/%d", p.Service, p.Shard)
}
