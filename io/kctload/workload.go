package kctload

import (
	"slices"
	"time"

	kctport "kingcupturn"

	"github.com/rotisserie/eris"
)

// Workload describes the services of a deployment and what its callers ask.
type Workload struct {
	Name    string
	Entries int
	Zones   []kctport.Zone
	// ZoneDelay is the one-way delay between two zones, Outside the one from a caller to an entry.
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Services    []Service
	Kinds       []Kind
}

// Service is a service with equal servers, spread over the zones in turn.
type Service struct {
	Name    kctport.ServiceName
	Servers int
	Shards  int
	// Slots and Connections are the limits of one server, Connect the time of a new connection.
	Slots       int
	Connections int
	Connect     time.Duration
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
	// Rate is in requests a second.
	Rate float64
	// Bodies is the number of distinct bodies; 0 makes every body distinct, so that each is sent as a canary.
	Bodies int
}

// Validate checks the workload as a whole; the error wraps kctport.ErrInvalid.
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
		if s.Shards < 1 || s.Servers < s.Shards || s.Slots < 1 || s.Connections < 1 {
			return eris.Wrapf(kctport.ErrInvalid, "service %q needs shards, slots and connections of at least 1 and a server for each shard", s.Name)
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

// Scaled returns the workload with its connect, network and service delays multiplied and its rates multiplied by another factor.
func (w Workload) Scaled(delays, rates float64) Workload {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * delays) }
	w.ZoneDelay, w.CallerDelay = scale(w.ZoneDelay), scale(w.CallerDelay)
	services := make([]Service, len(w.Services))
	for i, s := range w.Services {
		s.Connect, s.Base, s.Tail = scale(s.Connect), scale(s.Base), scale(s.Tail)
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

// Traffic on one service alone that lets a move be judged within a short load:
// 5% of the rates of the built-in workloads give about one request a second.
const (
	singleName = "single"
	singleRate = 400
)

// withSingle adds queries of the first service alone.
func (w Workload) withSingle() Workload {
	first := w.Services[0].Name
	w.Kinds = append(slices.Clone(w.Kinds), Kind{
		Name: singleName, Services: []kctport.ServiceName{first}, Route: singleName,
		Deadline: deadline, Rate: singleRate, Bodies: builtinBodies,
	})
	return w
}
