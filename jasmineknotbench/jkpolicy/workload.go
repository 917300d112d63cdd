// Package jkpolicy measures scheduling policies in virtual time. It drives the
// code of jksched against a small model of continuously batching endpoints and
// compares it with two baselines and a lower bound in the same run.
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

func (d dist) draw(r *rand.Rand) float64 {
	x := d.Median * math.Exp(d.Sigma*r.NormFloat64())
	return min(max(x, d.Min), d.Max)
}

func (d dist) tokens(r *rand.Rand) int64 { return int64(math.Round(d.draw(r))) }

func (d dist) seconds(r *rand.Rand) time.Duration {
	return time.Duration(d.draw(r) * float64(time.Second))
}

// class is a kind of program.
type class struct {
	Name       string  `json:"name"`
	Share      float64 `json:"share"`
	Short      bool    `json:"short"`
	Straggler  bool    `json:"straggler"`
	DeadlineMS int64   `json:"deadline_ms"`
	// Silent is the share of programs that end without saying so.
	Silent float64 `json:"silent"`
	Turns  dist    `json:"turns"`
	Prompt dist    `json:"prompt"`
	Output dist    `json:"output"`
	// Pause is in seconds. Human is the share of turns after which a person
	// answers, after HumanPause.
	Pause      dist    `json:"pause"`
	Human      float64 `json:"human"`
	HumanPause dist    `json:"human_pause"`
	// Subagents is the share of turns that start SubagentCount sub-programs.
	Subagents     float64 `json:"subagents"`
	SubagentCount int     `json:"subagent_count"`
	SubagentTurns dist    `json:"subagent_turns"`
}

func (c *class) deadline() time.Duration { return time.Duration(c.DeadlineMS) * time.Millisecond }

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

// delay is the only model of the network: the one-way delay between zones.
func (n network) delay(from, to string) time.Duration {
	if from == to {
		return time.Duration(n.LocalUS) * time.Microsecond
	}
	return time.Duration(n.ZoneUS) * time.Microsecond
}

func (n network) client() time.Duration { return time.Duration(n.ClientUS) * time.Microsecond }

// engineSpec describes an endpoint. One step of a batch of b decoding calls
// with p prompt tokens takes step + b·per_call + p·prefill and yields one token
// per decoding call.
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

// crest is a periodic swing of the arrival rate.
type crest struct {
	Factor  float64 `json:"factor"`
	LengthS float64 `json:"length_s"`
	PeriodS float64 `json:"period_s"`
}

// mean is the mean arrival rate relative to the rate outside the crest.
func (c crest) mean() float64 { return 1 + (c.Factor-1)*c.LengthS/c.PeriodS }

// high reports whether t lies within a crest. Each period starts with half of
// its quiet time, so that the first crest meets a warm fleet.
func (c crest) high(t time.Duration) bool {
	s := math.Mod(t.Seconds(), c.PeriodS) - c.quiet()
	return s >= 0 && s < c.LengthS
}

func (c crest) quiet() float64 { return (c.PeriodS - c.LengthS) / 2 }

// workload is one deployment of the design page in the terms of this model.
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
	Crest           crest          `json:"crest"`
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
		return nil, eris.Wrapf(err, "workload %q", name)
	}
	return w, nil
}
