package kctmember

import (
	"math"
	"time"

	kctport "kingcupturn"
)

// standardError is the standard error of a share near one half, for one sample.
const standardError = 0.5

// sample describes the last regular probe of a member.
type sample struct {
	at time.Time
	// candidates is the number of live members without suspicion from which the member was chosen; it falls as members are found dead.
	candidates int
}

// EstimateReachable estimates how many of the other known members are reachable.
//
// The members that were due for a regular probe within the window are a random
// sample; each one that sent a message since stands for an equal share of the
// members from which it was chosen. Unless all members were sampled, the
// estimate is raised by its standard error, since an entry falsely found
// isolated refuses requests, while a missed isolation ends when the unreachable
// members are found dead. Members found dead count as known until the
// platform's list drops them.
func (t *Table) EstimateReachable(now time.Time, within time.Duration) (contact, known int) {
	windowStart := now.Add(-within)
	var sampled, sum int
	for _, p := range t.peers {
		if p.member.State == kctport.MemberLeaving {
			continue
		}
		known++
		switch {
		case !p.sample.at.After(windowStart):
		case p.contact.After(windowStart):
			sampled++
			sum += p.sample.candidates
		case now.Sub(p.sample.at) > RoundTimeout:
			// A member found dead since its probe stays in the sample, which would otherwise contain only live members.
			sampled++
		}
	}
	if sampled == 0 {
		return 0, known
	}
	estimate := float64(sum) / float64(sampled)
	if sampled < known {
		estimate += float64(t.countAlive()) * standardError / math.Sqrt(float64(sampled))
	}
	return min(known, int(math.Round(estimate))), known
}

// probeSample probes a member that is due for a regular probe and records the sample.
func (t *Table) probeSample(now time.Time, id kctport.InstanceID, out []OutgoingProbe) []OutgoingProbe {
	before := len(out)
	out = t.probe(now, id, out)
	if len(out) > before {
		t.peers[id].sample = sample{at: now, candidates: t.countAlive()}
	}
	return out
}

func (t *Table) countAlive() int {
	n := 0
	for _, p := range t.peers {
		if p.member.State == kctport.MemberAlive {
			n++
		}
	}
	return n
}
