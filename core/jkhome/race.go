package jkhome

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
)

const (
	// maxPlacements bounds the endpoints tried for one call that were not
	// ready for it.
	maxPlacements = 10
	// maxAttempts bounds the attempts that may have run.
	maxAttempts = 3
	// maxRefusals bounds the queues tried for a call that had no room.
	maxRefusals = 2
	// firstBackoff is the wait before the second placement; it doubles up to
	// maxBackoff.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// ranError marks a failure after at least one attempt may have run.
type ranError struct {
	problem *jkproblem.Problem
}

func (e *ranError) Error() string { return e.problem.Error() }

// Unwrap returns the problem for the caller.
func (e *ranError) Unwrap() error { return e.problem }

// attempt is one dispatch of a call.
type attempt struct {
	endpoint string
	result   jkmsg.DispatchResult
	// sent tells whether the endpoint may have run the call.
	sent bool
	// diverged tells that the text differs from what callers have seen.
	diverged bool
}

// racer runs the attempts of one call until one of them decides it.
type racer struct {
	home     *Home
	run      *run
	info     jkprogram.Info
	ctx      context.Context
	cancel   context.CancelFunc
	finished chan attempt
	second   chan string

	active     int
	placements int
	attempts   int
	refusals   int
	seconds    int
	avoid      []string
	last       attempt
}

// race dispatches a call, again and elsewhere where that is safe, and returns
// the deciding result. An error that is not a *ranError means that the call
// certainly did not run.
func (h *Home) race(ctx context.Context, r *run, info jkprogram.Info) (attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &racer{
		home:     h,
		run:      r,
		info:     info,
		ctx:      ctx,
		cancel:   cancel,
		finished: make(chan attempt, maxPlacements+maxAttempts),
		second:   make(chan string, maxPlacements+maxAttempts),
	}
	if err := x.launch(); err != nil {
		return attempt{}, err
	}
	for {
		select {
		case endpoint := <-x.second:
			x.secondDispatch(endpoint)
		case a := <-x.finished:
			x.active--
			done, err := x.take(a)
			if err != nil || done {
				return a, err
			}
		}
	}
}

// launch places the call and starts an attempt.
func (x *racer) launch() error {
	h := x.home
	h.mu.Lock()
	m, err := h.dispatch(x.run.plan, x.info, x.run.deadline)
	if err != nil {
		h.mu.Unlock()
		return err
	}
	placement, err := h.placer.Place(h.options.Timer.Now(), m.Call, x.avoid...)
	if err == nil {
		h.extra(m.Call.Program).endpoints[placement.Endpoint] = true
	}
	h.mu.Unlock()
	if err != nil {
		return err
	}
	if limit := h.options.Rules.MaxWait(m.Call.Model); limit > 0 && placement.PredictedWait > limit && x.placements == 0 {
		return &jksched.RefusedError{Reason: jksched.ReasonQueueFull, RetryAfter: placement.PredictedWait - limit}
	}
	m.Endpoint = placement.Endpoint
	m.Crashes = h.options.Crashes(x.run.plan.fingerprint)
	m.Call.ID += "#" + strconv.Itoa(x.placements)
	m.Call.Second = x.active > 0
	x.placements++
	x.active++
	go x.attempt(m)
	return nil
}

func (x *racer) attempt(m jkmsg.Dispatch) {
	a := attempt{endpoint: m.Endpoint}
	position := 0
	result, sent, err := x.home.options.Transport.Dispatch(x.ctx, m, func(e jkmsg.DispatchEvent) {
		if e.Second {
			x.second <- m.Endpoint
			return
		}
		if !a.diverged && x.run.extend(position, e.Text) {
			position += len(e.Text)
			return
		}
		a.diverged = true
	})
	a.result = result
	a.sent = sent
	if err != nil {
		a.result = jkmsg.DispatchResult{Outcome: jkprogram.OutcomeUnknown, Reason: jksched.ReasonDown, Detail: err.Error()}
		if !sent {
			a.result.Outcome = jkprogram.OutcomeNotRun
		}
	}
	x.finished <- a
}

// take evaluates a finished attempt and reports whether it decides the call.
func (x *racer) take(a attempt) (bool, error) {
	x.note(a)
	switch a.result.Outcome {
	case jkprogram.OutcomeCompleted:
		// An answer that differs from what callers have seen waits for the
		// attempt that they have seen.
		if a.diverged && x.active > 0 {
			return false, nil
		}
		return true, nil
	case jkprogram.OutcomeNotRun:
		return false, x.replace(a)
	case jkprogram.OutcomeFailed, jkprogram.OutcomeUnknown:
	}
	if !x.run.plan.repeatable {
		return true, nil
	}
	return false, x.retry(a)
}

// note tells the placer how the attempt ended.
func (x *racer) note(a attempt) {
	h := x.home
	if a.result.Crashes > 0 {
		// The news of the dispatcher may come after the next attempt.
		h.options.Crashed(x.run.plan.fingerprint, h.Self(), a.result.Crashes)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.result.Load != nil {
		h.placer.SetLoad(*a.result.Load)
	}
	if a.result.Outcome == jkprogram.OutcomeCompleted {
		m, err := h.dispatch(x.run.plan, x.info, x.run.deadline)
		if err == nil {
			stale := h.placer.Finished(m.Call, a.endpoint, jksched.Result{Outcome: jksched.OutcomeCompleted})
			if stale != "" {
				go h.options.Transport.ReleaseMoved(m.Call.Program, stale)
			}
		}
	}
	x.last = a
}

// replace tries another endpoint after one that did not run the call.
func (x *racer) replace(a attempt) error {
	if x.active > 0 {
		return nil
	}
	switch a.result.Reason {
	case jksched.ReasonQueueFull, jksched.ReasonDeadline, jksched.ReasonSlow, jksched.ReasonBreaker:
		x.refusals++
	}
	refusal := x.settled(&jksched.RefusedError{Reason: a.result.Reason, RetryAfter: a.result.RetryAfter})
	if x.refusals >= maxRefusals || x.placements >= maxPlacements {
		return refusal
	}
	if a.result.Reason == jksched.ReasonDown || x.refusals > 0 {
		x.avoid = append(x.avoid, a.endpoint)
	}
	if !x.wait() {
		return refusal
	}
	err := x.launch()
	for err != nil && x.placements < maxPlacements {
		// Every known endpoint was avoided or is down; the membership or the
		// configuration may change within the backoff.
		x.placements++
		x.avoid = nil
		if !x.wait() {
			return refusal
		}
		err = x.launch()
	}
	if err != nil {
		return x.settled(err)
	}
	return nil
}

// settled returns the error of a call that ends without answer: a *ranError if
// an earlier attempt may have run.
func (x *racer) settled(err error) error {
	if x.attempts == 0 {
		return err
	}
	return eris.Wrap(&ranError{problem: jkproblem.New(jkproblem.TypeEndpointFailed, err.Error())}, "dispatch")
}

// retry runs a repeatable call again after an attempt that may have run.
func (x *racer) retry(a attempt) error {
	x.attempts++
	if x.active > 0 {
		return nil
	}
	failure := x.settled(eris.Errorf("endpoint %s: %s %s", a.endpoint, a.result.Reason, a.result.Detail))
	isRequestFault := a.result.Outcome == jkprogram.OutcomeFailed && a.result.Status < 500
	if isRequestFault || x.attempts >= maxAttempts || x.ctx.Err() != nil || !x.home.takeRetry() {
		return failure
	}
	if x.home.options.IsRefused(x.run.plan.fingerprint, x.home.Self()) {
		return eris.Wrap(&ranError{problem: jkproblem.New(jkproblem.TypeQuarantined, "the request's content has crashed endpoints").WithOutcome(jkprogram.OutcomeFailed)}, "dispatch")
	}
	x.avoid = append(x.avoid, a.endpoint)
	if !x.wait() {
		return failure
	}
	if err := x.reserveAgain(); err != nil {
		return x.settled(err)
	}
	if err := x.launch(); err != nil {
		return x.settled(err)
	}
	return nil
}

// reserveAgain charges the lost attempt and reserves the next one.
func (x *racer) reserveAgain() error {
	h := x.home
	id := x.run.plan.message.Program
	h.mu.Lock()
	record, err := h.core.Retry(id)
	h.mu.Unlock()
	if err != nil {
		return err
	}
	if record == nil {
		return nil
	}
	result := h.appendAll(x.ctx, *record)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Extended(id, result)
}

// secondDispatch starts a second attempt beside a slow one.
func (x *racer) secondDispatch(endpoint string) {
	if x.active != 1 || x.seconds > 0 || !x.run.plan.repeatable {
		return
	}
	if err := x.reserveAgain(); err != nil {
		return
	}
	x.seconds++
	x.avoid = append(x.avoid, endpoint)
	// Without another endpoint the first attempt simply goes on.
	_ = x.launch()
}

// wait pauses before the next placement and reports false when time is up.
func (x *racer) wait() bool {
	d := firstBackoff << min(x.placements, 10)
	d = x.home.jitter(min(d, maxBackoff))
	return x.home.options.Timer.Wait(d, x.ctx.Done())
}
