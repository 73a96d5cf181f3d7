package kctfeed

import (
	"math"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctproto"
)

// perMille converts loads and cores to thousandths, their unit on the wire.
const perMille = 1000

// encodeEntry encodes an entry's record; on the wire capacity is Cores, and relay is the port of Relay, whose IP address is that of Peer.
func encodeEntry(e kctport.EntryRecord) *kctproto.FeedEntry {
	out := &kctproto.FeedEntry{
		Id: string(e.ID), Zone: string(e.Zone), Caller: e.Caller.String(), Peer: e.Peer.String(), Leaving: e.Leaving,
		Load: uint32(math.Round(e.Load * perMille)), Capacity: uint32(math.Round(e.Cores * perMille)),
	}
	if e.Relay.IsValid() {
		out.Relay = uint32(e.Relay.Port())
	}
	return out
}

func decodeEntry(e *kctproto.FeedEntry) (kctport.EntryRecord, error) {
	caller, err := netip.ParseAddrPort(e.GetCaller())
	if err != nil {
		return kctport.EntryRecord{}, eris.Wrapf(kctport.ErrInvalid, "caller address of entry %q: %v", e.GetId(), err)
	}
	peer, err := netip.ParseAddrPort(e.GetPeer())
	if err != nil {
		return kctport.EntryRecord{}, eris.Wrapf(kctport.ErrInvalid, "peer address of entry %q: %v", e.GetId(), err)
	}
	var relay netip.AddrPort
	if port := e.GetRelay(); port > 0 && port <= math.MaxUint16 {
		relay = netip.AddrPortFrom(peer.Addr(), uint16(port))
	}
	return kctport.EntryRecord{
		Relay: relay, ID: kctport.InstanceID(e.GetId()), Zone: kctport.Zone(e.GetZone()), Caller: caller, Peer: peer, Leaving: e.GetLeaving(),
		Load: float64(e.GetLoad()) / perMille, Cores: float64(e.GetCapacity()) / perMille,
	}, nil
}

// decodeContact decodes what the sender says of the store; delay bounds the time since the update was made.
func decodeContact(m *kctproto.FeedUpdate, sender kctport.InstanceID, delay time.Duration) kctport.StoreContact {
	c := kctport.StoreContact{
		Watcher: kctport.InstanceID(m.GetWatcher()), Hops: int(m.GetHops()), Age: time.Duration(m.GetAge()) + delay,
		Silence: time.Duration(m.GetSilence()) + delay, Steady: time.Duration(m.GetSteady()), Revision: kctport.StoreRevision{Era: m.GetEra(), Number: m.GetRevision()},
	}
	if m.GetSilence() == 0 {
		c.Silence = c.Age
	}
	if c.Watcher == "" && !m.GetAway() {
		// Entries of the former version don't name the watcher; those that are followed watch the store themselves.
		c.Watcher = sender
	}
	return c
}

func encodeSuspicions(suspicions []kctport.Suspicion) []*kctproto.FeedSuspicion {
	var out []*kctproto.FeedSuspicion
	for _, s := range suspicions {
		out = append(out, &kctproto.FeedSuspicion{
			Fingerprint: uint64(s.Fingerprint), Round: s.Round, Crashes: uint32(s.Crashes), Endpoint: string(s.Endpoint), Started: kctproto.Micros(s.Started),
			Flight: int64(s.InFlight), Lifetime: int64(s.Lifetime), Cleared: s.Cleared,
		})
	}
	return out
}

func encodeMoves(reports []kctport.MoveReport) []*kctproto.FeedMoveReport {
	var out []*kctproto.FeedMoveReport
	for _, r := range reports {
		m := &kctproto.FeedMoveReport{
			From: string(r.From), Move: r.Move, Version: string(r.Version), Route: r.Route, Zone: string(r.Zone), Endpoint: string(r.Endpoint),
			Requests: uint32(r.Requests), Timed: uint32(r.Timed), Failures: uint32(r.Failures), Slow: uint32(r.Slow), Stopped: r.Stopped, Evidence: r.Evidence,
		}
		for _, n := range r.Latencies {
			m.Latencies = append(m.Latencies, uint32(n))
		}
		out = append(out, m)
	}
	return out
}

func decodeMoves(reports []*kctproto.FeedMoveReport) []kctport.MoveReport {
	var out []kctport.MoveReport
	for _, m := range reports {
		r := kctport.MoveReport{
			From: kctport.InstanceID(m.GetFrom()), Move: m.GetMove(), Version: kctport.VersionName(m.GetVersion()), Route: m.GetRoute(), Zone: kctport.Zone(m.GetZone()),
			Endpoint: kctport.InstanceID(m.GetEndpoint()), Requests: int(m.GetRequests()), Timed: int(m.GetTimed()), Failures: int(m.GetFailures()),
			Slow: int(m.GetSlow()), Stopped: m.GetStopped(), Evidence: m.GetEvidence(),
		}
		for _, n := range m.GetLatencies() {
			r.Latencies = append(r.Latencies, int(n))
		}
		out = append(out, r)
	}
	return out
}

func decodeSuspicions(suspicions []*kctproto.FeedSuspicion) []kctport.Suspicion {
	var out []kctport.Suspicion
	for _, s := range suspicions {
		out = append(out, kctport.Suspicion{
			Fingerprint: kctport.Fingerprint(s.GetFingerprint()), Round: s.GetRound(), Crashes: int(s.GetCrashes()), Endpoint: kctport.InstanceID(s.GetEndpoint()),
			Started: kctproto.Time(s.GetStarted()), InFlight: time.Duration(s.GetFlight()), Lifetime: time.Duration(s.GetLifetime()), Cleared: s.GetCleared(),
		})
	}
	return out
}

func decodeUpdate(m *kctproto.FeedUpdate, decode Decoder) (kctport.FeedUpdate, error) {
	f := kctport.FeedUpdate{Full: m.GetFull(), Suspicions: decodeSuspicions(m.GetSuspicions()), Moves: decodeMoves(m.GetMoves())}
	for _, r := range m.GetRecords() {
		value := r.GetValue()
		if r.GetCompressed() {
			var err error
			if value, err = decompress(value); err != nil {
				return f, eris.Wrapf(kctport.ErrInvalid, "value of %s: %v", r.GetKey(), err)
			}
		}
		f.Changes = append(f.Changes, decode(r.GetKey(), value, kctport.StoreRevision{Era: r.GetEra(), Number: r.GetRevision()}, r.GetDeleted()))
	}
	for _, member := range m.GetMembers() {
		e, err := decodeEntry(member.GetEntry())
		if err != nil {
			return f, err
		}
		f.Members = append(f.Members, kctport.FeedMember{Origin: kctport.InstanceID(member.GetOrigin()), Entry: e, Unsubscribed: member.GetGone()})
	}
	return f, nil
}
