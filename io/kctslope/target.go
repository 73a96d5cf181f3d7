package kctslope

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"kingcupturn/core/kctidempotency"
)

// Limits and load of one daemon, and of the platform where noted, at the target size of the design page.
const (
	limitCPU      = 37  // ms/s, 3.7% of a core
	limitMemory   = 256 // MB
	limitControl  = 9   // KB/s
	targetQueries = 780 // 1/s
	targetParts   = 53
	limitReads    = 2000 // 1/s at the platform from all daemons, pending watches included
)

// need is the amount of a resource that one daemon or the platform needs at the target size, with its limit.
type need struct {
	role     string
	quantity string
	need     float64
	// limit is 0 where the design page states none.
	limit float64
	unit  string
	// terms shows how the value was computed.
	terms string
}

func (n need) verdict() string {
	switch {
	case n.limit == 0:
		return "no limit stated"
	case n.need <= n.limit:
		return "met"
	}
	return "not met"
}

// figures looks up series by part, size and quantity.
type figures []Series

// at returns the measured value at a size, or the value of the fitted line if the size was not measured; it returns false if the series is missing.
func (f figures) at(part, x, y string, size float64) (float64, bool) {
	for _, s := range f {
		if s.Part != part || s.X != x || s.Y != y {
			continue
		}
		for _, p := range s.Points {
			if p.X == size {
				return p.Y, true
			}
		}
		return s.Fit.At(size), true
	}
	return 0, false
}

// slope returns the slope of a series; it returns false if the series is missing.
func (f figures) slope(part, x, y string) (float64, bool) {
	for _, s := range f {
		if s.Part == part && s.X == x && s.Y == y {
			return s.Fit.Slope, true
		}
	}
	return 0, false
}

// needs computes the needs at the target size from the series; a need whose series are missing is left out.
func needs(all []Series) []need {
	f := figures(all)
	var out []need
	for _, compute := range []func(figures) (need, bool){
		cpuNeed, listNeed, memoryNeed, probeNeed, shareNeed, pushNeed, sessionNeed, zoneSessionNeed, keyNeed, listBytesNeed, readsNeed, queryNeed, relayNeed, wireNeed,
	} {
		if n, ok := compute(f); ok {
			out = append(out, n)
		}
	}
	return out
}

// listPeriod is the interval between reads of the instance list by a daemon of the target, in seconds: 1 ms per member.
const listPeriod = targetMembers / 1000.0

func cpuNeed(f figures) (need, bool) {
	state, stateFound := f.at("control", "members", "processor time in a day's events without list readings (ms/s)", targetMembers)
	// 9 members at the target's 17 endpoints per member have 153 endpoints.
	messages, messagesFound := f.at("fleet", "endpoints", "processor time a daemon (ms/s)", 9*targetEndpoints/targetMembers)
	change, changeFound := f.slope("changes", "changes a second", "processor time a daemon (ms/s)")
	pushes := change * changesPerDay / day.Seconds()
	return need{
		role: "control", quantity: "processor time without list readings", need: state + messages + pushes, limit: limitCPU, unit: "ms/s",
		terms: fmt.Sprintf("%.2f state at the target + %.2f messages and status calls of a small fleet + %.2f pushes", state, messages, pushes),
	}, stateFound && messagesFound && changeFound
}

func listNeed(f figures) (need, bool) {
	decode, decodeFound := f.at("record", "members", "decoding of the instance list (ms)", targetMembers)
	apply, applyFound := f.at("control", "members", "reading of the instance list (ms)", targetMembers)
	return need{
		role: "control", quantity: "processor time of list readings", need: (decode + apply) / listPeriod, limit: limitCPU, unit: "ms/s",
		terms: fmt.Sprintf("(%.1f decoding + %.1f taking) ms each %.1f s", decode, apply, listPeriod),
	}, decodeFound && applyFound
}

func memoryNeed(f figures) (need, bool) {
	control, controlFound := f.at("control", "members", "resident memory of a process with control only (MB)", targetMembers)
	entry, entryFound := f.at("fleet", "members", "live heap and stacks a daemon (MB)", 4)
	return need{
		role: "control", quantity: "resident memory without list readings and sessions", need: control + entry, limit: limitMemory, unit: "MB",
		terms: fmt.Sprintf("%.1f control + %.1f rest of an entry", control, entry),
	}, controlFound && entryFound
}

func probeNeed(f figures) (need, bool) {
	// Probes carry 2 changes when few members change; a member receives as many probes as it sends.
	bytes, ok := f.at("wire", "member changes", "probe with its reply (bytes)", 2)
	return need{
		role: "control", quantity: "probes, sent and received", need: 2 * probesPerSecond * bytes / 1000, limit: limitControl, unit: "KB/s",
		terms: fmt.Sprintf("%d probes/s each way of %.0f bytes", probesPerSecond, bytes),
	}, ok
}

func shareNeed(f figures) (need, bool) {
	messages, messagesFound := f.at("control", "members", "share messages sent in a day's events (1/s)", targetMembers)
	reports, reportsFound := f.at("control", "members", "endpoint reports sent in a day's events (1/s)", targetMembers)
	perReport, perReportFound := f.slope("wire", "endpoint reports", "share with its reply (bytes)")
	perMessage, perMessageFound := f.at("wire", "endpoint reports", "share with its reply (bytes)", 0)
	return need{
		role: "owner of endpoints", quantity: "endpoint reports, sent and received", need: 2 * (messages*perMessage + reports*perReport) / 1000, limit: limitControl, unit: "KB/s",
		terms: fmt.Sprintf("%.2f messages/s with %.1f reports/s each way, %.0f + %.0f bytes a report", messages, reports, perMessage, perReport),
	}, messagesFound && reportsFound && perReportFound && perMessageFound
}

