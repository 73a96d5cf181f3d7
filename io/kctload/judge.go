package kctload

import (
	"cmp"
	"fmt"
	"slices"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

func (a answerMessage) cover() kctport.Coverage {
	c := kctport.Coverage{Answered: a.Coverage.Answered, Total: a.Coverage.Total}
	for _, p := range a.Coverage.Missing {
		c.Missing = append(c.Missing, kctport.Part(p))
	}
	return c
}

// judge checks an answer against what the request must get.
func judge(p Plan, k Kind, a Arrival, key string, answer answerMessage) (verdict, string) {
	if k.Execute {
		return judgeExecution(p, k, a, key, answer)
	}
	coverage := answer.cover()
	if evidence := misreported(coverage, answer.Coverage.Whole); evidence != "" {
		return verdictWrong, evidence
	}
	if evidence := unexpected(p.Oracle, k, a, answer, coverage); evidence != "" {
		return verdictWrong, evidence
	}
	if coverage.Complete() {
		return verdictWhole, ""
	}
	return verdictPartial, ""
}

// misreported finds a coverage that contradicts itself.
func misreported(c kctport.Coverage, whole bool) string {
	distinct := map[kctport.Part]bool{}
	for _, p := range c.Missing {
		distinct[p] = true
	}
	if c.Answered+len(distinct) != c.Total || len(distinct) != len(c.Missing) || whole != c.Complete() {
		return fmt.Sprintf("coverage %d of %d, whole %t, missing %v", c.Answered, c.Total, whole, c.Missing)
	}
	return ""
}

// unexpected compares the items with those of all parts of the one snapshot that are not reported missing.
func unexpected(o Oracle, k Kind, a Arrival, answer answerMessage, c kctport.Coverage) string {
	if o == nil || c.Answered == 0 {
		return ""
	}
	var want []kctport.Item
	total := 0
	for _, s := range k.Services {
		shards := o.Shards(s, answer.Snapshot)
		total += shards
		for i := range shards {
			part := kctport.Part{Service: s, Shard: i}
			if !slices.Contains(c.Missing, part) {
				want = append(want, o.Items(part, shards, answer.Snapshot, []byte(a.Text))...)
			}
		}
	}
	if total != c.Total {
		return fmt.Sprintf("coverage total %d, snapshot %d has %d parts", c.Total, answer.Snapshot, total)
	}
	return differ(want, kctwire.Items(answer.Items))
}

// judgeExecution accepts the items of any shard and snapshot: the request names neither.
func judgeExecution(p Plan, k Kind, a Arrival, key string, answer answerMessage) (verdict, string) {
	if answer.Key != key {
		return verdictWrong, fmt.Sprintf("answer to key %s names key %s", key, answer.Key)
	}
	if p.Oracle == nil {
		return verdictWhole, ""
	}
	evidence := "no snapshot known"
	for _, s := range p.Oracle.Snapshots() {
		shards := p.Oracle.Shards(k.Services[0], s)
		for i := range shards {
			want := p.Oracle.Items(kctport.Part{Service: k.Services[0], Shard: i}, shards, s, []byte(a.Text))
			if evidence = differ(want, kctwire.Items(answer.Items)); evidence == "" {
				return verdictWhole, ""
			}
		}
	}
	return verdictWrong, evidence
}

// differ compares two lists of items in the order of an answer: score descending, then identifier.
func differ(want, got []kctport.Item) string {
	want = slices.Clone(want)
	slices.SortFunc(want, func(a, b kctport.Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	if slices.Equal(want, got) {
		return ""
	}
	for i := range min(len(want), len(got)) {
		if want[i] != got[i] {
			return fmt.Sprintf("item %d is %v, want %v", i, got[i], want[i])
		}
	}
	return fmt.Sprintf("%d items, want %d", len(got), len(want))
}
