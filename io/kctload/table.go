package kctload

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

var columns = []string{
	"scenario", "decisions", "sent", "p50", "p99", "p99 / calm", "p99 / baseline", "coverage", "urgent on time", "extra load",
	"not run", "unknown", "wrong", "lost", "doubled", "violations", "cold excess", "sheds", "connections", "new version", "command",
}

// WriteTable writes the rows as a markdown table; command gives the command line that repeats a row.
func WriteTable(w io.Writer, rows []Row, command func(Row) string) error {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(columns)
	b.WriteString(strings.Repeat("| --- ", len(columns)) + "|\n")
	for _, r := range rows {
		line(r.cells(rows, command(r)))
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write table")
}

func (r Row) cells(rows []Row, command string) []string {
	if r.Err != nil {
		cells := make([]string, len(columns))
		cells[0], cells[1], cells[2], cells[len(cells)-1] = r.Scenario, string(r.Variant), "failed: "+r.Err.Error(), "`"+command+"`"
		return cells
	}
	a, p99 := r.Report.All, r.Report.All.Quantiles.P99
	moved := "-"
	if r.Move.ID != "" {
		moved = fmt.Sprintf("%s, %.1f%%", r.Move.State, 100*r.MovedShare)
	}
	number := func(n int) string { return fmt.Sprint(n) }
	return []string{
		r.Scenario, string(r.Variant), number(a.Sent), short(a.Quantiles.P50).String(), short(p99).String(),
		over(p99, rows, "calm", r.Variant), over(p99, rows, r.Scenario, VariantBaseline),
		fmt.Sprintf("%.4f", a.Coverage), fmt.Sprintf("%.4f", a.OnTime), fmt.Sprintf("%.2f%%", 100*r.Report.ExtraLoad()),
		number(a.NotRun), number(a.Unknown), number(a.Wrong + a.Misreported), number(a.Lost), number(a.Doubled),
		fmt.Sprintf("%.0f", r.Violations), fmt.Sprint(r.EndpointCounts.ColdExcess), fmt.Sprint(r.EndpointCounts.Sheds), fmt.Sprint(r.EndpointCounts.Connections), moved, "`" + command + "`",
	}
}

// over is the ratio to the p99 of another row, or a dash without that row.
func over(p99 time.Duration, rows []Row, scenario string, v Variant) string {
	for _, o := range rows {
		if o.Scenario == scenario && o.Variant == v && o.Err == nil && o.Report.All.Quantiles.P99 > 0 {
			return fmt.Sprintf("%.2f", p99.Seconds()/o.Report.All.Quantiles.P99.Seconds())
		}
	}
	return "-"
}
