package jkhome

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
)

// storedAnswer is the encoding of a service's answer in the history.
type storedAnswer struct {
	Header map[string]string `msgpack:"header"`
	Body   []byte            `msgpack:"body"`
}

// Call serves one request to a program of this home. Claims are nil if the caller sent
// no token. Emit receives the text of a streamed answer piece by piece.
func (h *Home) Call(ctx context.Context, m jkmsg.Call, claims *jktoken.Claims, emit func(text string) error) jkmsg.CallResult {
	result := h.serve(ctx, m, claims, emit)
	h.mu.Lock()
	defer h.mu.Unlock()
	if info, ok := h.core.Info(m.Program); ok {
		result.Workspace, result.Template = info.Workspace, info.Template
	}
	return result
}

func (h *Home) serve(ctx context.Context, m jkmsg.Call, claims *jktoken.Claims, emit func(text string) error) jkmsg.CallResult {
	p, err := h.newCallPlan(m, claims)
	if err != nil {
		return h.refusal(m, jkproblem.From(err), true)
	}
	r, result := h.admit(p)
	if r == nil {
		return result
	}
	if !m.Stream {
		emit = func(string) error { return nil }
	}
	return r.follow(ctx, emit)
}

// admit starts a call or attaches to the one in flight with the same request id, and
// returns it. If there is nothing to run, it returns nil and the result.
func (h *Home) admit(p *callPlan) (*inFlightCall, jkmsg.CallResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next, ok := h.movedTo[p.message.Program]; ok {
		return nil, jkmsg.CallResult{Outcome: jkprogram.OutcomeNotRun, Moved: next}
	}
	if h.awaitsHandover(p.message.Program) {
		// Drain hands the program over in its next round. Without this refusal, a
		// program with calls in quick succession would delay the stop.
		problem := jkproblem.New(jkproblem.TypeProgramMoved, "the program is about to move to another home").WithOutcome(jkprogram.OutcomeUnknown)
		return nil, h.refusal(p.message, problem.WithRetryAfter(drainInterval), p.repeatable)
	}
	h.setCostBound(p)
	now := h.options.Timer.Now()
	a, err := h.core.Submit(now, p.submission)
	if err != nil {
		return nil, h.refusal(p.message, jkproblem.From(err), p.repeatable)
	}
	switch a.Action {
	case jkprogram.ActionReplay:
		return nil, h.replayedResult(a)
	case jkprogram.ActionAttach:
		return h.inFlight[p.message.Program], jkmsg.CallResult{}
	case jkprogram.ActionStart:
	}
	h.retryBudget = min(maxRetryBudget, h.retryBudget+h.options.Rules.RetryRatio())
	deadline := p.message.Deadline
	if deadline.IsZero() {
		deadline = now.Add(p.timeout)
	}
	r := newInFlightCall(p, deadline)
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(now))
	r.cancel = cancel
	h.inFlight[p.message.Program] = r
	go h.execute(ctx, r, a)
	return r, jkmsg.CallResult{}
}

// awaitsHandover reports whether a program is idle and will be handed over by Drain. The
// caller holds the lock.
func (h *Home) awaitsHandover(program string) bool {
	if !h.draining || h.inFlight[program] != nil || h.core.IsRunning(program) {
		return false
	}
	_, found := h.successor(program)
	return found
}

// refusal converts a problem to a result. A program that is not in the table may have
// run the request before it was removed, so the outcome of a non-repeatable request is
// unknown then instead of not_run.
func (h *Home) refusal(m jkmsg.Call, p *jkproblem.Problem, repeatable bool) jkmsg.CallResult {
	if p.Type == jkproblem.TypeUnknownProgram && !repeatable {
		p = p.WithOutcome(jkprogram.OutcomeUnknown)
	}
	r := problemResult(p)
	r.Program = m.Program
	return r
}

// replayedResult returns the recorded answer to an earlier request with the same id.
func (h *Home) replayedResult(a jkprogram.Admission) jkmsg.CallResult {
	r := h.turnResult(a.Turn, a.Claims)
	r.Replayed = true
	return r
}

