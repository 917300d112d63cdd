// Package jkload drives a running site through its HTTP API as many callers
// do, and compares what they were told with what the services really did.
package jkload

import (
	"fmt"
	"time"
)

// Options describe a run. It ends when all programs have ended, at the latest
// Duration + Grace after its start.
type Options struct {
	Entries       []string          // base URLs of daemons
	Services      map[string]string // URL of the account of each service, by name
	Seed          uint64
	Programs      int           // programs to start at most
	Duration      time.Duration // time during which programs arrive
	Grace         time.Duration // time for the last programs to end
	Rate          float64       // arrivals per second
	PeakFactor    float64       // rate during the peak against Rate; 0 or 1 for no peak
	PeakStart     time.Duration // from the start of the run
	PeakLength    time.Duration
	TurnTarget    time.Duration // a turn is in time if completed within it; 0 for no limit
	MaxInFlight   int           // arrivals above it are counted as dropped
	Turns         int           // mean per program
	ServiceShare  float64       // of the turns that are service calls
	StreamShare   float64       // of the chat calls that are streamed
	Stragglers    float64       // share of the programs that are stragglers
	Factor        int           // turns of a straggler against an ordinary program
	PromptTokens  int           // mean per message
	AnswerTokens  int           // mean per answer
	Pause         time.Duration // mean between turns, as of a tool
	Model         string
	Workspace     string
	BudgetTokens  int // of each program, 0 for the site's default
	ResendHistory bool
	EndPrograms   bool          // cancel each program after its last turn
	CheckAnswers  bool          // answers come from stand-in engines
	Timeout       time.Duration // of one attempt
	Attempts      int           // per call
	Deadline      time.Duration // sent as X-Deadline-Ms, 0 for none
}

// DefaultOptions are a small run of one minute.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Programs: 100, Duration: time.Minute, Grace: time.Minute, Rate: 5, MaxInFlight: 1000,
		Turns: 6, ServiceShare: 0.25, StreamShare: 0.5, Stragglers: 0.02, Factor: 20,
		PromptTokens: 100, AnswerTokens: 50, Pause: 100 * time.Millisecond,
		Model: "standin-model", Workspace: "bench", EndPrograms: true, CheckAnswers: true,
		Timeout: 30 * time.Second, Attempts: 5,
	}
}

// check returns an error that names the first invalid option.
func (o Options) check() error {
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
		{"stragglers", isShare(o.Stragglers), o.Stragglers, "0 to 1"},
		{"straggler-factor", o.Factor > 0, o.Factor, "1 or more"},
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
