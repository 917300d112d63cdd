// Package jkload generates load on a running site through its HTTP API as many
// concurrent callers do, measures latencies, and compares the outcomes that callers
// received with the services' own accounts of what ran. It doesn't start the site.
package jkload

import (
	"fmt"
	"time"
)

// Options describes a run. It ends when all programs have ended, at the latest
// Duration + Grace after its start.
type Options struct {
	Entries         []string          // base URLs of daemons
	Services        map[string]string // URL of the account of each service, by name
	Seed            uint64
	Programs        int           // maximum number of programs to start
	Duration        time.Duration // time during which programs arrive
	Grace           time.Duration // additional time for the last programs to end
	Rate            float64       // arrivals per second
	PeakFactor      float64       // multiple of Rate during the peak; 0 or 1 for no peak
	PeakStart       time.Duration // from the start of the run
	PeakLength      time.Duration
	TurnTarget      time.Duration // latency up to which a completed turn is in time; 0 for no limit
	MaxInFlight     int           // programs; arrivals above it are counted as dropped
	Turns           int           // mean number per program
	ServiceShare    float64       // share of the turns that are service calls
	StreamShare     float64       // share of the model calls that are streamed
	StragglerShare  float64       // share of the programs that are stragglers
	StragglerFactor int           // turns of a straggler as a multiple of an ordinary program's
	PromptTokens    int           // mean per message
	AnswerTokens    int           // mean per answer
	Pause           time.Duration // mean time between turns, such as for a tool call
	Model           string
	Workspace       string
	BudgetTokens    int           // token budget of each program; 0 for the site's default
	ResendHistory   bool          // send all messages with each call, not only the new one
	EndPrograms     bool          // cancel each program after its last turn
	CheckAnswers    bool          // verify the text of answers; works with stand-in engines only
	Timeout         time.Duration // timeout of one attempt
	Attempts        int           // maximum per call
	Deadline        time.Duration // sent as X-Deadline-Ms, 0 for none
}

// DefaultOptions returns the options of a small run whose programs arrive within one
// minute.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Programs: 100, Duration: time.Minute, Grace: time.Minute, Rate: 5, MaxInFlight: 1000,
		Turns: 6, ServiceShare: 0.25, StreamShare: 0.5, StragglerShare: 0.02, StragglerFactor: 20,
		PromptTokens: 100, AnswerTokens: 50, Pause: 100 * time.Millisecond,
		Model: "standin-model", Workspace: "bench", EndPrograms: true, CheckAnswers: true,
		Timeout: 30 * time.Second, Attempts: 5,
	}
}

// validate returns an error that names the first invalid option.
func (o Options) validate() error {
	for _, c := range []struct {
		field   string
		valid   bool
		value   any
		allowed string
	}{
		{"entry", len(o.Entries) > 0, "none", "at least one base URL"},
		{"service", o.ServiceShare == 0 || len(o.Services) > 0, "none", "at least one, or a service share of 0"},
		{"programs", o.Programs > 0, o.Programs, "1 or more"},
		{"duration", o.Duration > 0, o.Duration, "a positive time"},
		{"rate", o.Rate > 0, o.Rate, "a positive number"},
		{"peak-factor", o.PeakFactor >= 0, o.PeakFactor, "0 or more"},
		{"max-in-flight", o.MaxInFlight > 0, o.MaxInFlight, "1 or more"},
		{"turns", o.Turns > 0, o.Turns, "1 or more"},
		{"service-share", isShare(o.ServiceShare), o.ServiceShare, "0 to 1"},
		{"stream-share", isShare(o.StreamShare), o.StreamShare, "0 to 1"},
		{"stragglers", isShare(o.StragglerShare), o.StragglerShare, "0 to 1"},
		{"straggler-factor", o.StragglerFactor > 0, o.StragglerFactor, "1 or more"},
		{"prompt-tokens", o.PromptTokens > 0, o.PromptTokens, "1 or more"},
		{"answer-tokens", o.AnswerTokens > 0, o.AnswerTokens, "1 or more"},
		{"timeout", o.Timeout > 0, o.Timeout, "a positive time"},
		{"attempts", o.Attempts > 0, o.Attempts, "1 or more"},
	} {
		if !c.valid {
			return fmt.Errorf("%s: got %v, allowed: %s", c.field, c.value, c.allowed)
		}
	}
	return nil
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }
