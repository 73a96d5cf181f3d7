package kctreport

import (
	"io"
	"net/netip"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctburn"
	"kingcupturn/io/kctmetric"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
)

// Sample holds the metrics of one entry at one time.
type Sample struct {
	At    time.Time
	Entry netip.AddrPort
	// Started is when the entry's process started, with all counters at 0; zero if the metrics don't contain it.
	Started  time.Time
	families map[string]*dto.MetricFamily
}

// Parse parses metrics in the exposition format; errors wrap ErrInvalid.
func Parse(r io.Reader, entry netip.AddrPort, at time.Time) (Sample, error) {
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(r)
	if err != nil {
		return Sample{}, eris.Wrapf(kctport.ErrInvalid, "metrics of %v: %v", entry, err)
	}
	s := Sample{At: at, Entry: entry, families: families}
	if start := s.sum(kctmetric.NameStartTime, nil); start > 0 {
		s.Started = time.UnixMicro(int64(start * 1e6))
	}
	return s, nil
}

// labels selects the metrics of a family that have all these labels.
type labels map[string]string

// match reports whether a metric has all the labels.
func (l labels) match(m *dto.Metric) bool {
	found := 0
	for _, p := range m.GetLabel() {
		if want, ok := l[p.GetName()]; ok {
			if want != p.GetValue() {
				return false
			}
			found++
		}
	}
	return found == len(l)
}

// sum returns the sum of the metrics of a family that have the labels.
func (s Sample) sum(name string, l labels) float64 {
	total := 0.0
	for _, m := range s.families[name].GetMetric() {
		if l.match(m) {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
		}
	}
	return total
}

// values returns the values of a label in a family, with duplicates.
func (s Sample) values(name, label string) []string {
	var out []string
	for _, m := range s.families[name].GetMetric() {
		for _, p := range m.GetLabel() {
			if p.GetName() == label {
				out = append(out, p.GetValue())
			}
		}
	}
	return out
}

// buckets returns the cumulative counts of a histogram by upper bound, summed over its labels.
func (s Sample) buckets(name string) map[float64]float64 {
	out := map[float64]float64{}
	for _, m := range s.families[name].GetMetric() {
		for _, b := range m.GetHistogram().GetBucket() {
			out[b.GetUpperBound()] += float64(b.GetCumulativeCount())
		}
	}
	return out
}

// counterReader reads two counters from a sample, such as the numbers of all and of good requests.
type counterReader func(Sample) (total, good float64)

// series groups the samples by entry; each series begins with zero counters at the start of the process if that is known.
func series(samples []Sample, read counterReader) []kctburn.Series {
	var order []netip.AddrPort
	byEntry := map[netip.AddrPort]kctburn.Series{}
	for _, s := range samples {
		if _, ok := byEntry[s.Entry]; !ok {
			order = append(order, s.Entry)
			if !s.Started.IsZero() && s.Started.Before(s.At) {
				byEntry[s.Entry] = kctburn.Series{{At: s.Started}}
			}
		}
		total, good := read(s)
		byEntry[s.Entry] = append(byEntry[s.Entry], kctburn.Sample{At: s.At, Total: total, Good: good})
	}
	out := make([]kctburn.Series, 0, len(order))
	for _, e := range order {
		out = append(out, byEntry[e])
	}
	return out
}
