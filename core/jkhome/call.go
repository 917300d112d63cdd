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

// storedAnswer is a service's answer as the history keeps it.
type storedAnswer struct {
	Header map[string]string `msgpack:"header"`
	Body   []byte            `msgpack:"body"`
}

// Call serves one request of a program of this home. Claims are nil for a
// caller without token. Emit receives the text of a streamed answer.
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
	p, err := h.newPlan(m, claims)
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

// admit decides on a call and returns the run to follow, or the result.
func (h *Home) admit(p *plan) (*run, jkmsg.CallResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next, ok := h.moved[p.message.Program]; ok {
		return nil, jkmsg.CallResult{Outcome: jkprogram.OutcomeNotRun, Moved: next}
	}
	if h.isLeaving(p.message.Program) {
		// The next look of Drain hands the program over. Without this a program
		// whose calls follow each other closely would hold the stop up.
		problem := jkproblem.New(jkproblem.TypeMoved, "the program is about to move to another home").WithOutcome(jkprogram.OutcomeUnknown)
		return nil, h.refusal(p.message, problem.WithRetryAfter(drainInterval), p.repeatable)
	}
	h.reserve(p)
	now := h.options.Timer.Now()
	a, err := h.core.Submit(now, p.submission)
	if err != nil {
		return nil, h.refusal(p.message, jkproblem.From(err), p.repeatable)
	}
	switch a.Action {
	case jkprogram.ActionReplay:
		return nil, h.recorded(a)
	case jkprogram.ActionAttach:
		return h.runs[p.message.Program], jkmsg.CallResult{}
	case jkprogram.ActionStart:
	}
	h.retries = min(retryBurst, h.retries+h.options.Rules.RetryRatio())
	deadline := p.message.Deadline
	if deadline.IsZero() {
		deadline = now.Add(p.timeout)
	}
	r := newRun(p, deadline)
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(now))
	r.cancel = cancel
	h.runs[p.message.Program] = r
	go h.execute(ctx, r, a)
	return r, jkmsg.CallResult{}
}

// isLeaving reports whether a program is idle and waits for its handover. The
// caller holds the lock.
func (h *Home) isLeaving(program string) bool {
	if !h.draining || h.runs[program] != nil || h.core.IsRunning(program) {
		return false
	}
	_, found := h.successor(program)
	return found
}

// refusal turns a problem into a result. A program that is not in the table may
// have run the request before it was forgotten, so a non-repeatable request is
// not called not_run then.
func (h *Home) refusal(m jkmsg.Call, p *jkproblem.Problem, repeatable bool) jkmsg.CallResult {
	if p.Type == jkproblem.TypeUnknownProgram && !repeatable {
		p = p.WithOutcome(jkprogram.OutcomeUnknown)
	}
	r := problemResult(p)
	r.Program = m.Program
	return r
}

// recorded returns the answer that an earlier request with the same id got.
func (h *Home) recorded(a jkprogram.Admission) jkmsg.CallResult {
	r := h.turnResult(a.Turn, a.Claims)
	r.Replayed = true
	return r
}

