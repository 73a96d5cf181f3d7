package kctload

import (
	"cmp"
	"fmt"
	"slices"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// portCoverage converts the coverage of the answer.
func (a answerMessage) portCoverage() kctport.Coverage {
	c := kctport.Coverage{Answered: a.Coverage.Answered, Total: a.Coverage.Total}
	for _, p := range a.Coverage.Missing {
		c.Missing = append(c.Missing, kctport.Part(p))
	}
	return c
}

// checkAnswer compares an answer with the expected one; on outcomeWrong the second result describes the difference.
func checkAnswer(p Plan, k Kind, a Arrival, key string, answer answerMessage) (outcome, string) {
	if k.Execute {
		return checkExecution(p, k, a, key, answer)
	}
	coverage := answer.portCoverage()
	if evidence := coverageMismatch(coverage, answer.Coverage.Whole); evidence != "" {
		return outcomeWrong, evidence
	}
	if evidence := itemMismatch(p.Oracle, k, a, answer, coverage); evidence != "" {
		return outcomeWrong, evidence
	}
	if coverage.Complete() {
		return outcomeComplete, ""
	}
	return outcomePartial, ""
}

// coverageMismatch describes the inconsistency of a coverage, or returns "".
func coverageMismatch(c kctport.Coverage, reportedComplete bool) string {
	distinct := map[kctport.Part]bool{}
	for _, p := range c.Missing {
		distinct[p] = true
	}
	if c.Answered+len(distinct) != c.Total || len(distinct) != len(c.Missing) || reportedComplete != c.Complete() {
		return fmt.Sprintf("coverage %d of %d, whole %t, missing %v", c.Answered, c.Total, reportedComplete, c.Missing)
	}
	return ""
}

// itemMismatch compares the items of an answer with those of all parts of its snapshot that are not reported missing; it returns "" if they are equal.
func itemMismatch(o Oracle, k Kind, a Arrival, answer answerMessage, c kctport.Coverage) string {
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
	return diffItems(want, kctwire.Items(answer.Items))
}

// checkExecution accepts the items of any shard and snapshot, since the request names neither.
func checkExecution(p Plan, k Kind, a Arrival, key string, answer answerMessage) (outcome, string) {
	if answer.Key != key {
		return outcomeWrong, fmt.Sprintf("answer to key %s names key %s", key, answer.Key)
	}
	if p.Oracle == nil {
		return outcomeComplete, ""
	}
	evidence := "no snapshot to compare with"
	for _, s := range p.Oracle.Snapshots() {
		shards := p.Oracle.Shards(k.Services[0], s)
		for i := range shards {
			want := p.Oracle.Items(kctport.Part{Service: k.Services[0], Shard: i}, shards, s, []byte(a.Text))
			if evidence = diffItems(want, kctwire.Items(answer.Items)); evidence == "" {
				return outcomeComplete, ""
			}
		}
	}
	return outcomeWrong, evidence
}

// diffItems describes the first difference between want, sorted as an answer is (score descending, then identifier), and got; it returns "" if they are equal.
func diffItems(want, got []kctport.Item) string {
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
