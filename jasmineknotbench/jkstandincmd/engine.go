package jkstandincmd

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

// engineCommand holds the flags of the command standin-engine.
type engineCommand struct {
	ignoreFencing bool
	options       jkstandin.EngineOptions
}

func registerEngine(app *kingpin.Application) {
	e := &engineCommand{options: jkstandin.DefaultEngineOptions()}
	cmd := addServeCommand(app, "engine", "Serve a stand-in model engine.", e.newHandler)
	cmd.Flag("ignore-fencing", "Accept orders with an old fencing token.").BoolVar(&e.ignoreFencing)
	e.addModelFlags(cmd)
	e.addCacheFlags(cmd)
}

func (e *engineCommand) addModelFlags(cmd *kingpin.CmdClause) {
	o := &e.options
	cmd.Flag("time-scale", "Real seconds per modelled second.").Default("1").Float64Var(&o.TimeScale)
	cmd.Flag("max-batch", "Sequences computed at once.").Default("16").IntVar(&o.MaxBatch)
	cmd.Flag("step-base", "Modelled time of a step.").Default(o.StepBase.String()).DurationVar(&o.StepBase)
	cmd.Flag("step-per-sequence", "Modelled time added to a step by each sequence.").
		Default(o.StepPerSequence.String()).DurationVar(&o.StepPerSequence)
	cmd.Flag("prefill-per-token", "Modelled time per prompt token that is not cached.").
		Default(o.PrefillPerToken.String()).DurationVar(&o.PrefillPerToken)
	cmd.Flag("load-time", "Modelled time to load a model or adapter.").Default(o.LoadTime.String()).DurationVar(&o.LoadTime)
	models := o.Models
	o.Models = nil // kingpin appends the values to it
	cmd.Flag("model", "Model loaded at the start; repeatable.").Default(models...).StringsVar(&o.Models)
	cmd.Flag("adapter", "Adapter loaded at the start; repeatable.").StringsVar(&o.Adapters)
	cmd.Flag("role", "Role at the start.").Default(o.Role).StringVar(&o.Role)
}

func (e *engineCommand) addCacheFlags(cmd *kingpin.CmdClause) {
	o := &e.options
	cmd.Flag("cache-tokens", "Capacity of the prefix cache.").Default("200000").IntVar(&o.CacheTokens)
	cmd.Flag("cache-event-lag", "Modelled age at which a cache event is published.").
		Default(o.CacheEventLag.String()).DurationVar(&o.CacheEventLag)
	cmd.Flag("cache-event-gap", "Every n-th cache event is lost; 0 loses none.").Default("50").IntVar(&o.CacheEventGap)
	cmd.Flag("load-lag", "Modelled age of the load report.").Default(o.LoadLag.String()).DurationVar(&o.LoadLag)
	cmd.Flag("resume-window", "Modelled time for which a closed stream can be resumed.").
		Default(o.ResumeWindow.String()).DurationVar(&o.ResumeWindow)
}

func (e *engineCommand) newHandler(timer *jktimer.Service, logger jklog.Logger) http.Handler {
	e.options.CheckFencing = !e.ignoreFencing
	return jkstandin.NewEngine(e.options, timer, logger)
}
