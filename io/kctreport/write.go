package kctreport

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	kctport "kingcupturn"
	"kingcupturn/io/kctmetric"

	"github.com/rotisserie/eris"
)

// WriteText writes the report for people.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	p("burn report of %d entries at %s, configuration revision %d\n", r.Entries, r.At.UTC().Format("2006-01-02 15:04:05"), r.Revision)
	p("service\tkind\trequests\tobjective\tmeasured\tbudget left\tburn 5m\tburn 1h\n")
	for _, b := range r.Burns {
		p("%s\t%s\t%.0f\t%.3f%%\t%.3f%%\t%.1f%%\t%.2f\t%.2f\n", b.Service, b.Kind, b.Counts.Total, 100*b.Objective, 100*b.Measured, 100*b.BudgetLeft, b.ShortBurnRate, b.LongBurnRate)
	}
	sign := "at most"
	if r.P99Overflow {
		sign = "above"
	}
	p("tail latency: p99 %s %v\n", sign, r.P99)
	p("doubled lookups: %.0f on %.0f needed, %.2f%%\n", r.ExtraAttempts, r.FirstAttempts, 100*ratio(r.ExtraAttempts, r.FirstAttempts, 0))
	p("weighted service: %.0f of %.0f, %.3f%% (urgent queries weigh %d, ordinary ones %d, executions are left out)\n",
		r.AnsweredWeight, r.TotalWeight, 100*ratio(r.AnsweredWeight, r.TotalWeight, 1), urgentWeight, ordinaryWeight)
	p("urgent on time: %.0f of %.0f, %.3f%%\n", r.UrgentOnTime, r.UrgentTotal, 100*ratio(r.UrgentOnTime, r.UrgentTotal, 1))
	p("invariant violations: %.0f\n", r.Violations)
	p("exceptions in force: %d\n", len(r.Exceptions))
	for _, e := range r.Exceptions {
		p("%s\t%s\t%s %s\t%s\n", e.Name, e.Service, e.Field, e.Value, e.Reason)
	}
	return eris.Wrap(t.Flush(), "write text")
}

// ratio gives the fallback when there is nothing to divide by.
func ratio(part, whole, fallback float64) float64 {
	if whole == 0 {
		return fallback
	}
	return part / whole
}

type burnMessage struct {
	Service   kctport.ServiceName `json:"service"`
	Kind      kctmetric.Kind      `json:"kind"`
	Requests  float64             `json:"requests"`
	Objective float64             `json:"objective"`
	Measured  float64             `json:"measured"`
	Left      float64             `json:"left"`
	Short     float64             `json:"short"`
	Long      float64             `json:"long"`
}

type exceptionMessage struct {
	Name    string              `json:"name"`
	Service kctport.ServiceName `json:"service"`
	Field   string              `json:"field"`
	Value   string              `json:"value"`
	Reason  string              `json:"reason"`
}

type reportMessage struct {
	At         string             `json:"at"`
	Entries    int                `json:"entries"`
	Revision   kctport.Revision   `json:"revision"`
	Burns      []burnMessage      `json:"burns"`
	P99        string             `json:"p99"`
	Above      bool               `json:"above"`
	First      float64            `json:"first"`
	Doubled    float64            `json:"doubled"`
	Weighted   float64            `json:"weighted"`
	Asked      float64            `json:"asked"`
	Ontime     float64            `json:"ontime"`
	Urgent     float64            `json:"urgent"`
	Violations float64            `json:"violations"`
	Exceptions []exceptionMessage `json:"exceptions"`
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	m := reportMessage{
		At: r.At.UTC().Format(timeFormat), Entries: r.Entries, Revision: r.Revision,
		P99: r.P99.String(), Above: r.P99Overflow, First: r.FirstAttempts, Doubled: r.ExtraAttempts, Weighted: r.AnsweredWeight, Asked: r.TotalWeight,
		Ontime: r.UrgentOnTime, Urgent: r.UrgentTotal, Violations: r.Violations,
		Burns: []burnMessage{}, Exceptions: []exceptionMessage{},
	}
	for _, b := range r.Burns {
		m.Burns = append(m.Burns, burnMessage{b.Service, b.Kind, b.Counts.Total, b.Objective, b.Measured, b.BudgetLeft, b.ShortBurnRate, b.LongBurnRate})
	}
	for _, e := range r.Exceptions {
		m.Exceptions = append(m.Exceptions, exceptionMessage(e))
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(m), "write JSON")
}
