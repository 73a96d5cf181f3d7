package kctfake

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// Workload describes the endpoints of a fleet.
type Workload struct {
	Seed     uint64         `json:"seed"`
	Zones    []kctport.Zone `json:"zones"`
	Services []Service      `json:"services"`
}

// Service describes the endpoints of one service in one version; endpoint n holds shard n modulo Shards, and complete sets
// of shards alternate between zones. Defaults of absent fields are version v1, 1 shard, snapshot 1, 4 slots and a queue of 4; a
// negative queue means none. The JSON names are those of the load generator's workloads, so that one file serves both.
type Service struct {
	Name          kctport.ServiceName `json:"name"`
	Version       kctport.VersionName `json:"version"`
	EndpointCount int                 `json:"servers"`
	Shards        int                 `json:"shards"`
	Snapshots     []kctport.Snapshot  `json:"snapshots"`
	Slots         int                 `json:"slots"`
	Queue         int                 `json:"queue"`
	Connections   int                 `json:"connections"`
	ConnectDelay  kctwire.Duration    `json:"connect"`
	Base          kctwire.Duration    `json:"base"`
	Tail          kctwire.Duration    `json:"tail"`
	NetworkDelay  kctwire.Duration    `json:"network"`
	Cold          int                 `json:"cold"`
}

// Fleet is a set of running endpoints that are registered with a platform. Its methods are not for concurrent use.
type Fleet struct {
	Endpoints []*Endpoint
	registrar Registrar
}

// Registrar writes the records of endpoints to the platform; it is implemented by Platform and, over HTTP, by RemotePlatform.
type Registrar interface {
	Register(id kctport.InstanceID, r kctwire.Registration)
	Remove(id kctport.InstanceID)
}

// StartFleet starts the endpoints of a workload and registers them; after an error none is left running.
func StartFleet(ctx context.Context, w Workload, r Registrar) (*Fleet, error) {
	f := &Fleet{registrar: r}
	if err := f.Add(ctx, w); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// Add starts and registers further endpoints, for example those of a new version.
func (f *Fleet) Add(ctx context.Context, w Workload) error {
	for _, s := range w.Services {
		s = s.withDefaults()
		for n := range s.EndpointCount {
			e := w.newEndpoint(s, n)
			if _, err := e.Start(ctx); err != nil {
				return err
			}
			f.Endpoints = append(f.Endpoints, e)
			f.registrar.Register(e.ID(), e.Registration())
		}
	}
	return nil
}

// Where returns the endpoints whose registration the function selects.
func (f *Fleet) Where(selects func(kctwire.Registration) bool) []*Endpoint {
	var out []*Endpoint
	for _, e := range f.Endpoints {
		if selects(e.Registration()) {
			out = append(out, e)
		}
	}
	return out
}

// Leave marks the record of an endpoint as leaving, which the platform shows after its lag; if announced is set, the endpoint
// also drains at once and reports it.
func (f *Fleet) Leave(e *Endpoint, announced bool) {
	if announced {
		e.Drain()
	}
	r := e.Registration()
	r.Leaving = true
	f.registrar.Register(e.ID(), r)
}

// Remove deletes the record of an endpoint and stops the endpoint.
func (f *Fleet) Remove(e *Endpoint) {
	f.Endpoints = slices.DeleteFunc(f.Endpoints, func(o *Endpoint) bool { return o == e })
	f.registrar.Remove(e.ID())
	e.Stop()
}

// withDefaults returns the service with defaults for absent fields.
func (s Service) withDefaults() Service {
	s.Version = cmp.Or(s.Version, "v1")
	s.Shards = max(s.Shards, 1)
	s.Slots = cmp.Or(s.Slots, defaultSlots)
	s.Queue = max(cmp.Or(s.Queue, defaultQueue), 0)
	if len(s.Snapshots) == 0 {
		s.Snapshots = []kctport.Snapshot{1}
	}
	return s
}

// newEndpoint returns endpoint n of a service.
func (w Workload) newEndpoint(s Service, n int) *Endpoint {
	var zone kctport.Zone
	if len(w.Zones) > 0 {
		zone = w.Zones[n/s.Shards%len(w.Zones)]
	}
	holdings := make([]kctport.Holding, len(s.Snapshots))
	for i, snapshot := range s.Snapshots {
		holdings[i] = kctport.Holding{Snapshot: snapshot, Shard: n % s.Shards, Shards: s.Shards}
	}
	id := kctport.InstanceID(fmt.Sprintf("%s-%s-%d", s.Name, s.Version, n))
	return NewEndpoint(
		id,
		WithService(s.Name, zone, s.Version),
		WithHoldings(holdings...),
		WithSlots(s.Slots, s.Queue),
		WithConnections(s.Connections, time.Duration(s.ConnectDelay), false),
		WithServiceTime(time.Duration(s.Base), time.Duration(s.Tail)),
		WithNetworkDelay(time.Duration(s.NetworkDelay)),
		WithCold(s.Cold),
		WithSeed(w.Seed),
	)
}

// Stop deletes the records of all endpoints and stops the endpoints.
func (f *Fleet) Stop() {
	for _, e := range f.Endpoints {
		f.registrar.Remove(e.ID())
	}
	for _, e := range f.Endpoints {
		e.Stop()
	}
}
