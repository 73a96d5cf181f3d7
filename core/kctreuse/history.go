package kctreuse

import (
	"math"
	"time"
)

const (
	// dropWeight is the weight of one answer in the smoothed share of dropped ones; with one in twelve dropped the share stays far below maxDropShare.
	dropWeight = 0.05
	// shareHalfLife is how fast the share decays without answers on used connections, so that these are tried again.
	shareHalfLife = 10 * time.Second
	// maxDropShare is the share of dropped answers beyond which a connection for each request costs less: a dropped answer costs the endpoint a whole
	// request, a new connection up to a third of one.
	maxDropShare = 0.3
	// maxDropsInRow is the number of answers dropped one after the other from which on the next one is expected to be dropped, too, for retryAfter.
	maxDropsInRow = 4
	retryAfter    = 10 * time.Second
	// caution is how long after the last second copy requests that may not be repeated get connections of their own.
	caution = time.Minute
)

// History is what an endpoint's connections have shown; the zero value is that of an endpoint without second copies. It is not safe for concurrent use.
type History struct {
	// share is the smoothed share of the answers on used connections that were dropped, dropsInRow the number of the last ones that were.
	share      float64
	shareAt    time.Time
	dropsInRow int
	// copyAt is when the endpoint was last known to send a second copy, zero for never.
	copyAt time.Time
}

// RecordAnswer records an answer on a used connection; dropped is set when it could not be told from bytes of others.
func (h *History) RecordAnswer(now time.Time, dropped bool) {
	sample := 0.0
	if dropped {
		sample, h.copyAt = 1, now
		h.dropsInRow++
	} else {
		h.dropsInRow = 0
	}
	h.share = h.dropShare(now)*(1-dropWeight) + sample*dropWeight
	h.shareAt = now
}

// RecordCopy records bytes beyond the answers that were due.
func (h *History) RecordCopy(now time.Time) { h.copyAt = now }

// dropShare returns the smoothed share, which decays while there are no answers.
func (h *History) dropShare(now time.Time) float64 {
	return h.share * math.Exp2(-float64(now.Sub(h.shareAt))/float64(shareHalfLife))
}

// MayReuse reports whether a request may use a connection on which others were answered.
func (h *History) MayReuse(now time.Time, repeatable bool) bool {
	switch {
	case h.copyAt.IsZero():
		return true
	case h.dropShare(now) > maxDropShare, h.dropsInRow >= maxDropsInRow && now.Sub(h.shareAt) < retryAfter:
		return false
	}
	return repeatable || now.Sub(h.copyAt) >= caution
}

// IsOver reports whether the history no longer has an effect.
func (h *History) IsOver(now time.Time) bool { return now.Sub(h.copyAt) >= caution }
