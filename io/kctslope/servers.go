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

// Properties of the stand-ins: they answer fast, so that they use little of the machine.
const (
	serverSlots       = 32
	serverQueue       = 256
	serverConnections = 64
	serverBase        = time.Millisecond
)

// servers are stand-ins of endpoints, one for each service, in this process or another one.
type servers struct {
	list []kctport.Endpoint
	stop func()
}

// Workload describes the stand-ins for the endpoints command of kctstandin.
func Workload(count int, seed uint64) kctfake.Workload {
	w := kctfake.Workload{Seed: seed, Zones: []kctport.Zone{"a"}}
	for n := range count {
		w.Services = append(w.Services, kctfake.Service{
			Name: serviceName(n), Servers: 1, Shards: 1, Slots: serverSlots, Queue: serverQueue,
			Connections: serverConnections, Base: kctwire.Duration(serverBase),
		})
	}
	return w
}

func serviceName(n int) kctport.ServiceName {
	return kctport.ServiceName(fmt.Sprintf("service%03d", n))
}

// recorder keeps registrations instead of putting them on a list.
type recorder struct{ list []kctport.Endpoint }

// Register implements kctfake.Registrar.
func (r *recorder) Register(id kctport.InstanceID, e kctwire.Registration) {
	r.list = append(r.list, kctport.Endpoint{ID: id, Service: e.Service, Zone: e.Zone, Version: e.Version, Address: e.Address})
}

// Remove implements kctfake.Registrar.
func (*recorder) Remove(kctport.InstanceID) {}

func startServers(ctx context.Context, count int, seed uint64) (servers, error) {
	var r recorder
	f, err := kctfake.StartFleet(ctx, Workload(count, seed), &r)
	if err != nil {
		return servers{}, err
	}
	return servers{list: r.list, stop: f.Stop}, nil
}

// findServers takes the stand-ins that another process registered with its platform.
func findServers(ctx context.Context, platform netip.AddrPort, count int) (servers, error) {
	client := kctadapter.NewRecords(platform)
	defer client.Close()
	list, _, err := client.Instances(ctx)
	if err != nil {
		return servers{}, err
	}
	slices.SortFunc(list, func(a, b kctport.Endpoint) int { return strings.Compare(string(a.Service), string(b.Service)) })
	if len(list) < count {
		return servers{}, eris.Wrapf(kctport.ErrInvalid, "platform %v lists %d endpoints; %d are needed", platform, len(list), count)
	}
	return servers{list: list[:count], stop: func() {}}, nil
}
