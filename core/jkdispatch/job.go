package jkdispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
)

// probeTimeout bounds the check whether an endpoint is still there after a
// connection broke.
const probeTimeout = 500 * time.Millisecond

// job is one call at its dispatcher.
type job struct {
	dispatcher *Dispatcher
	message    jkmsg.Dispatch
	emit       func(jkmsg.DispatchEvent) error
	ctx        context.Context
	cancel     context.CancelFunc
	started    bool
	// enginePriority is what the queue asks of engines that honour priorities.
	enginePriority int
	// crashes is the number of crashes of the content before this call.
	crashes int
	result  jkmsg.DispatchResult
	done    chan struct{}
}

func newJob(d *Dispatcher, m jkmsg.Dispatch, emit func(jkmsg.DispatchEvent) error) *job {
	j := &job{dispatcher: d, message: m, emit: emit, done: make(chan struct{})}
	j.crashes = max(m.Crashes, d.options.Crashes(m.Fingerprint))
	// The job outlives its request's context: a call that may not be repeated
	// runs to its end even when nobody waits for it.
	if m.Call.Deadline.IsZero() {
		j.ctx, j.cancel = context.WithCancel(context.Background())
	} else {
		d := m.Call.Deadline.Sub(d.options.Timer.Now())
		j.ctx, j.cancel = context.WithTimeout(context.Background(), d)
	}
	return j
}

func (j *job) key() jobKey {
	return jobKey{call: j.message.Call.ID, endpoint: j.message.Endpoint}
}

// start runs the call at its endpoint. The caller holds the dispatcher's lock.
func (j *job) start(addr string, enginePriority int) {
	j.enginePriority = enginePriority
	j.started = true
	j.dispatcher.noteUse(j.message, addr)
	j.dispatcher.queue.Started(j.dispatcher.options.Timer.Now(), j.message.Call.ID, j.message.Endpoint)
	go j.run(addr)
}

func (j *job) notifySecond() {
	// A home that is gone needs no second dispatch.
	_ = j.emit(jkmsg.DispatchEvent{Second: true})
}

func (j *job) run(addr string) {
	defer j.cancel()
	var r jkmsg.DispatchResult
	var s jksched.Result
	if j.message.Call.Kind == jksched.KindModel {
		r, s = j.chat(addr)
	} else {
		r, s = j.service(addr)
	}
	d := j.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteUse(j.message, addr)
	d.queue.Finished(d.options.Timer.Now(), j.message.Call.ID, j.message.Endpoint, s)
	d.tick()
	r.Load = d.load(j.message.Endpoint)
	d.end(j, r)
}

// load returns an endpoint's digest. The caller holds the lock.
func (d *Dispatcher) load(endpoint string) *jksched.Load {
	for _, l := range d.queue.Loads(d.options.Timer.Now()) {
		if l.Endpoint == endpoint {
			return &l
		}
	}
	return nil
}

func (j *job) chat(addr string) (jkmsg.DispatchResult, jksched.Result) {
	var request jkchat.Request
	if err := json.Unmarshal(j.message.Chat, &request); err != nil {
		return *refused(jksched.ReasonUnknown, 0), jksched.Result{Outcome: jksched.OutcomeFailed}
	}
	answer, err := j.dispatcher.options.Client.Chat(j.ctx, addr, jkendpoint.ChatRequest{
		Request:    request,
		Program:    j.message.Call.Program,
		RequestID:  j.message.Call.ID,
		Priority:   j.enginePriority,
		Repeatable: j.message.Call.Repeatable,
	}, j.pass)
	if err != nil {
		return j.failure(addr, err)
	}
	body, err := json.Marshal(jkchat.Completion{
		ID:      answer.ID,
		Object:  jkchat.ObjectCompletion,
		Created: j.dispatcher.options.Timer.Now().Unix(),
		Model:   request.Model,
		Choices: []jkchat.Choice{{Message: answer.Message, FinishReason: answer.FinishReason}},
		Usage:   &answer.Usage,
	})
	if err != nil {
		return j.failure(addr, err)
	}
	return jkmsg.DispatchResult{Outcome: jkprogram.OutcomeCompleted, Status: http.StatusOK, Body: body}, jksched.Result{
		Outcome:   jksched.OutcomeCompleted,
		Generated: int64(answer.Usage.CompletionTokens),
		Cached:    int64(answer.Usage.Cached()),
		ToolCalls: answer.FinishReason == jkchat.FinishToolCalls,
	}
}

// pass hands the text of a chunk to the home.
func (j *job) pass(c jkchat.Chunk) error {
	text := ""
	for _, choice := range c.Choices {
		if choice.Index == 0 {
			text += choice.Delta.Content
		}
	}
	if text == "" {
		return nil
	}
	d := j.dispatcher
	d.mu.Lock()
	d.queue.Tokens(d.options.Timer.Now(), j.message.Call.ID, j.message.Endpoint, 1)
	d.mu.Unlock()
	if err := j.emit(jkmsg.DispatchEvent{Text: text}); err != nil && j.message.Call.Repeatable {
		return err
	}
	return nil
}

