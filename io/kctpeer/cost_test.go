package kctpeer

import (
	"fmt"
	"net/netip"
	"testing"

	kctport "kingcupturn"
	"kingcupturn/core/kctmember"
	"kingcupturn/io/kctproto"
)

// TestProbeSize guards against probes that use more than half of a daemon's control traffic limit of 9 KB/s when every message is full.
func TestProbeSize(t *testing.T) {
	table := kctmember.NewTable(fleetMember(0), 1)
	changes := make([]kctport.Member, 8)
	for i := range changes {
		changes[i] = fleetMember(i + 1)
	}
	from := table.Self()
	request, err := encode(&kctproto.Request{Remaining: 3e8, Body: &kctproto.Request_Probe{
		Probe: fromProbe(kctport.Probe{From: from, Revision: from.Revision, Changes: changes}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	reply, err := encode(&kctproto.Reply{Body: &kctproto.Reply_Probe{
		Probe: fromProbeReply(kctport.ProbeReply{From: from, Revision: from.Revision, Changes: changes}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	// A daemon sends and receives two probes a second, each with a request and a reply.
	perSecond := 2 * (len(request) + len(reply))
	t.Logf("full probe %d bytes, reply %d bytes, %d bytes a second sent and as many received", len(request), len(reply), perSecond)
	if perSecond > 9000/2 {
		t.Errorf("%d bytes a second, want at most 4500", perSecond)
	}
}

// fleetMember returns a member with names and addresses as long as in a large fleet.
func fleetMember(i int) kctport.Member {
	return kctport.Member{
		ID: kctport.InstanceID(fmt.Sprintf("entry-%05d", i)), Zone: kctport.Zone(fmt.Sprintf("region%d-zone%d", i%8, i%17)),
		Incarnation: kctport.Incarnation(0x9e3779b97f4a7c15 * uint64(i+1)),
		Peer:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 100, byte(200 + i), 100}), 17000),
		Caller:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 100, byte(200 + i), 100}), 18000),
		Counter:     3, Revision: 7400,
	}
}

// BenchmarkRelay measures a relayed part over loopback, alone and with many concurrent ones on the session.
func BenchmarkRelay(b *testing.B) {
	call := kctport.PartCall{
		Request: "0123456789abcdef", Endpoint: "match-3-2", Part: kctport.Part{Service: "match-3"}, Shards: 1,
		Route: "orders", Body: make([]byte, 200), Snapshot: 12,
	}
	to, client, _ := start(b, &echo{})
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := client.Relay(b.Context(), to, call); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("many", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(16)
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				if _, err := client.Relay(b.Context(), to, call); err != nil {
					b.Error(err)
					return
				}
			}
		})
	})
}
