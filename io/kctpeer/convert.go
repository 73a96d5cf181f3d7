package kctpeer

import (
	"net/netip"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctproto"
)

// codec encodes a configuration in the store's JSON format and decodes it.
type codec struct {
	encode func(kctport.Config) ([]byte, error)
	decode func([]byte) (kctport.Config, error)
}

func fromMember(m kctport.Member) *kctproto.Member {
	out := &kctproto.Member{
		Id: string(m.ID), Incarnation: uint64(m.Incarnation), Zone: string(m.Zone),
		State: uint32(m.State), Counter: m.Counter, Revision: uint64(m.Revision),
	}
	if m.Peer.IsValid() {
		out.Peer = m.Peer.String()
	}
	if m.Caller.IsValid() {
		out.Caller = m.Caller.String()
	}
	return out
}

// toMember converts a member; an address that does not parse becomes the zero AddrPort, which keeps the member in the table as unreachable.
func toMember(m *kctproto.Member) kctport.Member {
	peer, _ := netip.ParseAddrPort(m.GetPeer())
	caller, _ := netip.ParseAddrPort(m.GetCaller())
	return kctport.Member{
		ID: kctport.InstanceID(m.GetId()), Incarnation: kctport.Incarnation(m.GetIncarnation()),
		Zone: kctport.Zone(m.GetZone()), Peer: peer, Caller: caller,
		State: kctport.MemberState(m.GetState()), Counter: m.GetCounter(), Revision: kctport.Revision(m.GetRevision()),
	}
}

func fromProbe(p kctport.Probe) *kctproto.Probe {
	return &kctproto.Probe{
		From: fromMember(p.From), Target: string(p.Target), Revision: uint64(p.Revision),
		Changes: convertAll(p.Changes, fromMember),
	}
}

func toProbe(p *kctproto.Probe) kctport.Probe {
	return kctport.Probe{
		From: toMember(p.GetFrom()), Target: kctport.InstanceID(p.GetTarget()),
		Revision: kctport.Revision(p.GetRevision()), Changes: convertAll(p.GetChanges(), toMember),
	}
}

func fromProbeReply(p kctport.ProbeReply) *kctproto.ProbeReply {
	return &kctproto.ProbeReply{
		From: fromMember(p.From), Revision: uint64(p.Revision), Changes: convertAll(p.Changes, fromMember),
	}
}

func toProbeReply(p *kctproto.ProbeReply) kctport.ProbeReply {
	return kctport.ProbeReply{
		From: toMember(p.GetFrom()), Revision: kctport.Revision(p.GetRevision()),
		Changes: convertAll(p.GetChanges(), toMember),
	}
}

func fromCall(c kctport.PartCall) *kctproto.Call {
	return &kctproto.Call{
		Request: c.Request, Endpoint: string(c.Endpoint), Service: string(c.Part.Service),
		Shard: uint32(c.Part.Shard), Shards: uint32(c.Shards), Snapshot: uint64(c.Snapshot), Route: c.Route,
		Urgent: c.Urgent, Body: c.Body, Fingerprint: uint64(c.Fingerprint), Key: c.Key,
	}
}

func toCall(c *kctproto.Call, deadline time.Time) kctport.PartCall {
	return kctport.PartCall{
		Request: c.GetRequest(), Endpoint: kctport.InstanceID(c.GetEndpoint()),
		Part:   kctport.Part{Service: kctport.ServiceName(c.GetService()), Shard: int(c.GetShard())},
		Shards: int(c.GetShards()), Snapshot: kctport.Snapshot(c.GetSnapshot()), Route: c.GetRoute(),
		Urgent: c.GetUrgent(), Body: c.GetBody(), Fingerprint: kctport.Fingerprint(c.GetFingerprint()),
		Key: c.GetKey(), Deadline: deadline,
	}
}

func fromItem(i kctport.Item) *kctproto.Item {
	return &kctproto.Item{Id: i.ID, Score: i.Score, Text: i.Text}
}

func toItem(i *kctproto.Item) kctport.Item {
	return kctport.Item{ID: i.GetId(), Score: i.GetScore(), Text: i.GetText()}
}

// fromPart converts a reply; the latency is the field served on the wire, in nanoseconds.
func fromPart(p kctport.PartReply) *kctproto.Part {
	return &kctproto.Part{
		Request: p.Request, Service: string(p.Part.Service), Shard: uint32(p.Part.Shard), Shards: uint32(p.Shards),
		Snapshot: uint64(p.Snapshot), Items: convertAll(p.Items, fromItem), Served: int64(p.Latency),
	}
}

func toPart(p *kctproto.Part) kctport.PartReply {
	return kctport.PartReply{
		Request: p.GetRequest(), Part: kctport.Part{Service: kctport.ServiceName(p.GetService()), Shard: int(p.GetShard())},
		Shards: int(p.GetShards()), Snapshot: kctport.Snapshot(p.GetSnapshot()),
		Items: convertAll(p.GetItems(), toItem), Latency: time.Duration(p.GetServed()),
	}
}

func fromExecution(e kctport.Execution) *kctproto.Execution {
	return &kctproto.Execution{Key: e.Key, Service: string(e.Service), Route: e.Route, Body: e.Body}
}

func toExecution(e *kctproto.Execution, deadline time.Time) kctport.Execution {
	return kctport.Execution{
		Key: e.GetKey(), Service: kctport.ServiceName(e.GetService()), Route: e.GetRoute(), Body: e.GetBody(), Deadline: deadline,
	}
}

