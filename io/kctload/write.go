package kctload

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"kingcupturn/io/kctwire"

	"github.com/rotisserie/eris"
)

// WriteText writes the report for people.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	p("workload %s, seed %d, %v\n", r.Workload, r.Seed, r.Length)
	p("kind\tsent\twhole\tpartial\tnot run\tunknown\twrong\tlost\tdoubled\tfalse\tp50\tp90\tp99\tp99.9\tcoverage\ton time\n")
	for _, s := range append([]Summary{r.All}, r.Kinds...) {
		q := s.Quantiles
		p("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t%.4f\t%.4f\n", s.Name, s.Sent, s.Complete, s.Partial, s.NotRun, s.Unknown, s.Wrong, s.Lost, s.Doubled, s.Misreported,
			short(q.P50), short(q.P90), short(q.P99), short(q.P999), s.Coverage, s.OnTime)
	}
	p("parts run %d, needed %d, extra load %.2f%%; connections broken %d, not made %d; arrivals skipped %d\n",
		r.PartsRun, r.PartsNeeded, 100*r.ExtraLoad(), r.All.Broken, r.All.FailedDials, r.Skipped)
	if len(r.Codes) > 0 {
		p("refusals by code: %v\n", r.Codes)
	}
	for _, e := range r.Evidence {
		p("evidence: %s\n", e)
	}
	return eris.Wrap(t.Flush(), "write text")
}

func short(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

var header = []string{"kind", "sent", "whole", "partial", "notrun", "unknown", "wrong", "lost", "doubled", "false", "broken", "redials", "p50", "p90", "p99", "p999", "coverage", "ontime"}

// WriteCSV writes one line for all requests and one for each kind; latencies are in seconds.
func (r Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	_ = c.Write(header)
	for _, s := range append([]Summary{r.All}, r.Kinds...) {
		line := []string{s.Name}
		for _, n := range []int{s.Sent, s.Complete, s.Partial, s.NotRun, s.Unknown, s.Wrong, s.Lost, s.Doubled, s.Misreported, s.Broken, s.FailedDials} {
			line = append(line, strconv.Itoa(n))
		}
		q := s.Quantiles
		for _, f := range []float64{q.P50.Seconds(), q.P90.Seconds(), q.P99.Seconds(), q.P999.Seconds(), s.Coverage, s.OnTime} {
			line = append(line, strconv.FormatFloat(f, 'g', -1, 64))
		}
		_ = c.Write(line)
	}
	c.Flush()
	return eris.Wrap(c.Error(), "write CSV")
}

type summaryMessage struct {
	Name     string           `json:"name"`
	Sent     int              `json:"sent"`
	Ok       int              `json:"ok"`
	Whole    int              `json:"whole"`
	Partial  int              `json:"partial"`
	NotRun   int              `json:"notrun"`
	Unknown  int              `json:"unknown"`
	Wrong    int              `json:"wrong"`
	Lost     int              `json:"lost"`
	Doubled  int              `json:"doubled"`
	False    int              `json:"false"`
	Broken   int              `json:"broken"`
	Redials  int              `json:"redials"`
	P50      kctwire.Duration `json:"p50"`
	P90      kctwire.Duration `json:"p90"`
	P99      kctwire.Duration `json:"p99"`
	P999     kctwire.Duration `json:"p999"`
	Coverage float64          `json:"coverage"`
	Ontime   float64          `json:"ontime"`
	Urgent   int              `json:"urgent"`
}

type reportMessage struct {
	Workload string           `json:"workload"`
	Seed     uint64           `json:"seed"`
	Length   kctwire.Duration `json:"length"`
	Skipped  int              `json:"skipped"`
	Run      uint64           `json:"run"`
	Needed   uint64           `json:"needed"`
	Extra    float64          `json:"extra"`
	All      summaryMessage   `json:"all"`
	Kinds    []summaryMessage `json:"kinds"`
	Codes    map[string]int   `json:"codes,omitempty"`
	Evidence []string         `json:"evidence,omitempty"`
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	m := reportMessage{
		Workload: r.Workload, Seed: r.Seed, Length: kctwire.Duration(r.Length), Skipped: r.Skipped,
		Run: r.PartsRun, Needed: r.PartsNeeded, Extra: r.ExtraLoad(), All: r.All.message(), Codes: r.Codes, Evidence: r.Evidence,
	}
	for _, s := range r.Kinds {
		m.Kinds = append(m.Kinds, s.message())
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(m), "write JSON")
}

func (s Summary) message() summaryMessage {
	q := s.Quantiles
	return summaryMessage{
		Name: s.Name, Sent: s.Sent, Ok: s.Answered, Whole: s.Complete, Partial: s.Partial, NotRun: s.NotRun, Unknown: s.Unknown,
		Wrong: s.Wrong, Lost: s.Lost, Doubled: s.Doubled, False: s.Misreported, Broken: s.Broken, Redials: s.FailedDials,
		P50: kctwire.Duration(q.P50), P90: kctwire.Duration(q.P90), P99: kctwire.Duration(q.P99), P999: kctwire.Duration(q.P999),
		Coverage: s.Coverage, Ontime: s.OnTime, Urgent: s.Urgent,
	}
}
