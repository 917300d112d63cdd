package jkload

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// command holds the values of the flags.
type command struct {
	options      Options
	json         bool
	keepPrograms bool
	skipAnswers  bool
}

// Register adds the command to an application.
func Register(app *kingpin.Application) {
	c := &command{options: DefaultOptions()}
	// kingpin assigns to the map without allocating it.
	c.options.Services = map[string]string{}
	cmd := app.Command("load", "Drive a running site as callers do and check the outcomes.")
	c.addRunFlags(cmd)
	c.addProgramFlags(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run() })
}

func (c *command) addRunFlags(cmd *kingpin.CmdClause) {
	o := &c.options
	cmd.Flag("entry", "Base URL of a daemon; repeatable.").Required().StringsVar(&o.Entries)
	cmd.Flag("service", "NAME=URL of a service's account; repeatable.").StringMapVar(&o.Services)
	cmd.Flag("seed", "Seed of arrivals and programs.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("programs", "Programs to start at most.").Default("100").IntVar(&o.Programs)
	cmd.Flag("duration", "Time during which programs arrive.").Default(o.Duration.String()).DurationVar(&o.Duration)
	cmd.Flag("grace", "Time for the last programs to end.").Default(o.Grace.String()).DurationVar(&o.Grace)
	cmd.Flag("rate", "Arrivals per second.").Default("5").Float64Var(&o.Rate)
	cmd.Flag("peak-factor", "Rate during the peak against the rate; 0 for no peak.").Default("0").Float64Var(&o.PeakFactor)
	cmd.Flag("peak-start", "Start of the peak.").Default("0s").DurationVar(&o.PeakStart)
	cmd.Flag("peak-length", "Length of the peak.").Default("0s").DurationVar(&o.PeakLength)
	cmd.Flag("turn-target", "Time within which a turn is in time; 0 for no limit.").Default("0s").DurationVar(&o.TurnTarget)
	cmd.Flag("max-in-flight", "Programs in flight at most.").Default("1000").IntVar(&o.MaxInFlight)
	cmd.Flag("timeout", "Of one attempt.").Default(o.Timeout.String()).DurationVar(&o.Timeout)
	cmd.Flag("attempts", "Attempts per call.").Default("5").IntVar(&o.Attempts)
	cmd.Flag("deadline", "Deadline sent with each call; 0 sends none.").Default("0s").DurationVar(&o.Deadline)
	cmd.Flag("json", "Write the report as JSON.").BoolVar(&c.json)
}

func (c *command) addProgramFlags(cmd *kingpin.CmdClause) {
	o := &c.options
	cmd.Flag("turns", "Mean turns per program.").Default("6").IntVar(&o.Turns)
	cmd.Flag("service-share", "Share of turns that are service calls.").Default("0.25").Float64Var(&o.ServiceShare)
	cmd.Flag("stream-share", "Share of model calls that are streamed.").Default("0.5").Float64Var(&o.StreamShare)
	cmd.Flag("stragglers", "Share of programs that are stragglers.").Default("0.02").Float64Var(&o.StragglerShare)
	cmd.Flag("straggler-factor", "Turns of a straggler against an ordinary program.").Default("20").IntVar(&o.StragglerFactor)
	cmd.Flag("prompt-tokens", "Mean tokens of a prompt.").Default("100").IntVar(&o.PromptTokens)
	cmd.Flag("answer-tokens", "Mean tokens of an answer.").Default("50").IntVar(&o.AnswerTokens)
	cmd.Flag("pause", "Mean pause between turns.").Default(o.Pause.String()).DurationVar(&o.Pause)
	cmd.Flag("model", "Model of the calls.").Default(o.Model).StringVar(&o.Model)
	cmd.Flag("workspace", "Workspace of the programs.").Default(o.Workspace).StringVar(&o.Workspace)
	cmd.Flag("budget-tokens", "Budget of a program; 0 for the site's default.").Default("0").IntVar(&o.BudgetTokens)
	cmd.Flag("resend-history", "Send all messages with each call, not only the new one.").BoolVar(&o.ResendHistory)
	cmd.Flag("keep-programs", "Do not cancel programs after their last turn.").BoolVar(&c.keepPrograms)
	cmd.Flag("skip-answers", "Do not check answers, for engines that are no stand-ins.").BoolVar(&c.skipAnswers)
}

func (c *command) run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	c.options.EndPrograms, c.options.CheckAnswers = !c.keepPrograms, !c.skipAnswers
	for i, entry := range c.options.Entries {
		c.options.Entries[i] = strings.TrimSuffix(entry, "/")
	}
	timer := jktimer.New()
	runner, err := NewRunner(c.options, timer, jklog.New(os.Stderr, timer.Now).Part("load"))
	if err != nil {
		return err
	}
	report := runner.Run(ctx)
	write := report.WriteText
	if c.json {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if report.Violations > 0 {
		return fmt.Errorf("%d violations", report.Violations)
	}
	return nil
}
