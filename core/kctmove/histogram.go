package kctmove

import (
	"math"
	"slices"
	"time"
)

const (
	// buckets is the number of latency buckets; the last one, above 9.7 s, also takes the timeouts.
	buckets = 64
	// firstBucket is the upper bound of the first bucket; each further bound is bucketGrowth times the one before.
	firstBucket  = 100 * time.Microsecond
	bucketGrowth = 1.2
)

// histogram counts latencies by bucket. Entries report histograms instead of
// slow replies, since an entry may own endpoints of one version only and so
// lack the old version's latencies, which define what is slow.
type histogram [buckets]int

// bucket returns the index of a latency's bucket.
func bucket(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(buckets-1, int(math.Ceil(math.Log(float64(d)/float64(firstBucket))/math.Log(bucketGrowth))))
}

func (h *histogram) total() int {
	return h.above(-1)
}

// used returns the buckets up to the last nonzero one, which keeps reports short.
func (h *histogram) used() []int {
	end := buckets
	for end > 0 && h[end-1] == 0 {
		end--
	}
	return slices.Clone(h[:end])
}

// above counts the latencies in buckets after the limit.
func (h *histogram) above(limit int) int {
	n := 0
	for _, c := range h[limit+1:] {
		n += c
	}
	return n
}

// counts are the attempts at one version in one cell and period.
type counts struct {
	requests  int
	failures  int
	latencies histogram
}

// record counts one attempt; cold attempts count as requests and failures but aren't timed.
func (c *counts) record(cold bool, e outcome, latency time.Duration) {
	c.requests++
	switch {
	case e == outcomeFailure:
		c.failures++
	case cold:
	case e == outcomeTimeout:
		c.latencies[buckets-1]++
	default:
		c.latencies[bucket(latency)]++
	}
}

func (c *counts) add(d *counts) {
	c.requests += d.requests
	c.failures += d.failures
	for i, n := range d.latencies {
		c.latencies[i] += n
	}
}

// tally counts latencies in buckets after the limit as slow.
func (c *counts) tally(limit int) tally {
	return tally{requests: c.requests, failures: c.failures, timed: c.latencies.total(), slow: c.latencies.above(limit)}
}