func fromResult(r kctport.Result) *kctproto.Result {
	return &kctproto.Result{Key: r.Key, Items: convertAll(r.Items, fromItem)}
}

func toResult(r *kctproto.Result) kctport.Result {
	return kctport.Result{Key: r.GetKey(), Items: convertAll(r.GetItems(), toItem)}
}

// fromSuspicion converts a suspicion; the crashes before this one are the field charges on the wire.
func fromSuspicion(s kctport.Suspicion) *kctproto.Suspicion {
	return &kctproto.Suspicion{
		Fingerprint: uint64(s.Fingerprint), Charges: uint32(max(1, s.Crashes) - 1), Cleared: s.Cleared, Round: s.Round, Endpoint: string(s.Endpoint),
		Started: kctproto.Micros(s.Started), Flight: int64(s.InFlight), Lifetime: int64(s.Lifetime),
	}
}

func toSuspicion(s *kctproto.Suspicion) kctport.Suspicion {
	return kctport.Suspicion{
		Fingerprint: kctport.Fingerprint(s.GetFingerprint()), Crashes: int(s.GetCharges()) + 1, Cleared: s.GetCleared(), Round: s.GetRound(),
		Endpoint: kctport.InstanceID(s.GetEndpoint()), Started: kctproto.Time(s.GetStarted()), InFlight: time.Duration(s.GetFlight()),
		Lifetime: time.Duration(s.GetLifetime()),
	}
}

// fromReport converts a report; Stopped is the field cut on the wire.
func fromReport(r kctport.MoveReport) *kctproto.Report {
	return &kctproto.Report{
		Move: r.Move, Version: string(r.Version), Route: r.Route, Requests: uint64(r.Requests),
		Failures: uint64(r.Failures), Slow: uint64(r.Slow), Cut: r.Stopped, Evidence: r.Evidence,
		Zone: string(r.Zone), Timed: uint64(r.Timed), From: string(r.From),
		Latencies: convertAll(r.Latencies, func(n int) uint64 { return uint64(n) }),
	}
}

func toReport(r *kctproto.Report) kctport.MoveReport {
	return kctport.MoveReport{
		Move: r.GetMove(), Version: kctport.VersionName(r.GetVersion()), Route: r.GetRoute(), Requests: int(r.GetRequests()),
		Failures: int(r.GetFailures()), Slow: int(r.GetSlow()), Stopped: r.GetCut(), Evidence: r.GetEvidence(),
		Zone: kctport.Zone(r.GetZone()), Timed: int(r.GetTimed()), From: kctport.InstanceID(r.GetFrom()),
		Latencies: convertAll(r.GetLatencies(), func(n uint64) int { return int(n) }),
	}
}

func fromRelease(r kctport.Release) *kctproto.Release {
	return &kctproto.Release{
		From:      string(r.From),
		Endpoints: convertAll(r.Endpoints, func(id kctport.InstanceID) string { return string(id) }),
	}
}

func toRelease(r *kctproto.Release) kctport.Release {
	return kctport.Release{
		From:      kctport.InstanceID(r.GetFrom()),
		Endpoints: convertAll(r.GetEndpoints(), func(id string) kctport.InstanceID { return kctport.InstanceID(id) }),
	}
}

func fromShare(r kctport.EndpointReport) *kctproto.Share {
	return &kctproto.Share{
		Endpoint: string(r.Endpoint.ID), Service: string(r.Endpoint.Service), Zone: string(r.Endpoint.Zone),
		Version: string(r.Endpoint.Version), Address: r.Endpoint.Address.String(), Leaving: r.Endpoint.Leaving,
		Owner: string(r.Owner), Counter: r.Counter, Boot: r.Status.BootID,
		Slots: uint32(r.Status.Slots), Connections: uint32(r.Status.Connections), Draining: r.Status.Draining,
		Holdings: convertAll(r.Status.Holdings, func(h kctport.Holding) *kctproto.Holding {
			return &kctproto.Holding{Snapshot: uint64(h.Snapshot), Shard: uint32(h.Shard), Shards: uint32(h.Shards)}
		}),
		Health: uint32(r.Health), Reason: r.Reason,
	}
}

func toShare(s *kctproto.Share) kctport.EndpointReport {
	// An address that does not parse becomes the zero AddrPort, and control ignores the report.
	address, _ := netip.ParseAddrPort(s.GetAddress())
	return kctport.EndpointReport{
		Endpoint: kctport.Endpoint{
			ID: kctport.InstanceID(s.GetEndpoint()), Service: kctport.ServiceName(s.GetService()), Zone: kctport.Zone(s.GetZone()),
			Version: kctport.VersionName(s.GetVersion()), Address: address, Leaving: s.GetLeaving(),
		},
		Owner: kctport.InstanceID(s.GetOwner()), Counter: s.GetCounter(),
		Status: kctport.Status{
			BootID: s.GetBoot(), Slots: int(s.GetSlots()), Connections: int(s.GetConnections()), Draining: s.GetDraining(),
			Holdings: convertAll(s.GetHoldings(), func(h *kctproto.Holding) kctport.Holding {
				return kctport.Holding{Snapshot: kctport.Snapshot(h.GetSnapshot()), Shard: int(h.GetShard()), Shards: int(h.GetShards())}
			}),
		},
		Health: kctport.Health(s.GetHealth()), Reason: s.GetReason(),
	}
}

// convertAll converts each element; an empty slice becomes nil.
func convertAll[A, B any](in []A, convert func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, a := range in {
		out[i] = convert(a)
	}
	return out
}
