package kctload

import (
	"slices"
	"time"

	kctport "kingcupturn"

	"github.com/rotisserie/eris"
)

// Workload describes the services of a deployment and the requests of its callers.
type Workload struct {
	Name    string
	Entries int
	Zones   []kctport.Zone
	// ZoneDelay is the one-way network delay between two zones, CallerDelay that between a caller and an entry.
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Services    []Service
	Kinds       []Kind
}

// Service is a service with identical endpoints, assigned to the zones in turn.
type Service struct {
	Name kctport.ServiceName
	// EndpointCount is the number of endpoints.
	EndpointCount int
	Shards        int
	// Slots and Connections are the limits of one endpoint, Connect the setup time of a connection.
	Slots        int
	Connections  int
	ConnectDelay time.Duration
	// Base and Tail are the fixed part and the mean of the exponential part of the service time.
	Base time.Duration
	Tail time.Duration
}

// Kind is a kind of request.
type Kind struct {
	Name     string
	Services []kctport.ServiceName
	Route    string
	// Execute marks non-idempotent requests; they name exactly one service.
	Execute bool
	// Urgent is the share of urgent requests, 0 to 1.
	Urgent   float64
	Deadline time.Duration
	// Rate is in requests per second.
	Rate float64
	// Bodies is the number of distinct bodies; with 0 each body is distinct, so that each request is sent as a canary.
	Bodies int
}

// Validate checks the values of the workload and the services that its kinds name; the error wraps kctport.ErrInvalid.
func (w Workload) Validate() error {
	if w.Entries < 1 || len(w.Zones) == 0 || len(w.Services) == 0 || len(w.Kinds) == 0 {
		return eris.Wrapf(kctport.ErrInvalid, "workload %q needs at least one entry, zone, service and kind", w.Name)
	}
	known := map[kctport.ServiceName]bool{}
	for _, s := range w.Services {
		if known[s.Name] {
			return eris.Wrapf(kctport.ErrInvalid, "service %q is named twice", s.Name)
		}
		known[s.Name] = true
		if s.Shards < 1 || s.EndpointCount < s.Shards || s.Slots < 1 || s.Connections < 1 {
			return eris.Wrapf(kctport.ErrInvalid, "service %q needs shards, slots and connections of at least 1 and an endpoint for each shard", s.Name)
		}
	}
	for _, k := range w.Kinds {
		if err := k.validate(known); err != nil {
			return err
		}
	}
	return nil
}

func (k Kind) validate(known map[kctport.ServiceName]bool) error {
	if k.Rate <= 0 || k.Deadline <= 0 || k.Urgent < 0 || k.Urgent > 1 || k.Bodies < 0 {
		return eris.Wrapf(kctport.ErrInvalid, "kind %q needs rate and deadline above 0, urgent 0 to 1, bodies at least 0", k.Name)
	}
	if len(k.Services) == 0 || k.Execute && len(k.Services) != 1 {
		return eris.Wrapf(kctport.ErrInvalid, "kind %q names %d services; a query needs at least 1, an execution exactly 1", k.Name, len(k.Services))
	}
	for _, s := range k.Services {
		if !known[s] {
			return eris.Wrapf(kctport.ErrInvalid, "kind %q names the unknown service %q", k.Name, s)
		}
	}
	return nil
}

// Scaled returns the workload with its connect, network and service times multiplied by delays and its request rates by rates.
func (w Workload) Scaled(delays, rates float64) Workload {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * delays) }
	w.ZoneDelay, w.CallerDelay = scale(w.ZoneDelay), scale(w.CallerDelay)
	services := make([]Service, len(w.Services))
	for i, s := range w.Services {
		s.ConnectDelay, s.Base, s.Tail = scale(s.ConnectDelay), scale(s.Base), scale(s.Tail)
		services[i] = s
	}
	kinds := make([]Kind, len(w.Kinds))
	for i, k := range w.Kinds {
		k.Rate *= rates
		kinds[i] = k
	}
	w.Services, w.Kinds = services, kinds
	return w
}

// Kind name and requests per second of the single-service traffic of a move.
// 5% of the rates of the built-in workloads give about one request per second,
// too few to evaluate the new version within a short load.
const (
	singleServiceKind = "single"
	singleServiceRate = 400
)

// withSingleService returns the workload with additional queries of only the first service.
func (w Workload) withSingleService() Workload {
	first := w.Services[0].Name
	w.Kinds = append(slices.Clone(w.Kinds), Kind{
		Name: singleServiceKind, Services: []kctport.ServiceName{first}, Route: singleServiceKind,
		Deadline: deadline, Rate: singleServiceRate, Bodies: builtinBodies,
	})
	return w
}
