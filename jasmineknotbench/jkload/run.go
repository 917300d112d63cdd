package jkload

import (
	"context"
	"sync"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Runner performs one run.
type Runner struct {
	options Options
	timer   *jktimer.Service
	logger  jklog.Logger
	caller  *caller
	report  *recorder
	ledger  *ledger
	runID   string
}

// NewRunner checks the options. An invalid one is named in the error.
func NewRunner(options Options, timer *jktimer.Service, logger jklog.Logger) (*Runner, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	return &Runner{
		options: options, timer: timer, logger: logger, caller: newCaller(options, timer),
		report: newRecorder(), ledger: newLedger(), runID: newRunID(),
	}, nil
}

// Run starts the programs at their times, whatever the site's answers, and
// waits for them to end. Then it compares the outcomes with the accounts of
// the services.
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
			r.report.dropped()
			continue
		}
		running.Go(func() {
			r.program(ctx, index, due)
			<-slots
		})
	}
	running.Wait()
	r.compare()
	r.logger.Info("end", "run", r.runID)
	return r.report.report(r.options.Seed, r.timer.Now().Sub(started))
}

// program runs one program. Its latency counts from the time it was due, so
// that a delay of the tool itself shows.
func (r *Runner) program(ctx context.Context, index int, due time.Time) {
	p := &program{Runner: r, plan: newPlan(r.options, index)}
	for i := range p.plan.turns {
		if t := &p.plan.turns[i]; t.service != "" {
			t.actionID = r.runID + "-" + t.actionID
		}
	}
	ok := p.run(ctx)
	r.report.ended(ok)
	if ok {
		r.report.record("program", r.timer.Now().Sub(due))
	}
}