func pushNeed(f figures) (need, bool) {
	bytes, ok := f.at("wire", "changes in the history", "push with its reply (bytes)", 1000)
	perSecond := changesPerDay / day.Seconds()
	return need{
		role: "watcher of configuration", quantity: "pushes of the document, sent and received, at most", need: 2 * pushTargets * perSecond * bytes / 1000, limit: limitControl, unit: "KB/s",
		terms: fmt.Sprintf("%.4f changes/s to %d members, %.0f bytes with a full history", perSecond, pushTargets, bytes),
	}, ok
}

func listBytesNeed(f figures) (need, bool) {
	size, ok := f.at("record", "members", "instance list (KB)", targetMembers)
	return need{
		role: "control", quantity: "instance list read", need: size / listPeriod, limit: limitControl, unit: "KB/s",
		terms: fmt.Sprintf("%.0f KB each %.1f s", size, listPeriod),
	}, ok
}

func readsNeed(f figures) (need, bool) {
	_, ok := f.at("fleet", "members", "platform reads of all daemons (1/s)", 4)
	watchers := 2.0 * targetZones
	lists, polls := targetMembers/listPeriod, (targetMembers-watchers)/30
	return need{
		role: "platform", quantity: "reads and pending watches of all daemons", need: lists + polls + watchers, limit: limitReads, unit: "1/s",
		terms: fmt.Sprintf("%.0f lists + %.0f slow polls + %.0f pending watches, from the periods in the code", lists, polls, watchers),
	}, ok
}

func queryNeed(f figures) (need, bool) {
	ms, ok := f.at("query", "parts of a query, 1 entries", "processor time a query (ms)", targetParts)
	return need{
		role: "traffic", quantity: "cores with every part sent directly", need: targetQueries * ms / 1000, unit: "cores",
		terms: fmt.Sprintf("%d queries/s of %.2f ms", targetQueries, ms),
	}, ok
}

func relayNeed(f figures) (need, bool) {
	direct, directFound := f.at("query", "parts of a query, 1 entries", "processor time a query (ms)", targetParts)
	mixed, mixedFound := f.at("query", "parts of a query, 4 entries", "processor time a query (ms)", targetParts)
	// Four entries relay three quarters of their parts; at the target nearly all parts are relayed.
	relayed := direct + (mixed-direct)*relayMembers/(relayMembers-1)
	return need{
		role: "traffic", quantity: "cores with every part relayed", need: targetQueries * relayed / 1000, unit: "cores",
		terms: fmt.Sprintf("%d queries/s of %.2f ms", targetQueries, relayed),
	}, directFound && mixedFound
}

func wireNeed(f figures) (need, bool) {
	direct, directFound := f.at("query", "parts of a query, 1 entries", "bytes read and written a query (KB)", targetParts)
	mixed, mixedFound := f.at("query", "parts of a query, 4 entries", "bytes read and written a query (KB)", targetParts)
	relayed := direct + (mixed-direct)*relayMembers/(relayMembers-1)
	return need{
		role: "traffic", quantity: "bytes read and written with every part relayed", need: targetQueries * relayed / 1000, unit: "MB/s",
		terms: fmt.Sprintf("%d queries/s of %.0f KB", targetQueries, relayed),
	}, directFound && mixedFound
}

func sessionNeed(f figures) (need, bool) {
	return sessionMemoryNeed(f, targetMembers, "resident memory of sessions to and from every member")
}

func zoneSessionNeed(f figures) (need, bool) {
	return sessionMemoryNeed(f, targetMembers/targetZones, "resident memory of sessions to and from the members of one zone")
}

// sessionMemoryNeed counts twice the live memory, since the garbage collector lets the heap grow to twice its live size.
func sessionMemoryNeed(f figures, members int, quantity string) (need, bool) {
	perMember, ok := f.slope("fleet", "members", "live heap and stacks a daemon (MB)")
	return need{
		role: "traffic", quantity: quantity, need: 2 * perMember * float64(members), limit: limitMemory, unit: "MB",
		terms: fmt.Sprintf("2 x %.4f MB a member, %d members", perMember, members),
	}, ok
}

func keyNeed(f figures) (need, bool) {
	perKey, ok := f.slope("role", "used keys", "live heap of used keys (MB)")
	return need{
		role: "issuer of keys", quantity: "resident memory of a full table of used keys", need: 2 * perKey * kctidempotency.DefaultCapacity, limit: limitMemory, unit: "MB",
		terms: fmt.Sprintf("2 x %.2f KB a key, %d keys", 1000*perKey, kctidempotency.DefaultCapacity),
	}, ok
}

// writeNeeds writes the needs as a table, below that of the series.
func writeNeeds(w io.Writer, all []need) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nrole\tneed at the target\tvalue\tlimit\tunit\tverdict\tfrom")
	for _, n := range all {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%s\t%s\t%s\n", n.role, n.quantity, n.need, n.limit, n.unit, n.verdict(), n.terms)
	}
	return eris.Wrap(t.Flush(), "write needs")
}
