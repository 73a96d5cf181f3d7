package kctmember

import (
	"math"
	"time"

	kctport "kingcupturn"
)

// standardError of a share near one half, for one sample.
const standardError = 0.5

// turn is the last regular probe of a member.
type turn struct {
	at time.Time
	// among is how many members without suspicion the turn went round; it falls as members are found dead.
	among int
}

// EstimateReachable estimates how many of the other known members are in touch. Members whose turn to be probed came within the window are a random sample: each that was heard stands for an equal share of those among whom it was chosen. While not all were sampled the estimate is raised by its standard error, because a false isolation refuses work and a missed one ends when the lost members are found dead. Members found dead count as known until the platform's list drops them.
func (t *Table) EstimateReachable(now time.Time, within time.Duration) (heard, known int) {
	from := now.Add(-within)
	var sampled, sum int
	for _, e := range t.entries {
		if e.member.State == kctport.MemberLeaving {
			continue
		}
		known++
		switch {
		case !e.turn.at.After(from):
		case e.heard.After(from):
			sampled++
			sum += e.turn.among
		case now.Sub(e.turn.at) > RoundTimeout:
			// A member that was found dead since stays in the sample; without it the sample would hold only survivors.
			sampled++
		}
	}
	if sampled == 0 {
		return 0, known
	}
	estimate := float64(sum) / float64(sampled)
	if sampled < known {
		estimate += float64(t.unsuspected()) * standardError / math.Sqrt(float64(sampled))
	}
	return min(known, int(math.Round(estimate))), known
}

// sample probes a member whose turn has come.
func (t *Table) sample(now time.Time, id kctport.InstanceID, out []OutgoingProbe) []OutgoingProbe {
	before := len(out)
	out = t.probe(now, id, out)
	if len(out) > before {
		t.entries[id].turn = turn{at: now, among: t.unsuspected()}
	}
	return out
}

func (t *Table) unsuspected() int {
	n := 0
	for _, e := range t.entries {
		if e.member.State == kctport.MemberAlive {
			n++
		}
	}
	return n
}