func (h *Home) turnResult(t *jkprogram.Turn, c jktoken.Claims) jkmsg.CallResult {
	r := jkmsg.CallResult{Outcome: t.Outcome, Status: t.Status, Program: c.Program, Token: h.signToken(c)}
	if t.Outcome == jkprogram.OutcomeUnknown {
		r.Problem = jkproblem.Newf(jkproblem.TypeOutcomeUnknown, "request %s was dispatched and no answer arrived", t.RequestID)
		r.Status = r.Problem.Status
		return r
	}
	if t.Kind == jkprogram.KindModel {
		r.Body = t.Answer
		return r
	}
	var stored storedAnswer
	if err := msgpack.Unmarshal(t.Answer, &stored); err != nil {
		return problemResult(jkproblem.From(err))
	}
	r.Header = stored.Header
	r.Body = stored.Body
	return r
}

// execute runs an admitted call and publishes its result to the followers.
func (h *Home) execute(ctx context.Context, r *inFlightCall, a jkprogram.Admission) {
	defer r.cancel()
	result := h.runCall(ctx, r, a)
	h.mu.Lock()
	if h.inFlight[r.plan.message.Program] == r {
		delete(h.inFlight, r.plan.message.Program)
	}
	h.mu.Unlock()
	r.finish(result)
}

func (h *Home) runCall(ctx context.Context, r *inFlightCall, a jkprogram.Admission) jkmsg.CallResult {
	p := r.plan
	id := p.message.Program
	h.mu.Lock()
	info, _ := h.core.Info(id)
	h.mu.Unlock()
	if err := h.checkConfig(p, info.Template); err != nil {
		h.refuse(ctx, id)
		return h.refusal(p.message, jkproblem.From(err), p.repeatable)
	}
	if err := h.storeRecord(ctx, id, a.Record); err != nil {
		return h.refusal(p.message, jkproblem.From(err), p.repeatable)
	}
	winner, err := h.runAttempts(ctx, r, info)
	if err != nil {
		return h.failCall(ctx, p, err)
	}
	return h.complete(ctx, r, a, winner)
}

// refuse cancels a call that was not dispatched, at the copies too.
func (h *Home) refuse(ctx context.Context, id string) {
	h.mu.Lock()
	record := h.core.Refuse(id)
	h.mu.Unlock()
	if record != nil {
		h.appendAll(context.WithoutCancel(ctx), *record)
	}
}

// storeRecord writes a record that the copies must hold before the call is dispatched.
// Without a record it does nothing.
func (h *Home) storeRecord(ctx context.Context, id string, record *jkprogram.Record) error {
	if record == nil {
		return nil
	}
	result := h.appendAll(ctx, *record)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.HandleWriteResult(id, result)
}

