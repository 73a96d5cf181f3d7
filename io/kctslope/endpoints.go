package kctslope

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctwire"
	kctadapter "kingcupturn/platform"
)

// Settings of the stand-ins, which answer fast so that they use little CPU.
const (
	endpointSlots       = 32
	endpointQueue       = 256
	endpointConnections = 64
	endpointServiceTime = time.Millisecond
)

// endpointSet holds stand-ins for endpoints, one for each service, in this process or another one.
type endpointSet struct {
	list []kctport.Endpoint
	stop func()
}

// Workload returns the workload of the stand-ins, which the endpoints command of kctstandin can also run.
func Workload(count int, seed uint64) kctfake.Workload {
	w := kctfake.Workload{Seed: seed, Zones: []kctport.Zone{"a"}}
	for n := range count {
		w.Services = append(w.Services, kctfake.Service{
			Name: serviceName(n), EndpointCount: 1, Shards: 1, Slots: endpointSlots, Queue: endpointQueue,
			Connections: endpointConnections, Base: kctwire.Duration(endpointServiceTime),
		})
	}
	return w
}

func serviceName(n int) kctport.ServiceName {
	return kctport.ServiceName(fmt.Sprintf("service%03d", n))
}

// recorder records registrations instead of adding them to a platform's instance list.
type recorder struct{ list []kctport.Endpoint }

// Register implements kctfake.Registrar.
func (r *recorder) Register(id kctport.InstanceID, e kctwire.Registration) {
	r.list = append(r.list, kctport.Endpoint{ID: id, Service: e.Service, Zone: e.Zone, Version: e.Version, Address: e.Address})
}

// Remove implements kctfake.Registrar.
func (*recorder) Remove(kctport.InstanceID) {}

func startEndpoints(ctx context.Context, count int, seed uint64) (endpointSet, error) {
	var r recorder
	f, err := kctfake.StartFleet(ctx, Workload(count, seed), &r)
	if err != nil {
		return endpointSet{}, err
	}
	return endpointSet{list: r.list, stop: f.Stop}, nil
}

// findEndpoints returns the first count stand-ins, by service, that another process registered with its platform.
func findEndpoints(ctx context.Context, platform netip.AddrPort, count int) (endpointSet, error) {
	client := kctadapter.NewRecords(platform)
	defer client.Close()
	list, _, err := client.Instances(ctx)
	if err != nil {
		return endpointSet{}, err
	}
	slices.SortFunc(list, func(a, b kctport.Endpoint) int { return strings.Compare(string(a.Service), string(b.Service)) })
	if len(list) < count {
		return endpointSet{}, eris.Wrapf(kctport.ErrInvalid, "platform %v lists %d endpoints; %d are needed", platform, len(list), count)
	}
	return endpointSet{list: list[:count], stop: func() {}}, nil
}
