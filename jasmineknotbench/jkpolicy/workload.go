// Package jkpolicy compares scheduling policies in virtual time. It drives the
// placement and queueing code of jksched against a small model of continuously
// batching endpoints, and compares it with two baselines and a lower bound in the same
// run. It sends no requests: network, engines and callers are simulated, and the
// figures follow from the workload and the seed alone.
package jkpolicy

import (
	"embed"
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

//go:embed workloads/*.json
var workloads embed.FS

// workloadNames lists the embedded workloads in the order of the report.
var workloadNames = []string{"kosher_miza", "bulles_du_cap"}

// dist is a log-normal distribution, clipped to [Min, Max].
type dist struct {
	Median float64 `json:"median"`
	Sigma  float64 `json:"sigma"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func (d dist) sample(r *rand.Rand) float64 {
	x := d.Median * math.Exp(d.Sigma*r.NormFloat64())
	return min(max(x, d.Min), d.Max)
}

func (d dist) tokens(r *rand.Rand) int64 { return int64(math.Round(d.sample(r))) }

func (d dist) seconds(r *rand.Rand) time.Duration {
	return time.Duration(d.sample(r) * float64(time.Second))
}

// class describes one kind of program: its share of the arrivals and the distributions
// of its turns.
type class struct {
	Name       string  `json:"name"`
	Share      float64 `json:"share"`
	Short      bool    `json:"short"`
	Straggler  bool    `json:"straggler"`
	DeadlineMS int64   `json:"deadline_ms"`
	// Silent is the share of programs that end without an end notice.
	Silent float64 `json:"silent"`
	// Turns is the number of turns; Prompt and Output are the tokens that a turn adds.
	Turns  dist `json:"turns"`
	Prompt dist `json:"prompt"`
	Output dist `json:"output"`
	// Pause is the time between turns in seconds. Human is the share of turns after which
	// a person responds, after HumanPause.
	Pause      dist    `json:"pause"`
	Human      float64 `json:"human"`
	HumanPause dist    `json:"human_pause"`
	// Subagents is the share of turns that start SubagentCount sub-programs of
	// SubagentTurns turns each.
	Subagents     float64 `json:"subagents"`
	SubagentCount int     `json:"subagent_count"`
	SubagentTurns dist    `json:"subagent_turns"`
}

func (c *class) deadline() time.Duration { return time.Duration(c.DeadlineMS) * time.Millisecond }

// network holds the constant one-way delays, the reporting intervals and lags, and the
// share of cache events that are lost.
type network struct {
	ZoneUS          int64   `json:"zone_us"`
	LocalUS         int64   `json:"local_us"`
	ClientUS        int64   `json:"client_us"`
	HeartbeatMS     int64   `json:"heartbeat_ms"`
	DigestMS        int64   `json:"digest_ms"`
	ReportLagMS     int64   `json:"report_lag_ms"`
	CacheEventLagMS int64   `json:"cache_event_lag_ms"`
	CacheEventLoss  float64 `json:"cache_event_loss"`
}

// delay returns the one-way delay between two zones. Constant delays are the whole
// model of the network.
func (n network) delay(from, to string) time.Duration {
	if from == to {
		return time.Duration(n.LocalUS) * time.Microsecond
	}
	return time.Duration(n.ZoneUS) * time.Microsecond
}

// client returns the one-way delay between a caller and its home.
func (n network) client() time.Duration { return time.Duration(n.ClientUS) * time.Microsecond }

// engineSpec describes an endpoint. One step of a batch of b decoding calls with p
// prompt tokens takes step + b·per_call + p·prefill and yields one token per decoding
// call.
type engineSpec struct {
	Slots       int   `json:"slots"`
	CacheTokens int64 `json:"cache_tokens"`
	StepUS      int64 `json:"step_us"`
	PerCallUS   int64 `json:"per_call_us"`
	PrefillUS   int64 `json:"prefill_us"`
	ChunkTokens int64 `json:"chunk_tokens"`
}

func (e engineSpec) step(decoding int, prefill int64) time.Duration {
	return time.Duration(e.StepUS+int64(decoding)*e.PerCallUS+prefill*e.PrefillUS) * time.Microsecond
}

// tokenTime is the endpoint time per generated token at full batch.
func (e engineSpec) tokenTime() time.Duration { return e.step(e.Slots, 0) / time.Duration(e.Slots) }

// loadPeak is a periodic peak of the arrival rate: Factor times the rate outside the
// peak, for LengthS of every PeriodS seconds.
type loadPeak struct {
	Factor  float64 `json:"factor"`
	LengthS float64 `json:"length_s"`
	PeriodS float64 `json:"period_s"`
}

// mean returns the mean arrival rate relative to the rate outside the peak.
func (c loadPeak) mean() float64 { return 1 + (c.Factor-1)*c.LengthS/c.PeriodS }

// contains reports whether t lies within a peak. Each period starts with half of its
// time outside the peak, so that the first peak meets warm caches.
func (c loadPeak) contains(t time.Duration) bool {
	s := math.Mod(t.Seconds(), c.PeriodS) - c.offset()
	return s >= 0 && s < c.LengthS
}

// offset returns the time in seconds from the start of a period to its peak.
func (c loadPeak) offset() float64 { return (c.PeriodS - c.LengthS) / 2 }

// workload describes one deployment of the design page: its zones, endpoints, network,
// engines and the programs that arrive.
type workload struct {
	Name            string         `json:"name"`
	Zones           []string       `json:"zones"`
	Endpoints       map[string]int `json:"endpoints"`
	Network         network        `json:"network"`
	Engine          engineSpec     `json:"engine"`
	Workspaces      int            `json:"workspaces"`
	WorkspaceSkew   float64        `json:"workspace_skew"`
	WorkspacePrompt dist           `json:"workspace_prompt"`
	Classes         []class        `json:"classes"`
	Peak            loadPeak       `json:"crest"`
}

func (w *workload) endpointCount() int {
	n := 0
	for _, z := range w.Zones {
		n += w.Endpoints[z]
	}
	return n
}

func loadWorkload(name string) (*workload, error) {
	data, err := workloads.ReadFile("workloads/" + name + ".json")
	if err != nil {
		return nil, eris.Wrapf(err, "workload %q: allowed are %v", name, workloadNames)
	}
	w := &workload{}
	if err := json.Unmarshal(data, w); err != nil {
		return nil, eris.Wrapf(err, "decode workload %q", name)
	}
	return w, nil
}