func (h *Home) turnResult(t *jkprogram.Turn, c jktoken.Claims) jkmsg.CallResult {
	r := jkmsg.CallResult{Outcome: t.Outcome, Status: t.Status, Program: c.Program, Token: h.token(c)}
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

// execute carries a started call to its end.
func (h *Home) execute(ctx context.Context, r *run, a jkprogram.Admission) {
	defer r.cancel()
	result := h.perform(ctx, r, a)
	h.mu.Lock()
	if h.runs[r.plan.message.Program] == r {
		delete(h.runs, r.plan.message.Program)
	}
	h.mu.Unlock()
	r.finish(result)
}

func (h *Home) perform(ctx context.Context, r *run, a jkprogram.Admission) jkmsg.CallResult {
	p := r.plan
	id := p.message.Program
	h.mu.Lock()
	info, _ := h.core.Info(id)
	h.mu.Unlock()
	if err := h.check(p, info.Template); err != nil {
		h.refuse(ctx, id)
		return h.refusal(p.message, jkproblem.From(err), p.repeatable)
	}
	if err := h.store(ctx, id, a.Record); err != nil {
		return h.refusal(p.message, jkproblem.From(err), p.repeatable)
	}
	won, err := h.race(ctx, r, info)
	if err != nil {
		return h.fail(ctx, p, err)
	}
	return h.complete(ctx, r, a, won)
}

// refuse gives up a call that was not dispatched, at the copies too.
func (h *Home) refuse(ctx context.Context, id string) {
	h.mu.Lock()
	record := h.core.Refuse(id)
	h.mu.Unlock()
	if record != nil {
		h.appendAll(context.WithoutCancel(ctx), *record)
	}
}

// store writes a record that has to be at the copies before dispatch.
func (h *Home) store(ctx context.Context, id string, record *jkprogram.Record) error {
	if record == nil {
		return nil
	}
	result := h.appendAll(ctx, *record)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Recorded(id, result)
}

// fail ends a call without a recorded turn: one that certainly did not run, or
// a repeatable one that failed.
func (h *Home) fail(ctx context.Context, p *plan, err error) jkmsg.CallResult {
	var ran *ranError
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
func (h *Home) complete(ctx context.Context, r *run, a jkprogram.Admission, winner attempt) jkmsg.CallResult {
	p := r.plan
	id := p.message.Program
	won := winner.result
	if !p.repeatable && won.Outcome != jkprogram.OutcomeCompleted {
		won.Outcome = jkprogram.OutcomeUnknown
	}
	result, err := h.turnOf(p, a, won)
	result.Endpoint = winner.endpoint
	if err != nil {
		return h.fail(ctx, p, &ranError{problem: jkproblem.New(jkproblem.TypeEndpointFailed, err.Error())})
	}
	h.mu.Lock()
	h.learn(p, won)
	record, claims, err := h.core.Complete(h.options.Timer.Now(), id, result)
	h.mu.Unlock()
	if err != nil {
		return h.unrecorded(p, won)
	}
	if h.appendAll(context.WithoutCancel(ctx), record) == jkprogram.CopyFenced {
		h.mu.Lock()
		h.core.Supersede(id)
		h.mu.Unlock()
		return h.unrecorded(p, won)
	}
	return h.turnResult(record.Turn, claims)
}

// unrecorded answers a call that ended after its program had ended or another
// home had taken it over. The answer is not part of the history there. A
// repeatable call is to be sent again; for any other the caller gets the answer,
// but no token.
func (h *Home) unrecorded(p *plan, won jkmsg.DispatchResult) jkmsg.CallResult {
	if !p.repeatable && won.Outcome == jkprogram.OutcomeCompleted {
		return jkmsg.CallResult{
			Outcome: won.Outcome, Status: won.Status, Header: answerHeader(won.Header), Body: won.Body, Program: p.message.Program,
		}
	}
	h.mu.Lock()
	info, ok := h.core.Info(p.message.Program)
	h.mu.Unlock()
	problem := jkproblem.New(jkproblem.TypeMoved, "the program was taken over while the call ran")
	if ok && info.End != "" {
		problem = jkproblem.From(&jkprogram.EndedError{Program: p.message.Program, Reason: info.End})
	}
	problem.Outcome = jkprogram.OutcomeFailed
	if !p.repeatable {
		problem.Outcome = jkprogram.OutcomeUnknown
	}
	return h.refusal(p.message, problem, p.repeatable)
}

// turnOf builds the turn of a dispatch result.
func (h *Home) turnOf(p *plan, a jkprogram.Admission, won jkmsg.DispatchResult) (jkprogram.Result, error) {
	result := jkprogram.Result{Outcome: won.Outcome, Status: won.Status, Cost: -1}
	if p.message.Kind == jkprogram.KindService {
		result.Cost = 0
		result.Input = p.message.Body
		answer, err := msgpack.Marshal(&storedAnswer{Header: answerHeader(won.Header), Body: won.Body})
		result.Answer = answer
		return result, err
	}
	var completion jkchat.Completion
	if err := json.Unmarshal(won.Body, &completion); err != nil {
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
	result.Answer = won.Body
	result.Messages = append(append([]string(nil), p.submission.Messages[first:]...), messageDigest(completion.Choices[0].Message))
	if completion.Usage != nil && completion.Usage.TotalTokens > 0 {
		result.Cost = int64(completion.Usage.TotalTokens)
	}
	return result, nil
}

// answerHeader keeps the headers of a service's answer that mean something to
// its caller.
func answerHeader(header map[string]string) map[string]string {
	out := map[string]string{}
	for _, k := range []string{"Content-Type", "Location", "Etag"} {
		if v := header[http.CanonicalHeaderKey(k)]; v != "" {
			out[k] = v
		}
	}
	return out
}

// learn notes what a finished call tells about the program's history length.
// The caller holds the lock.
func (h *Home) learn(p *plan, won jkmsg.DispatchResult) {
	if p.message.Kind != jkprogram.KindModel {
		return
	}
	var c jkchat.Completion
	if err := json.Unmarshal(won.Body, &c); err != nil || c.Usage == nil {
		return
	}
	e := h.extra(p.message.Program)
	e.historyTokens = int64(c.Usage.TotalTokens)
	e.historyMessages = len(p.request.Messages) + 1
}
