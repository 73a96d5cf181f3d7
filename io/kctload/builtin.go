package kctload

import (
	"fmt"
	"time"

	kctport "kingcupturn"

	"github.com/rotisserie/eris"
)

// Service times of the stand-ins; the design page gives none. The p99 of a
// server, base plus 4.6 tails, is then far enough below the deadline for a hedge.
const (
	serviceBase = 4 * time.Millisecond
	serviceTail = 2 * time.Millisecond
)

// deadline is the latency target of the design page for 99 in 100 answers.
const deadline = 210 * time.Millisecond

// builtinBodies keeps bodies few enough that most have been seen: callers ask the same again and again.
const builtinBodies = 64

// Builtin returns a workload with the sizes on the design page: smokehouses or patinha.
func Builtin(name string) (Workload, error) {
	switch name {
	case "smokehouses":
		return Smokehouses(), nil
	case "patinha":
		return Patinha(), nil
	}
	return Workload{}, eris.Wrapf(kctport.ErrInvalid, "workload is %q; allowed are smokehouses and patinha", name)
}

// Smokehouses is the order matching deployment.
func Smokehouses() Workload {
	matching := family("matching", 10, 4, 35)
	dispatch := family("dispatch", 15, 4, 35)
	registry := sharded("registry", 15, 5, 100)
	records := sharded("records", 5, 1, 100)
	return Workload{
		Name: "smokehouses", Entries: 9, Zones: []kctport.Zone{"a", "b", "c"},
		ZoneDelay: time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Services: append(append(matching, dispatch...), registry, records),
		Kinds: []Kind{
			{Name: "match", Services: names(matching), Route: "match", Urgent: 0.3, Deadline: deadline, Rate: 20, Bodies: builtinBodies},
			{Name: "dispatch", Services: names(dispatch), Route: "dispatch", Urgent: 0.1, Deadline: deadline, Rate: 10, Bodies: builtinBodies},
			{Name: "lookup", Services: []kctport.ServiceName{registry.Name, records.Name}, Route: "lookup", Urgent: 0.2, Deadline: deadline, Rate: 40, Bodies: builtinBodies},
			{Name: "order", Services: []kctport.ServiceName{records.Name}, Route: "order", Execute: true, Deadline: deadline, Rate: 10},
		},
	}
}

// Patinha is the dashboard deployment.
func Patinha() Workload {
	matching := family("matching", 10, 3, 30)
	dashboard := family("dashboard", 15, 3, 30)
	profiles := sharded("profiles", 10, 3, 50)
	mailer := sharded("mailer", 4, 1, 50)
	return Workload{
		Name: "patinha", Entries: 9, Zones: []kctport.Zone{"a", "b", "c"},
		ZoneDelay: 500 * time.Microsecond, CallerDelay: time.Millisecond,
		Services: append(append(matching, dashboard...), profiles, mailer),
		Kinds: []Kind{
			{Name: "match", Services: names(matching), Route: "match", Urgent: 0.2, Deadline: deadline, Rate: 15, Bodies: builtinBodies},
			{Name: "dashboard", Services: names(dashboard), Route: "dashboard", Urgent: 0.1, Deadline: deadline, Rate: 15, Bodies: builtinBodies},
			{Name: "lookup", Services: []kctport.ServiceName{profiles.Name, mailer.Name}, Route: "lookup", Urgent: 0.3, Deadline: deadline, Rate: 40, Bodies: builtinBodies},
			{Name: "reserve", Services: []kctport.ServiceName{mailer.Name}, Route: "reserve", Execute: true, Deadline: deadline, Rate: 10},
		},
	}
}

func family(prefix string, count, slots, connections int) []Service {
	all := make([]Service, count)
	for i := range all {
		all[i] = Service{
			Name: kctport.ServiceName(fmt.Sprintf("%s%02d", prefix, i)), Servers: 3, Shards: 1,
			Slots: slots, Connections: connections, Connect: 6 * time.Millisecond, Base: serviceBase, Tail: serviceTail,
		}
	}
	return all
}

func sharded(name kctport.ServiceName, servers, shards, connections int) Service {
	return Service{
		Name: name, Servers: servers, Shards: shards,
		Slots: 6, Connections: connections, Connect: time.Millisecond, Base: serviceBase, Tail: serviceTail,
	}
}

func names(all []Service) []kctport.ServiceName {
	out := make([]kctport.ServiceName, len(all))
	for i, s := range all {
		out[i] = s.Name
	}
	return out
}
