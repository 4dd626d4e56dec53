package dfptry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"dragonflyport/internal/standin/dfpaudit"
	"dragonflyport/internal/standin/dfpload"
)

// Row counts the requests of one organisation and importance by how they ended.
type Row struct {
	Organisation string `json:"organisation"`
	Importance   string `json:"importance"`
	// Offered counts the whole requests: each request once, regardless of its retries.
	Offered int `json:"offered"`
	Served  int `json:"served"`
	// OverRate counts those refused because the organisation was over its rate.
	OverRate int `json:"over_rate"`
	// Shed counts those refused for other reasons, such as overload.
	Shed int `json:"shed"`
	// Unknown counts those that may have run.
	Unknown int `json:"unknown"`
	// Other counts those that ended in another way, such as with a backend server's error.
	Other int `json:"other"`
}

// Report is the result of a run.
type Report struct {
	Seconds    float64              `json:"seconds"`
	Seed       uint64               `json:"seed"`
	Rows       []Row                `json:"rows"`
	Violations []dfpaudit.Violation `json:"broken_promises"`
	// FailuresByReason counts the attempts that were not completed, by reason.
	FailuresByReason map[string]int `json:"refused_attempts_by_reason"`
}

func newReport(cfg Config, result *dfpload.Result, violations []dfpaudit.Violation) *Report {
	report := &Report{Seconds: cfg.Duration.Seconds(), Seed: cfg.Seed, Violations: violations, FailuresByReason: map[string]int{}}
	if report.Violations == nil {
		report.Violations = []dfpaudit.Violation{}
	}
	for _, row := range result.Rows {
		report.Rows = append(report.Rows, newRow(row))
		for reason, count := range row.FailuresByReason {
			report.FailuresByReason[reason] += count
		}
	}
	return report
}

// newRow returns the row for the output. The load counts reasons by attempt and not by whole request, so the
// refused whole requests are divided in proportion to the reasons of the attempts.
func newRow(row dfpload.Row) Row {
	refused := row.RequestsByVerdict[dfpload.VerdictNotRun]
	failedAttempts, attemptsOverRate := 0, row.FailuresByReason["organisation_rate"]
	for _, count := range row.FailuresByReason {
		failedAttempts += count
	}
	refusedOverRate := 0
	if failedAttempts > 0 {
		refusedOverRate = refused * attemptsOverRate / failedAttempts
	}
	return Row{
		Organisation: row.Organisation, Importance: row.Importance,
		Offered: row.Offered, Served: row.Completed,
		OverRate: refusedOverRate, Shed: refused - refusedOverRate,
		Unknown: row.RequestsByVerdict[dfpload.VerdictUnknown],
		Other:   row.Offered - row.Completed - refused - row.RequestsByVerdict[dfpload.VerdictUnknown],
	}
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "organisation\timportance\toffered\tserved\tover its rate\tshed\tunknown\tother\t")
	for _, row := range r.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			row.Organisation, row.Importance, row.Offered, row.Served, row.OverRate, row.Shed, row.Unknown, row.Other)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if len(r.FailuresByReason) > 0 {
		fmt.Fprintf(w, "refused attempts: %s\n", formatCounts(r.FailuresByReason))
	}
	if len(r.Violations) == 0 {
		_, err := fmt.Fprintln(w, "no promise was broken, by the backend servers' ledgers")
		return err
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, "BROKEN:", v)
	}
	return nil
}

// formatCounts returns the counts as text, sorted by name.
func formatCounts(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

// progress shows interim results.
type progress struct {
	w        io.Writer
	terminal bool
	lines    int
}

// show writes a plain line, or on a terminal redraws the table.
func (p *progress) show(result *dfpload.Result) {
	sum := result.Sum(nil)
	if !p.terminal {
		fmt.Fprintf(p.w, "offered %d, served %d, refused %d, unknown %d\n", sum.Offered, sum.Completed,
			sum.RequestsByVerdict[dfpload.VerdictNotRun], sum.RequestsByVerdict[dfpload.VerdictUnknown])
		return
	}
	if p.lines > 0 {
		fmt.Fprintf(p.w, "\x1b[%dA\x1b[J", p.lines)
	}
	tw := tabwriter.NewWriter(p.w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "organisation\timportance\toffered\tserved\trefused\t")
	for _, row := range result.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t\n", row.Organisation, row.Importance, row.Offered, row.Completed,
			row.RequestsByVerdict[dfpload.VerdictNotRun])
	}
	_ = tw.Flush()
	p.lines = len(result.Rows) + 1
}
