package jkload

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxDetails bounds the violations, and the different problems, that a report lists.
const maxDetails = 20

// Latency summarizes the latencies of one kind of call, or of whole programs.
type Latency struct {
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P90MS float64 `json:"p90_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// Report is the result of a run.
type Report struct {
	Seed       uint64                    `json:"seed"`
	Seconds    float64                   `json:"seconds"`
	Completed  int                       `json:"completed"` // programs that reached their end
	Incomplete int                       `json:"incomplete"`
	Turns      int                       `json:"turns"`
	InTime     int                       `json:"in_time"`  // turns completed within the target
	Dropped    int                       `json:"dropped"`  // programs not started because too many were in flight
	Retries    int                       `json:"retries"`  // attempts beyond the first
	Outcomes   map[string]map[string]int `json:"outcomes"` // by kind of call
	Latency    map[string]Latency        `json:"latency"`
	Comparison Comparison                `json:"comparison"`
	Violations int                       `json:"violations"`
	Details    []string                  `json:"details"`
	Problems   map[string]int            `json:"problems"` // calls that were not completed, by their last problem
}

// recorder collects the counters and histograms of a run.
type recorder struct {
	mu         sync.Mutex
	data       Report
	histograms map[string]*hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		data: Report{
			Outcomes: map[string]map[string]int{}, Latency: map[string]Latency{},
			Details: []string{}, Problems: map[string]int{},
		},
		histograms: map[string]*hdrhistogram.Histogram{},
	}
}

func (r *recorder) countCall(kind string, a callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.data.Outcomes[kind] == nil {
		r.data.Outcomes[kind] = map[string]int{}
	}
	r.data.Outcomes[kind][string(a.outcome)]++
	r.data.Retries += max(0, a.attempts-1)
	// Bounded, because a problem's text may differ in every response.
	if a.outcome != outcomeCompleted && (len(r.data.Problems) < maxDetails || r.data.Problems[a.problem] > 0) {
		r.data.Problems[a.problem]++
	}
}

// recordLatency adds a latency to the histogram of its kind. Histograms hold
// microseconds up to one hour; longer latencies count as one hour.
func (r *recorder) recordLatency(kind string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[kind]
	if h == nil {
		h = hdrhistogram.New(1, time.Hour.Microseconds(), 3)
		r.histograms[kind] = h
	}
	_ = h.RecordValue(min(d.Microseconds(), time.Hour.Microseconds())) // always in range
}

func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data.Violations++
	if len(r.data.Details) < maxDetails {
		r.data.Details = append(r.data.Details, fmt.Sprintf(format, args...))
	}
}

func (r *recorder) countDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data.Dropped++
}

func (r *recorder) countProgram(completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if completed {
		r.data.Completed++
		return
	}
	r.data.Incomplete++
}

// countTurn counts a turn and whether it was completed in time.
func (r *recorder) countTurn(inTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data.Turns++
	if inTime {
		r.data.InTime++
	}
}

func (r *recorder) updateComparison(change func(*Comparison)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.data.Comparison)
}

func (r *recorder) finish(seed uint64, took time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.data
	out.Seed, out.Seconds = seed, took.Seconds()
	for kind, h := range r.histograms {
		ms := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1000 }
		out.Latency[kind] = Latency{Count: h.TotalCount(), P50MS: ms(50), P90MS: ms(90), P99MS: ms(99), MaxMS: ms(100)}
	}
	return out
}

// WriteJSON writes the report as one indented JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as text for a terminal.
func (r Report) WriteText(w io.Writer) error {
	text := fmt.Sprintf("seed %d, %.1f s: %d programs completed, %d incomplete, %d dropped, %d retries\n",
		r.Seed, r.Seconds, r.Completed, r.Incomplete, r.Dropped, r.Retries)
	text += fmt.Sprintf("%d of %d turns in time\n", r.InTime, r.Turns) + r.callText()
	c := r.Comparison
	text += fmt.Sprintf("actions=%d ran=%d unknown=%d ran_twice=%d lost=%d not_run_ran=%d without_word=%d aborted=%d unread=%d\n",
		c.Actions, c.Ran, c.Unknown, c.RanTwice, c.Lost, c.NotRunRan, c.NoOutcome, c.Aborted, c.Unread)
	text += fmt.Sprintf("violations=%d\n", r.Violations)
	for _, detail := range r.Details {
		text += "  " + detail + "\n"
	}
	for _, problem := range slices.Sorted(maps.Keys(r.Problems)) {
		text += fmt.Sprintf("  problem %d times: %s\n", r.Problems[problem], problem)
	}
	_, err := io.WriteString(w, text)
	return err
}

// callText lists the outcomes and latencies of the calls by kind.
func (r Report) callText() string {
	text := ""
	for _, kind := range slices.Sorted(maps.Keys(r.Outcomes)) {
		text += fmt.Sprintf("%-12s", kind)
		for _, o := range slices.Sorted(maps.Keys(r.Outcomes[kind])) {
			text += fmt.Sprintf(" %s=%d", o, r.Outcomes[kind][o])
		}
		text += "\n"
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Latency)) {
		l := r.Latency[kind]
		text += fmt.Sprintf("%-12s n=%d p50=%.1f ms p90=%.1f ms p99=%.1f ms max=%.1f ms\n", kind, l.Count, l.P50MS, l.P90MS, l.P99MS, l.MaxMS)
	}
	return text
}
