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
	// maxPlacements is the number of placements after which a call that did not run
	// is not placed again.
	maxPlacements = 10
	// maxAttempts bounds the attempts of one call that may have run.
	maxAttempts = 3
	// maxRefusals bounds the dispatchers that may refuse one call, for example because
	// their queue is full.
	maxRefusals = 2
	// initialBackoff doubles with each placement, up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// mayHaveRunError is the failure of a call of which at least one attempt may have run.
type mayHaveRunError struct {
	problem *jkproblem.Problem
}

func (e *mayHaveRunError) Error() string { return e.problem.Error() }

// Unwrap returns the problem for the caller.
func (e *mayHaveRunError) Unwrap() error { return e.problem }

// attempt is one dispatch of a call.
type attempt struct {
	endpoint string
	result   jkmsg.DispatchResult
	// sent is set if the endpoint may have run the call.
	sent bool
	// diverged is set if the text differs from what callers have received.
	diverged bool
}

// attemptRunner runs the attempts of one call until one of them decides its result.
type attemptRunner struct {
	home     *Home
	call     *inFlightCall
	info     jkprogram.Info
	ctx      context.Context
	cancel   context.CancelFunc
	finished chan attempt
	// slowEndpoints receives the endpoints whose attempt is slow enough for a hedge.
	slowEndpoints chan string

	// active counts the attempts in flight. Placements counts all attempts, and the
	// placements that failed after a call did not run. Attempts counts those that may
	// have run and failed.
	active           int
	placements       int
	attempts         int
	refusals         int
	secondDispatches int
	avoid            []string
	last             attempt
}

// runAttempts dispatches a call, with retries and a hedged second dispatch where a
// repeat is safe, and returns the deciding attempt. An error that doesn't wrap a
// *mayHaveRunError means that the call certainly did not run.
func (h *Home) runAttempts(ctx context.Context, r *inFlightCall, info jkprogram.Info) (attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &attemptRunner{
		home:          h,
		call:          r,
		info:          info,
		ctx:           ctx,
		cancel:        cancel,
		finished:      make(chan attempt, maxPlacements+maxAttempts),
		slowEndpoints: make(chan string, maxPlacements+maxAttempts),
	}
	if err := x.startAttempt(); err != nil {
		return attempt{}, err
	}
	for {
		select {
		case endpoint := <-x.slowEndpoints:
			x.secondDispatch(endpoint)
		case a := <-x.finished:
			x.active--
			done, err := x.handleFinished(a)
			if err != nil || done {
				return a, err
			}
		}
	}
}

// startAttempt places the call on an endpoint and dispatches it.
func (x *attemptRunner) startAttempt() error {
	h := x.home
	h.mu.Lock()
	m, err := h.dispatchMessage(x.call.plan, x.info, x.call.deadline)
	if err != nil {
		h.mu.Unlock()
		return err
	}
	placement, err := h.placer.Place(h.options.Timer.Now(), m.Call, x.avoid...)
	if err == nil {
		h.hintsOf(m.Call.Program).endpoints[placement.Endpoint] = true
	}
	h.mu.Unlock()
	if err != nil {
		return err
	}
	if limit := h.options.Rules.MaxWait(m.Call.Model); limit > 0 && placement.PredictedWait > limit && x.placements == 0 {
		return &jksched.RefusedError{Reason: jksched.ReasonQueueFull, RetryAfter: placement.PredictedWait - limit}
	}
	m.Endpoint = placement.Endpoint
	m.Crashes = h.options.Crashes(x.call.plan.fingerprint)
	m.Call.ID += "#" + strconv.Itoa(x.placements)
	m.Call.Second = x.active > 0
	x.placements++
	x.active++
	go x.runAttempt(m)
	return nil
}

