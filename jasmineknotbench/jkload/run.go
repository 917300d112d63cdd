package jkload

import (
	"context"
	"sync"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Runner performs one load run.
type Runner struct {
	options   Options
	timer     *jktimer.Service
	logger    jklog.Logger
	caller    *caller
	recorder  *recorder
	actionLog *actionLog
	runID     string
}

// NewRunner returns a runner for these options. The error names the first invalid one.
func NewRunner(options Options, timer *jktimer.Service, logger jklog.Logger) (*Runner, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	return &Runner{
		options: options, timer: timer, logger: logger, caller: newCaller(options, timer),
		recorder: newRecorder(), actionLog: newActionLog(), runID: newRunID(),
	}, nil
}

// Run starts the programs at their planned times, however slowly the site responds
// (an open-loop load), and waits for them to end. Then it compares the outcomes with
// the accounts of the services.
func (r *Runner) Run(ctx context.Context) Report {
	defer r.caller.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := r.timer.Now()
	stop := r.timer.After(r.options.Duration+r.options.Grace, cancel)
	defer stop()
	r.logger.Info("start", "seed", r.options.Seed, "programs", r.options.Programs, "run", r.runID)
	var running sync.WaitGroup
	slots := make(chan struct{}, r.options.MaxInFlight)
	for index, at := range arrivals(r.options) {
		due := started.Add(at)
		if wait := due.Sub(r.timer.Now()); wait > 0 && !r.timer.Wait(wait, ctx.Done()) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.recorder.countDropped()
			continue
		}
		running.Go(func() {
			r.runProgram(ctx, index, due)
			<-slots
		})
	}
	running.Wait()
	r.compareAccounts()
	r.logger.Info("end", "run", r.runID)
	return r.recorder.finish(r.options.Seed, r.timer.Now().Sub(started))
}

// runProgram runs one program. Its latency is measured from the time at which it was
// due, so that it includes a delay of the load generator itself.
func (r *Runner) runProgram(ctx context.Context, index int, due time.Time) {
	p := &program{Runner: r, plan: newPlan(r.options, index)}
	for i := range p.plan.turns {
		if t := &p.plan.turns[i]; t.service != "" {
			t.actionID = r.runID + "-" + t.actionID
		}
	}
	completed := p.run(ctx)
	r.recorder.countProgram(completed)
	if completed {
		r.recorder.recordLatency("program", r.timer.Now().Sub(due))
	}
}
