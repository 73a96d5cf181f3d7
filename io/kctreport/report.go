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

// Weights of answered queries in the weighted service.
const (
	urgentWeight   = 3
	ordinaryWeight = 1
)

// defaultShare applies to a service without an objective in the metrics; it is the target of the design page.
const defaultShare = 0.99

// Burn is the burn of one service and kind of request.
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
	// P99 is the latency of requests of all kinds, read from histogram buckets; Above is set when it lies above the last bucket.
	P99         time.Duration
	P99Overflow bool
	// FirstAttempts counts needed attempts and Doubled the retries and hedges on top.
	FirstAttempts float64
	ExtraAttempts float64
	// AnsweredWeight is the sum of the weights of answered queries, Asked that of all queries.
	AnsweredWeight float64
	TotalWeight    float64
	// UrgentOnTime and Urgent count urgent queries answered whole within their deadline, and all.
	UrgentOnTime float64
	UrgentTotal  float64
	Violations   float64
	Revision     kctport.Revision
	Exceptions   []kctport.Exception
}

// Build makes the report from samples in the order of time and the configuration in force.
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
	weighted := increase(samples, r.At, weigh)
	r.TotalWeight, r.AnsweredWeight = weighted.Total, weighted.Good
	urgent := increase(samples, r.At, func(s Sample) (float64, float64) {
		return s.sum(kctmetric.NameUrgent, nil), s.sum(kctmetric.NameUrgent, labels{"result": "ontime"})
	})
	r.UrgentTotal, r.UrgentOnTime = urgent.Total, urgent.Good
	r.Violations = increase(samples, r.At, func(s Sample) (float64, float64) {
		return s.sum(kctmetric.NameViolated, nil), 0
	}).Total
	return r
}

func increase(samples []Sample, now time.Time, read reading) kctburn.Counts {
	return kctburn.Increase(series(samples, read), time.Time{}, now)
}

// weigh gives the weights of all queries and of those answered, whole or in part.
func weigh(s Sample) (asked, answered float64) {
	for kind, weight := range map[kctmetric.Kind]float64{kctmetric.KindUrgent: urgentWeight, kctmetric.KindOrdinary: ordinaryWeight} {
		asked += weight * s.sum(kctmetric.NameAnswers, labels{"kind": string(kind)})
		for _, o := range []kctmetric.Outcome{kctmetric.OutcomeWhole, kctmetric.OutcomePartial} {
			answered += weight * s.sum(kctmetric.NameAnswers, labels{"kind": string(kind), "outcome": string(o)})
		}
	}
	return asked, answered
}

// burns reports each service and kind that had requests.
func burns(samples []Sample, now time.Time) []Burn {
	var out []Burn
	for _, service := range services(samples) {
		for _, kind := range []kctmetric.Kind{kctmetric.KindUrgent, kctmetric.KindOrdinary, kctmetric.KindExecution} {
			all := series(samples, func(s Sample) (float64, float64) {
				l := labels{"service": service, "kind": string(kind)}
				total := s.sum(kctmetric.NameObjective, l)
				l["result"] = "met"
				return total, s.sum(kctmetric.NameObjective, l)
			})
			b := Burn{Service: kctport.ServiceName(service), Kind: kind, Report: kctburn.Evaluate(share(samples, service), all, now)}
			if b.Counts.Total > 0 {
				out = append(out, b)
			}
		}
	}
	return out
}

func services(samples []Sample) []string {
	var names []string
	for _, s := range samples {
		names = append(names, s.values(kctmetric.NameObjective, "service")...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// share is the objective in the newest sample that has one.
func share(samples []Sample, service string) float64 {
	for _, s := range slices.Backward(samples) {
		if v := s.sum(kctmetric.NameShare, labels{"service": service}); v > 0 {
			return v
		}
	}
	return defaultShare
}

// percentile is the upper bound of the bucket that holds the quantile; above is set when it lies above the last finite bound.
func percentile(samples []Sample, quantile float64, now time.Time) (at time.Duration, above bool) {
	bounds := map[float64]bool{}
	for _, s := range samples {
		for b := range s.bucketed(kctmetric.NameLatency) {
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
			counts := s.bucketed(kctmetric.NameLatency)
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