func (x *attemptRunner) runAttempt(m jkmsg.Dispatch) {
	a := attempt{endpoint: m.Endpoint}
	position := 0
	result, sent, err := x.home.options.Transport.Dispatch(x.ctx, m, func(e jkmsg.DispatchEvent) {
		if e.SecondDispatch {
			x.slowEndpoints <- m.Endpoint
			return
		}
		if !a.diverged && x.call.appendText(position, e.Text) {
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

// handleFinished evaluates a finished attempt and reports whether it decides the call.
// If it doesn't, another attempt has been started or is in flight. An error ends the
// call without an answer.
func (x *attemptRunner) handleFinished(a attempt) (bool, error) {
	x.recordAttempt(a)
	switch a.result.Outcome {
	case jkprogram.OutcomeCompleted:
		// If callers have received text of another attempt, that attempt decides
		// while it is in flight.
		if a.diverged && x.active > 0 {
			return false, nil
		}
		return true, nil
	case jkprogram.OutcomeNotRun:
		return false, x.tryElsewhere(a)
	case jkprogram.OutcomeFailed, jkprogram.OutcomeUnknown:
	}
	if !x.call.plan.repeatable {
		return true, nil
	}
	return false, x.retry(a)
}

// recordAttempt passes the load report of a finished attempt and, if it completed, its
// end to the placer, and crashes to the quarantine.
func (x *attemptRunner) recordAttempt(a attempt) {
	h := x.home
	if a.result.Crashes > 0 {
		// The dispatcher's own report may arrive only after the next attempt.
		h.options.RecordCrashes(x.call.plan.fingerprint, h.Self(), a.result.Crashes)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.result.Load != nil {
		h.placer.SetLoad(*a.result.Load)
	}
	if a.result.Outcome == jkprogram.OutcomeCompleted {
		m, err := h.dispatchMessage(x.call.plan, x.info, x.call.deadline)
		if err == nil {
			stale := h.placer.Finished(m.Call, a.endpoint, jksched.Result{Outcome: jksched.OutcomeCompleted})
			if stale != "" {
				go h.options.Transport.ReleaseMoved(m.Call.Program, stale)
			}
		}
	}
	x.last = a
}

// tryElsewhere places the call again after an endpoint that did not run it.
func (x *attemptRunner) tryElsewhere(a attempt) error {
	if x.active > 0 {
		return nil
	}
	switch a.result.Reason {
	case jksched.ReasonQueueFull, jksched.ReasonDeadline, jksched.ReasonSlow, jksched.ReasonBreaker:
		x.refusals++
	}
	refusal := x.finalError(&jksched.RefusedError{Reason: a.result.Reason, RetryAfter: a.result.RetryAfter})
	if x.refusals >= maxRefusals || x.placements >= maxPlacements {
		return refusal
	}
	if a.result.Reason == jksched.ReasonDown || x.refusals > 0 {
		x.avoid = append(x.avoid, a.endpoint)
	}
	if !x.backOff() {
		return refusal
	}
	err := x.startAttempt()
	for err != nil && x.placements < maxPlacements {
		// All known endpoints are excluded or down. The membership or the
		// configuration may change during the backoff.
		x.placements++
		x.avoid = nil
		if !x.backOff() {
			return refusal
		}
		err = x.startAttempt()
	}
	if err != nil {
		return x.finalError(err)
	}
	return nil
}

// finalError returns the error of a call that ends without an answer. It wraps a
// *mayHaveRunError if an earlier attempt may have run.
func (x *attemptRunner) finalError(err error) error {
	if x.attempts == 0 {
		return err
	}
	return eris.Wrap(&mayHaveRunError{problem: jkproblem.New(jkproblem.TypeEndpointFailed, err.Error())}, "dispatch")
}

// retry dispatches a repeatable call again after an attempt that may have run, within
// the retry budget.
func (x *attemptRunner) retry(a attempt) error {
	x.attempts++
	if x.active > 0 {
		return nil
	}
	failure := x.finalError(eris.Errorf("endpoint %s: %s %s", a.endpoint, a.result.Reason, a.result.Detail))
	isRequestFault := a.result.Outcome == jkprogram.OutcomeFailed && a.result.Status < 500
	if isRequestFault || x.attempts >= maxAttempts || x.ctx.Err() != nil || !x.home.spendRetry() {
		return failure
	}
	if x.home.options.IsQuarantined(x.call.plan.fingerprint, x.home.Self()) {
		return eris.Wrap(&mayHaveRunError{problem: jkproblem.New(jkproblem.TypeQuarantined, "the request's content has crashed endpoints").WithOutcome(jkprogram.OutcomeFailed)}, "dispatch")
	}
	x.avoid = append(x.avoid, a.endpoint)
	if !x.backOff() {
		return failure
	}
	if err := x.reserveRetry(); err != nil {
		return x.finalError(err)
	}
	if err := x.startAttempt(); err != nil {
		return x.finalError(err)
	}
	return nil
}

// reserveRetry charges the previous attempt in full and reserves the cost of another one.
func (x *attemptRunner) reserveRetry() error {
	h := x.home
	id := x.call.plan.message.Program
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
	return h.core.HandleRetryWriteResult(id, result)
}

// secondDispatch hedges a slow attempt: it starts a second one on another endpoint. A
// call gets at most one.
func (x *attemptRunner) secondDispatch(endpoint string) {
	if x.active != 1 || x.secondDispatches > 0 || !x.call.plan.repeatable {
		return
	}
	if err := x.reserveRetry(); err != nil {
		return
	}
	x.secondDispatches++
	x.avoid = append(x.avoid, endpoint)
	// If there is no other endpoint, the first attempt continues alone.
	_ = x.startAttempt()
}

// backOff waits before the next placement. It reports false if the call was cancelled or
// its deadline passed.
func (x *attemptRunner) backOff() bool {
	d := initialBackoff << min(x.placements, 10)
	d = x.home.jitter(min(d, maxBackoff))
	return x.home.options.Timer.Wait(d, x.ctx.Done())
}
