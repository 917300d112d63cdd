package jkpath

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jktimer"
)

// Register adds the command to an application.
func Register(app *kingpin.Application) {
	o, asJSON := DefaultOptions(), false
	cmd := app.Command("path", "Measure the latency that a site adds to a direct call of its engine.")
	cmd.Flag("entry", "Base URL of a daemon.").Required().StringVar(&o.Entry)
	cmd.Flag("engine", "Base URL of the only stand-in engine behind it.").Required().StringVar(&o.Engine)
	cmd.Flag("calls", "Pairs of calls.").Default("1000").IntVar(&o.Calls)
	cmd.Flag("warmup", "Pairs of calls before the measured ones.").Default("50").IntVar(&o.Warmup)
	cmd.Flag("concurrency", "Callers while requests/s are measured.").Default("16").IntVar(&o.Concurrency)
	cmd.Flag("duration", "Time of each measurement of requests/s; 0 skips it.").Default(o.Duration.String()).DurationVar(&o.Duration)
	cmd.Flag("prompt-tokens", "Tokens of the prompt.").Default("100").IntVar(&o.PromptTokens)
	cmd.Flag("answer-tokens", "Tokens of the answer.").Default("1").IntVar(&o.AnswerTokens)
	cmd.Flag("model", "Model of the calls.").Default(o.Model).StringVar(&o.Model)
	cmd.Flag("workspace", "Workspace of the programs.").Default(o.Workspace).StringVar(&o.Workspace)
	cmd.Flag("timeout", "Of one call.").Default(o.Timeout.String()).DurationVar(&o.Timeout)
	cmd.Flag("json", "Write the report as JSON.").BoolVar(&asJSON)
	cmd.Action(func(*kingpin.ParseContext) error { return run(o, asJSON) })
}

func run(o Options, asJSON bool) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	o.Entry, o.Engine = strings.TrimSuffix(o.Entry, "/"), strings.TrimSuffix(o.Engine, "/")
	report, err := Measure(ctx, o, jktimer.New())
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	_, err = fmt.Print(report)
	return err
}
