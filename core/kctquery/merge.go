package kctquery

import (
	"cmp"
	"fmt"
	"slices"

	kctport "kingcupturn"
)

// merge returns the answer of a run: items by descending score, then identifier, and their coverage.
func (r *run) merge() kctport.Answer {
	a := kctport.Answer{ID: r.query.ID, Snapshot: r.snapshot}
	a.Coverage.Total = len(r.parts)
	merged := make(map[kctport.Part]bool, len(r.parts))
	for _, p := range r.parts {
		if p.state != answered {
			a.Coverage.Missing = append(a.Coverage.Missing, p.part)
			continue
		}
		a.Coverage.Answered++
		a.Items = append(a.Items, p.reply.Items...)
		merged[p.reply.Part] = true
		// Evidence is costly to format, so it is formatted for violations only.
		if p.reply.Snapshot != r.snapshot {
			r.e.checker.Check(false, "one snapshot per answer",
				fmt.Sprintf("query %s: snapshot %d of part %s in an answer from %d", a.ID, p.reply.Snapshot, p.part, r.snapshot))
		}
	}
	if c := a.Coverage; len(merged) != c.Answered || c.Answered+len(c.Missing) != c.Total {
		r.e.checker.Check(false, "coverage equals the merged parts", fmt.Sprintf("query %s: %d merged, coverage %+v", a.ID, len(merged), c))
	}
	slices.SortFunc(a.Items, func(x, y kctport.Item) int {
		return cmp.Or(cmp.Compare(y.Score, x.Score), cmp.Compare(x.ID, y.ID))
	})
	return a
}
