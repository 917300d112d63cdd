package jkpolicy

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// writeTable prints the measures of one workload with their targets.
func writeTable(w io.Writer, r *results, rows []measureRow) error {
	s := r.settings
	fmt.Fprintf(w, "%s: load %.2f of a capacity of %.2f programs/s, %s measured, seeds %d to %d\n",
		r.workload.Name, s.load, r.capacity, s.duration, s.seed, s.seed+uint64(s.seeds)-1)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "measure\ttarget\tnaive\tordinary\tjasmineknot\t")
	for _, row := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", row.Name, row.target(),
			spread(row.Values[policyNaive]), spread(row.Values[policyOrdinary]), spread(row.Values[policyJasmineknot]), row.verdict())
	}
	return t.Flush()
}

func (m measureRow) target() string {
	if m.Bound == atLeast {
		return fmt.Sprintf(">= %g", m.Target)
	}
	return fmt.Sprintf("<= %g", m.Target)
}

func (m measureRow) verdict() string {
	if m.Met {
		return "met"
	}
	return "missed"
}

// spread formats the median, and the range if there are several seeds.
func spread(values []float64) string {
	if len(values) == 1 {
		return formatNumber(values[0])
	}
	return fmt.Sprintf("%s (%s to %s)", formatNumber(median(values)), formatNumber(slices.Min(values)), formatNumber(slices.Max(values)))
}

func formatNumber(x float64) string {
	if x >= 1000 {
		return fmt.Sprintf("%.3g", x)
	}
	return fmt.Sprintf("%.3f", x)
}

// report is the JSON form of the results of one workload.
type report struct {
	Workload   string       `json:"workload"`
	Load       float64      `json:"load"`
	Capacity   float64      `json:"capacity_programs_per_second"`
	DurationMS int64        `json:"duration_ms"`
	Seed       uint64       `json:"seed"`
	Seeds      int          `json:"seeds"`
	Measures   []measureRow `json:"measures"`
}

func newReport(r *results, rows []measureRow) report {
	return report{
		Workload: r.workload.Name, Load: r.settings.load, Capacity: r.capacity,
		DurationMS: r.settings.duration.Milliseconds(), Seed: r.settings.seed, Seeds: r.settings.seeds,
		Measures: rows,
	}
}

func writeJSON(w io.Writer, reports []report) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(reports)
}
