package kctreport

import (
	"cmp"
	"math"
	"slices"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctburn"
	"kingcupturn/io/kctmetric"
)

// Weights of queries in the weighted service.
const (
	urgentWeight   = 3
	ordinaryWeight = 1
)

// defaultObjective is the objective of a service that has none in the metrics; it is the target of the design page.
const defaultObjective = 0.99

// Burn holds the measured objective and burn rates of one service and kind of request.
type Burn struct {
	Service kctport.ServiceName
	Kind    kctmetric.Kind
	kctburn.Report
}

// Report is the burn report.
type Report struct {
	At      time.Time
	Entries int
	Burns   []Burn
	// P99 is the latency of requests of all kinds, as the upper bound of a histogram bucket; P99Overflow is set when it is above the last finite bound.
	P99         time.Duration
	P99Overflow bool
	// FirstAttempts counts the attempts that were needed, and ExtraAttempts the retries and hedges beyond them, printed as doubled lookups.
	FirstAttempts float64
	ExtraAttempts float64
	// AnsweredWeight is the sum of the weights of answered queries, and TotalWeight that of all queries.
	AnsweredWeight float64
	TotalWeight    float64
	// UrgentOnTime counts urgent queries answered completely within their deadline, and UrgentTotal all urgent queries.
	UrgentOnTime float64
	UrgentTotal  float64
	Violations   float64
	Revision     kctport.Revision
	Exceptions   []kctport.Exception
}

// Build computes the report from samples, oldest first, and the configuration in force.
func Build(samples []Sample, config kctport.Config) Report {
	r := Report{Revision: config.Revision, Exceptions: config.Exceptions}
	for _, s := range samples {
		if s.At.After(r.At) {
			r.At = s.At
		}
	}
	r.Entries = len(series(samples, func(Sample) (float64, float64) { return 0, 0 }))
	r.Burns = burns(samples, r.At)
	r.P99, r.P99Overflow = percentile(samples, 0.99, r.At)
	attempts := increase(samples, r.At, func(s Sample) (float64, float64) {
		return s.sum(kctmetric.NameAttempts, labels{"kind": "first"}),
			s.sum(kctmetric.NameAttempts, labels{"kind": "retry"}) + s.sum(kctmetric.NameAttempts, labels{"kind": "hedge"})
	})
	r.FirstAttempts, r.ExtraAttempts = attempts.Total, attempts.Good
	weighted := increase(samples, r.At, queryWeights)
	r.TotalWeight, r.AnsweredWeight = weighted.Total, weighted.Good
	urgent := increase(samples, r.At, func(s Sample) (float64, float64) {
		return s.sum(kctmetric.NameUrgent, nil), s.sum(kctmetric.NameUrgent, labels{"result": "ontime"})
	})
	r.UrgentTotal, r.UrgentOnTime = urgent.Total, urgent.Good
	r.Violations = increase(samples, r.At, func(s Sample) (float64, float64) {
		return s.sum(kctmetric.NameViolations, nil), 0
	}).Total
	return r
}

// increase returns the increase of two counters over all samples up to now.
func increase(samples []Sample, now time.Time, read counterReader) kctburn.Counts {
	return kctburn.Increase(series(samples, read), time.Time{}, now)
}

// queryWeights returns the total weight of all queries, and of those answered completely or in part.
func queryWeights(s Sample) (total, answered float64) {
	for kind, weight := range map[kctmetric.Kind]float64{kctmetric.KindUrgent: urgentWeight, kctmetric.KindOrdinary: ordinaryWeight} {
		total += weight * s.sum(kctmetric.NameAnswers, labels{"kind": string(kind)})
		for _, o := range []kctmetric.Outcome{kctmetric.OutcomeComplete, kctmetric.OutcomePartial} {
			answered += weight * s.sum(kctmetric.NameAnswers, labels{"kind": string(kind), "outcome": string(o)})
		}
	}
	return total, answered
}

// burns returns the burn of each service and kind that had requests.
func burns(samples []Sample, now time.Time) []Burn {
	var out []Burn
	for _, service := range serviceNames(samples) {
		for _, kind := range []kctmetric.Kind{kctmetric.KindUrgent, kctmetric.KindOrdinary, kctmetric.KindExecution} {
			all := series(samples, func(s Sample) (float64, float64) {
				l := labels{"service": service, "kind": string(kind)}
				total := s.sum(kctmetric.NameObjective, l)
				l["result"] = "met"
				return total, s.sum(kctmetric.NameObjective, l)
			})
			b := Burn{Service: kctport.ServiceName(service), Kind: kind, Report: kctburn.Evaluate(objectiveShare(samples, service), all, now)}
			if b.Counts.Total > 0 {
				out = append(out, b)
			}
		}
	}
	return out
}

// serviceNames returns the services in the samples, sorted.
func serviceNames(samples []Sample) []string {
	var names []string
	for _, s := range samples {
		names = append(names, s.values(kctmetric.NameObjective, "service")...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// objectiveShare returns the objective of a service from the newest sample that has one, or defaultObjective.
func objectiveShare(samples []Sample, service string) float64 {
	for _, s := range slices.Backward(samples) {
		if v := s.sum(kctmetric.NameObjectiveShare, labels{"service": service}); v > 0 {
			return v
		}
	}
	return defaultObjective
}

// percentile returns the upper bound of the latency bucket that contains the quantile; overflow is set when it is above the last finite bound.
func percentile(samples []Sample, quantile float64, now time.Time) (bound time.Duration, overflow bool) {
	bounds := map[float64]bool{}
	for _, s := range samples {
		for b := range s.buckets(kctmetric.NameLatency) {
			bounds[b] = true
		}
	}
	var sorted []float64
	for b := range bounds {
		sorted = append(sorted, b)
	}
	slices.SortFunc(sorted, cmp.Compare[float64])
	last := 0.0
	for _, b := range sorted {
		c := increase(samples, now, func(s Sample) (float64, float64) {
			counts := s.buckets(kctmetric.NameLatency)
			return counts[math.Inf(1)], counts[b]
		})
		if math.IsInf(b, 1) {
			break
		}
		last = b
		if c.Total == 0 || c.Good >= quantile*c.Total {
			return seconds(b), false
		}
	}
	return seconds(last), len(sorted) > 0
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
