package kctload

import (
	"fmt"
	"time"

	kctport "kingcupturn"

	"github.com/rotisserie/eris"
)

// Service times of the stand-ins; the design page gives none. The p99 of an
// endpoint, base plus 4.6 times tail, leaves time for a hedge before the deadline.
const (
	serviceBase = 4 * time.Millisecond
	serviceTail = 2 * time.Millisecond
)

// deadline is the latency target of the design page, which 99% of the answers have to meet.
const deadline = 210 * time.Millisecond

// builtinBodies is small enough that most bodies repeat, as those of callers do.
const builtinBodies = 64

// Builtin returns the workload smokehouses or patinha with the sizes on the design page; another name gives an error that wraps kctport.ErrInvalid.
func Builtin(name string) (Workload, error) {
	switch name {
	case "smokehouses":
		return Smokehouses(), nil
	case "patinha":
		return Patinha(), nil
	}
	return Workload{}, eris.Wrapf(kctport.ErrInvalid, "workload is %q; allowed are smokehouses and patinha", name)
}

// Smokehouses returns the workload of the order matching deployment.
func Smokehouses() Workload {
	matching := numberedServices("matching", 10, 4, 35)
	dispatch := numberedServices("dispatch", 15, 4, 35)
	registry := shardedService("registry", 15, 5, 100)
	records := shardedService("records", 5, 1, 100)
	return Workload{
		Name: "smokehouses", Entries: 9, Zones: []kctport.Zone{"a", "b", "c"},
		ZoneDelay: time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Services: append(append(matching, dispatch...), registry, records),
		Kinds: []Kind{
			{Name: "match", Services: serviceNames(matching), Route: "match", Urgent: 0.3, Deadline: deadline, Rate: 20, Bodies: builtinBodies},
			{Name: "dispatch", Services: serviceNames(dispatch), Route: "dispatch", Urgent: 0.1, Deadline: deadline, Rate: 10, Bodies: builtinBodies},
			{Name: "lookup", Services: []kctport.ServiceName{registry.Name, records.Name}, Route: "lookup", Urgent: 0.2, Deadline: deadline, Rate: 40, Bodies: builtinBodies},
			{Name: "order", Services: []kctport.ServiceName{records.Name}, Route: "order", Execute: true, Deadline: deadline, Rate: 10},
		},
	}
}

// Patinha returns the workload of the dashboard deployment.
func Patinha() Workload {
	matching := numberedServices("matching", 10, 3, 30)
	dashboard := numberedServices("dashboard", 15, 3, 30)
	profiles := shardedService("profiles", 10, 3, 50)
	mailer := shardedService("mailer", 4, 1, 50)
	return Workload{
		Name: "patinha", Entries: 9, Zones: []kctport.Zone{"a", "b", "c"},
		ZoneDelay: 500 * time.Microsecond, CallerDelay: time.Millisecond,
		Services: append(append(matching, dashboard...), profiles, mailer),
		Kinds: []Kind{
			{Name: "match", Services: serviceNames(matching), Route: "match", Urgent: 0.2, Deadline: deadline, Rate: 15, Bodies: builtinBodies},
			{Name: "dashboard", Services: serviceNames(dashboard), Route: "dashboard", Urgent: 0.1, Deadline: deadline, Rate: 15, Bodies: builtinBodies},
			{Name: "lookup", Services: []kctport.ServiceName{profiles.Name, mailer.Name}, Route: "lookup", Urgent: 0.3, Deadline: deadline, Rate: 40, Bodies: builtinBodies},
			{Name: "reserve", Services: []kctport.ServiceName{mailer.Name}, Route: "reserve", Execute: true, Deadline: deadline, Rate: 10},
		},
	}
}

func numberedServices(prefix string, count, slots, connections int) []Service {
	all := make([]Service, count)
	for i := range all {
		all[i] = Service{
			Name: kctport.ServiceName(fmt.Sprintf("%s%02d", prefix, i)), EndpointCount: 3, Shards: 1,
			Slots: slots, Connections: connections, ConnectDelay: 6 * time.Millisecond, Base: serviceBase, Tail: serviceTail,
		}
	}
	return all
}

func shardedService(name kctport.ServiceName, servers, shards, connections int) Service {
	return Service{
		Name: name, EndpointCount: servers, Shards: shards,
		Slots: 6, Connections: connections, ConnectDelay: time.Millisecond, Base: serviceBase, Tail: serviceTail,
	}
}

func serviceNames(all []Service) []kctport.ServiceName {
	out := make([]kctport.ServiceName, len(all))
	for i, s := range all {
		out[i] = s.Name
	}
	return out
}