func (j *job) service(addr string) (jkmsg.DispatchResult, jksched.Result) {
	header := http.Header{}
	for k, v := range j.message.Header {
		header.Set(k, v)
	}
	answer, err := j.dispatcher.options.Client.Service(j.ctx, addr, jkendpoint.ServiceRequest{
		Method:     j.message.Method,
		Path:       j.message.Path,
		Header:     header,
		Body:       j.message.Body,
		Repeatable: j.message.Call.Repeatable,
	})
	if err != nil {
		return j.failure(addr, err)
	}
	out := map[string]string{}
	for k := range answer.Header {
		out[k] = answer.Header.Get(k)
	}
	return jkmsg.DispatchResult{Outcome: jkprogram.OutcomeCompleted, Status: answer.Status, Header: out, Body: answer.Body},
		jksched.Result{Outcome: jksched.OutcomeCompleted}
}

// failure tells what became of a call whose endpoint gave no whole answer.
func (j *job) failure(addr string, err error) (jkmsg.DispatchResult, jksched.Result) {
	var notSent *jkendpoint.NotSentError
	var status *jkendpoint.StatusError
	var uncertain *jkendpoint.UncertainError
	failed := jksched.Result{Outcome: jksched.OutcomeFailed, EndpointFault: true}
	switch {
	case errors.As(err, &notSent):
		r := refused(jksched.ReasonDown, 0)
		r.Detail = err.Error()
		return *r, failed
	case errors.As(err, &status):
		return j.statusFailure(status)
	case j.ctx.Err() != nil:
		return jkmsg.DispatchResult{Outcome: jkprogram.OutcomeUnknown, Reason: jksched.ReasonCancelled, Detail: err.Error()},
			jksched.Result{Outcome: jksched.OutcomeCancelled}
	case errors.As(err, &uncertain):
		return jkmsg.DispatchResult{
			Outcome: jkprogram.OutcomeUnknown, Reason: jksched.ReasonDown, Detail: err.Error(), Crashes: j.suspect(addr),
		}, failed
	}
	return jkmsg.DispatchResult{Outcome: jkprogram.OutcomeUnknown, Reason: jksched.ReasonDown, Detail: err.Error()}, failed
}

// statusFailure handles a complete answer that reports a failure. A refusal for
// lack of room, or because an order has just taken the model away, did not run.
func (j *job) statusFailure(e *jkendpoint.StatusError) (jkmsg.DispatchResult, jksched.Result) {
	if e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable {
		r := refused(jksched.ReasonQueueFull, e.RetryAfter)
		r.Detail = e.Error()
		return *r, jksched.Result{Outcome: jksched.OutcomeFailed}
	}
	if e.IsModelNotFound() {
		r := refused(jksched.ReasonDown, 0)
		r.Detail = e.Error()
		return *r, jksched.Result{Outcome: jksched.OutcomeFailed}
	}
	return jkmsg.DispatchResult{Outcome: jkprogram.OutcomeFailed, Status: e.Status, Body: e.Body, Detail: e.Error()},
		jksched.Result{Outcome: jksched.OutcomeFailed, EndpointFault: e.Status >= http.StatusInternalServerError}
}

// suspect reports the call's content if the endpoint died while it ran, and
// returns the number of crashes: a broken connection alone may have other
// causes.
func (j *job) suspect(addr string) int {
	if !j.hasDied(addr) {
		return 0
	}
	j.dispatcher.options.Crashed(j.message.Fingerprint, j.message.Home, j.crashes+1)
	return j.crashes + 1
}

// maxProbes bounds the probes of an endpoint that breaks off each one.
const maxProbes = 3

// hasDied reports whether an endpoint refuses connections, or breaks off every
// probe. One broken probe may only have met a kept connection.
func (j *job) hasDied(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for range maxProbes {
		_, err := j.dispatcher.options.Client.State(ctx, addr)
		var notSent *jkendpoint.NotSentError
		var uncertain *jkendpoint.UncertainError
		if errors.As(err, &notSent) {
			return true
		}
		if !errors.As(err, &uncertain) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

func refused(reason jksched.Reason, retryAfter time.Duration) *jkmsg.DispatchResult {
	return &jkmsg.DispatchResult{Outcome: jkprogram.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

func refusedBy(err error) *jkmsg.DispatchResult {
	var r *jksched.RefusedError
	if errors.As(err, &r) {
		return refused(r.Reason, r.RetryAfter)
	}
	return refused(jksched.ReasonUnknown, 0)
}
