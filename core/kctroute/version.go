package kctroute

import (
	"math"

	"github.com/cespare/xxhash/v2"

	kctport "kingcupturn"
)

// maxEvaluationShare is the largest share of a version under evaluation.
const maxEvaluationShare = 0.05

// versionAllowed reports whether any request may go to the version under the move.
func versionAllowed(move *kctport.Move, version kctport.VersionName) bool {
	return move == nil || version != move.To || move.Share > 0
}

// assignedNew reports whether the request is assigned to the new version.
func assignedNew(move *kctport.Move, request string) bool {
	return move.Share >= 1 || fraction(string(move.ID), request) < move.Share
}

// fraction hashes a salt and a request to a uniform value in [0, 1).
func fraction(salt, request string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(request)
	return float64(d.Sum64()>>11) / math.Exp2(53)
}

// withVersion keeps the candidates of the version that the request is assigned to. A request assigned to the new version may
// fall back to the old one. The reverse is allowed only after the evaluation, so that a lack of old replicas can't raise the
// share of a version under evaluation.
func withVersion(move *kctport.Move, request string, candidates []*kctport.Replica) []*kctport.Replica {
	if move == nil {
		return candidates
	}
	toNew := assignedNew(move, request)
	matching := filter(candidates, func(r *kctport.Replica) bool { return (r.Version == move.To) == toNew })
	if len(matching) == 0 && (toNew || move.Share > maxEvaluationShare) {
		return candidates
	}
	return matching
}

// filter returns the replicas for which keep returns true.
func filter(rs []*kctport.Replica, keep func(*kctport.Replica) bool) []*kctport.Replica {
	var out []*kctport.Replica
	for _, r := range rs {
		if keep(r) {
			out = append(out, r)
		}
	}
	return out
}