// failCall ends a call without recording a turn: a call that certainly did not run, or a
// repeatable one that failed.
func (h *Home) failCall(ctx context.Context, p *callPlan, err error) jkmsg.CallResult {
	var ran *mayHaveRunError
	problem := jkproblem.From(err)
	if !errors.As(err, &ran) {
		h.refuse(ctx, p.message.Program)
		return h.refusal(p.message, problem.WithOutcome(jkprogram.OutcomeNotRun), p.repeatable)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Abort(p.message.Program)
	return h.refusal(p.message, problem, p.repeatable)
}

// complete records the finished call as a turn and signs the next token.
func (h *Home) complete(ctx context.Context, r *inFlightCall, a jkprogram.Admission, winner attempt) jkmsg.CallResult {
	p := r.plan
	id := p.message.Program
	final := winner.result
	if !p.repeatable && final.Outcome != jkprogram.OutcomeCompleted {
		final.Outcome = jkprogram.OutcomeUnknown
	}
	result, err := h.programResult(p, a, final)
	result.Endpoint = winner.endpoint
	if err != nil {
		return h.failCall(ctx, p, &mayHaveRunError{problem: jkproblem.New(jkproblem.TypeEndpointFailed, err.Error())})
	}
	h.mu.Lock()
	h.recordHistoryLength(p, final)
	record, claims, err := h.core.Complete(h.options.Timer.Now(), id, result)
	h.mu.Unlock()
	if err != nil {
		return h.unrecordedResult(p, final)
	}
	if h.appendAll(context.WithoutCancel(ctx), record) == jkprogram.CopyFenced {
		h.mu.Lock()
		h.core.Supersede(id)
		h.mu.Unlock()
		return h.unrecordedResult(p, final)
	}
	return h.turnResult(record.Turn, claims)
}

// unrecordedResult returns the result of a call that finished after its program had
// ended or another home had taken it over, so that its answer is not in the history. A
// repeatable call must be sent again; for any other the caller gets the answer, but no
// token.
func (h *Home) unrecordedResult(p *callPlan, final jkmsg.DispatchResult) jkmsg.CallResult {
	if !p.repeatable && final.Outcome == jkprogram.OutcomeCompleted {
		return jkmsg.CallResult{
			Outcome: final.Outcome, Status: final.Status, Header: forwardedHeader(final.Header), Body: final.Body, Program: p.message.Program,
		}
	}
	h.mu.Lock()
	info, ok := h.core.Info(p.message.Program)
	h.mu.Unlock()
	problem := jkproblem.New(jkproblem.TypeProgramMoved, "the program was taken over while the call ran")
	if ok && info.End != "" {
		problem = jkproblem.From(&jkprogram.EndedError{Program: p.message.Program, Reason: info.End})
	}
	problem.Outcome = jkprogram.OutcomeFailed
	if !p.repeatable {
		problem.Outcome = jkprogram.OutcomeUnknown
	}
	return h.refusal(p.message, problem, p.repeatable)
}

// programResult converts the dispatch result of a call to the result that the core
// records as a turn.
func (h *Home) programResult(p *callPlan, a jkprogram.Admission, final jkmsg.DispatchResult) (jkprogram.Result, error) {
	result := jkprogram.Result{Outcome: final.Outcome, Status: final.Status, Cost: -1}
	if p.message.Kind == jkprogram.KindService {
		result.Cost = 0
		result.Input = p.message.Body
		answer, err := msgpack.Marshal(&storedAnswer{Header: forwardedHeader(final.Header), Body: final.Body})
		result.Answer = answer
		return result, err
	}
	var completion jkchat.Completion
	if err := json.Unmarshal(final.Body, &completion); err != nil {
		return result, err
	}
	if len(completion.Choices) == 0 {
		return result, errors.New("the engine's answer has no choice")
	}
	first := len(p.request.Messages) - a.NewMessages
	input, err := json.Marshal(p.request.Messages[first:])
	if err != nil {
		return result, err
	}
	result.Input = input
	result.Answer = final.Body
	result.Messages = append(append([]string(nil), p.submission.Messages[first:]...), messageDigest(completion.Choices[0].Message))
	if completion.Usage != nil && completion.Usage.TotalTokens > 0 {
		result.Cost = int64(completion.Usage.TotalTokens)
	}
	return result, nil
}

// forwardedHeader returns the headers of a service's answer that are passed on to the
// caller.
func forwardedHeader(header map[string]string) map[string]string {
	out := map[string]string{}
	for _, k := range []string{"Content-Type", "Location", "Etag"} {
		if v := header[http.CanonicalHeaderKey(k)]; v != "" {
			out[k] = v
		}
	}
	return out
}

// recordHistoryLength updates the length of the program's history from the usage that
// the engine reported for a finished call. The caller holds the lock.
func (h *Home) recordHistoryLength(p *callPlan, final jkmsg.DispatchResult) {
	if p.message.Kind != jkprogram.KindModel {
		return
	}
	var c jkchat.Completion
	if err := json.Unmarshal(final.Body, &c); err != nil || c.Usage == nil {
		return
	}
	e := h.hintsOf(p.message.Program)
	e.historyTokens = int64(c.Usage.TotalTokens)
	e.historyMessages = len(p.request.Messages) + 1
}
