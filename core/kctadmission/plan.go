package kctadmission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Shard is what an attempt at one shard of a request can be expected to take.
type Shard struct {
	// Work is the time that an endpoint works on the attempt, Wait the time that the attempt waits there before.
	Work time.Duration
	Wait time.Duration
	// Limit is the wait from which the shard takes no more requests, 0 for none.
	Limit time.Duration
	// Opens is the time until an endpoint may be used again when none may be now, because of failures or a limit that the endpoints name.
	Opens time.Duration
	// Limited is set when Opens follows from a limit that the endpoints name, and other requests compete for what it leaves.
	Limited bool
	// Scarce is set while the shard had to do without some requests recently; Fill is the part of its room that is left, 0 to 1.
	Scarce bool
	Fill   float64
}

// Full reports whether the wait at the shard is too long for a request of a patience.
func (s *Shard) Full(patience float64) bool {
	return s.Limit > 0 && float64(s.Wait) > patience*float64(s.Limit)
}

// opens returns the time until the shard takes a request.
func (s *Shard) opens() time.Duration {
	return max(s.Opens, s.Wait-s.Limit)
}

// Request is a request and its shards.
type Request struct {
	Shards []Shard
	// Needed is the least number of shards in an answer.
	Needed int
	// NeededByUrgent is the same for the more urgent requests for the same shards, 0 without any.
	NeededByUrgent int
	// Patience is the factor by which the request bears longer waits than others, 1 on average. Many entries see the same waits at about the same time;
	// different patience keeps them from all stopping and starting at once.
	Patience float64
	// Deadline is the time until the caller no longer waits for an answer.
	Deadline time.Duration
}

// Reason is why a request is refused.
type Reason string

// The reasons for refusals; logs and metrics show them.
const (
	// NotRefused is the reason of an admitted request.
	NotRefused Reason = ""
	// ShardsClosed means that too many shards have no endpoint that may be used.
	ShardsClosed Reason = "too many shards have no endpoint that may be used"
	// ShardsFull means that the endpoints of too many shards have so much work that the answer would be late.
	ShardsFull Reason = "endpoints of too many shards take no more requests"
	// ShardsSlow means that too many shards are too slow for the caller's deadline.
	ShardsSlow Reason = "too many shards are too slow for the time left"
)

// Plan is the decision on a request.
type Plan struct {
	// Refused is why the request is refused, NotRefused when it is admitted.
	Refused Reason
	// Closed and Full are the numbers of shards without usable endpoints and of those that take no more requests.
	Closed int
	Full   int
	// Blocking is the index of the shard for want of which the request is refused, and Opens the time until it takes one.
	Blocking int
	Opens    time.Duration
	// LeftOut holds the indexes of the shards that an admitted request does without.
	LeftOut []int
}

// Decide plans a request.
//
// Load above the capacity of some shards: the request is refused when more of its shards are full than it can do without, and else leaves them out. When
// more are scarce than it can do without, it uses as few of them as it may, so that more requests reach their minimum coverage.
//
// Shards without usable endpoints: the request is refused at once when it can't reach its minimum coverage.
//
// Slow shards: a request that can't be answered by its objective although no shard is full is answered late, if its deadline allows that.
func Decide(r Request) Plan {
	var unsure []int
	closed, full, inTime, leftOut := 0, 0, 0, 0
	for i := range r.Shards {
		s := &r.Shards[i]
		isFull := s.Full(r.Patience)
		switch {
		case s.Opens > 0 && !s.Limited:
			closed++
		case s.Opens > 0 || isFull:
			full++
		case s.Work+s.Wait <= r.Deadline:
			inTime++
		}
		if s.Opens > 0 || s.Scarce {
			unsure = append(unsure, i)
			if s.Opens > 0 || isFull {
				leftOut++
			}
		}
	}
	slices.SortStableFunc(unsure, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.Shards[b].opens(), r.Shards[a].opens()), cmp.Compare(r.Shards[a].Fill, r.Shards[b].Fill))
	})
	spare := len(r.Shards) - r.Needed
	// A request that needs fewer shards is admitted no sooner than a more urgent one, which it would otherwise starve.
	spareFull := spare
	if full > 0 {
		spareFull = min(spare, len(r.Shards)-r.NeededByUrgent)
	}
	plan := Plan{Closed: closed, Full: full}
	switch {
	case closed > spare:
		return plan.refuse(&r, ShardsClosed, spare)
	case closed+full > spareFull:
		return plan.refuse(&r, ShardsFull, spareFull)
	case inTime < r.Needed:
		return plan.refuse(&r, ShardsSlow, spare)
	}
	if len(unsure) > spare {
		leftOut = mostUseful(leftOut, spare, len(unsure), len(r.Shards))
	}
	plan.LeftOut = unsure[:leftOut]
	return plan
}

// refuse completes the plan of a request that can do without spare shards. The shard for want of which it is refused is the next one in the order in which
// shards take a request, last ones first.
func (p Plan) refuse(r *Request, reason Reason, spare int) Plan {
	order := make([]int, len(r.Shards))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &r.Shards[a], &r.Shards[b]
		return cmp.Or(cmp.Compare(y.opens(), x.opens()), cmp.Compare(y.Work+y.Wait, x.Work+x.Wait))
	})
	p.Refused, p.Blocking = reason, order[min(max(0, spare), len(order)-1)]
	p.Opens = r.Shards[p.Blocking].opens()
	return p
}

// mostUseful returns how many of the scarce shards, from least to most, each request should do without. With fewer scarce shards a request, more requests
// are admitted, but each answer is worth the square of its coverage.
func mostUseful(least, most, scarce, shards int) int {
	best, bestWorth := least, 0.0
	for leftOut := least; leftOut <= most; leftOut++ {
		coverage := float64(shards-leftOut) / float64(shards)
		if worth := coverage * coverage * float64(scarce) / float64(scarce-leftOut); worth > bestWorth {
			best, bestWorth = leftOut, worth
		}
	}
	return best
}

// Needed returns how many of a number of shards reach a coverage, at least one.
func Needed(coverage float64, shards int) int {
	// The small number absorbs the rounding error of a decimal coverage.
	return max(1, int(math.Ceil(coverage*float64(shards)-1e-9)))
}
