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
		verdict := "missed"
		if row.Met {
			verdict = "met"
		}
		sign := "<="
		if row.Bound == atLeast {
			sign = ">="
		}
		fmt.Fprintf(t, "%s\t%s %g\t%s\t%s\t%s\t%s\n", row.Name, sign, row.Target,
			spread(row.Values[naive]), spread(row.Values[ordinary]), spread(row.Values[ours]), verdict)
	}
	return t.Flush()
}

// spread formats the median, and the range if there are several seeds.
func spread(values []float64) string {
	if len(values) == 1 {
		return number(values[0])
	}
	return fmt.Sprintf("%s (%s to %s)", number(median(values)), number(slices.Min(values)), number(slices.Max(values)))
}

func number(x float64) string {
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
