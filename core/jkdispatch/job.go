package jkdispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"syscall"
	"time"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
)

// probeTimeout bounds the check whether an endpoint is still running after a connection
// broke.
const probeTimeout = 500 * time.Millisecond

// job is one call that waits or runs at its dispatcher.
type job struct {
	dispatcher *Dispatcher
	message    jkmsg.Dispatch
	emit       func(jkmsg.DispatchEvent) error
	ctx        context.Context
	cancel     context.CancelFunc
	started    bool
	// enginePriority is the priority that the queue assigns at engines that honour
	// priorities.
	enginePriority int
	// crashes is the number of known crashes of the content before this call.
	crashes int
	result  jkmsg.DispatchResult
	done    chan struct{}
}

func newJob(d *Dispatcher, m jkmsg.Dispatch, emit func(jkmsg.DispatchEvent) error) *job {
	j := &job{dispatcher: d, message: m, emit: emit, done: make(chan struct{})}
	j.crashes = max(m.Crashes, d.options.Crashes(m.Fingerprint))
	// The job's context is not derived from the request's: a call that may not be
	// repeated runs to its end even when nobody waits for it.
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
	j.dispatcher.recordUse(j.message, addr)
	j.dispatcher.queue.Started(j.dispatcher.options.Timer.Now(), j.message.Call.ID, j.message.Endpoint)
	go j.run(addr)
}

// notifySecondDispatch asks the home to dispatch the call to a second endpoint.
func (j *job) notifySecondDispatch() {
	// The error is ignored: a home that is gone needs no second dispatch.
	_ = j.emit(jkmsg.DispatchEvent{SecondDispatch: true})
}

// run runs the call to its end and reports the outcome to the queue.
func (j *job) run(addr string) {
	defer j.cancel()
	var r jkmsg.DispatchResult
	var s jksched.Result
	if j.message.Call.Kind == jksched.KindModel {
		r, s = j.runChat(addr)
	} else {
		r, s = j.runService(addr)
	}
	d := j.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordUse(j.message, addr)
	d.queue.Finished(d.options.Timer.Now(), j.message.Call.ID, j.message.Endpoint, s)
	d.tick()
	r.Load = d.load(j.message.Endpoint)
	d.finishJob(j, r)
}

// load returns an endpoint's load report. The caller holds the lock.
func (d *Dispatcher) load(endpoint string) *jksched.Load {
	for _, l := range d.queue.Loads(d.options.Timer.Now()) {
		if l.Endpoint == endpoint {
			return &l
		}
	}
	return nil
}

// runChat runs a model call.
func (j *job) runChat(addr string) (jkmsg.DispatchResult, jksched.Result) {
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
	}, j.forwardChunk)
	if err != nil {
		return j.failureResult(addr, err)
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
		return j.failureResult(addr, err)
	}
	return jkmsg.DispatchResult{Outcome: jkprogram.OutcomeCompleted, Status: http.StatusOK, Body: body}, jksched.Result{
		Outcome:   jksched.OutcomeCompleted,
		Generated: int64(answer.Usage.CompletionTokens),
		Cached:    int64(answer.Usage.Cached()),
		ToolCalls: answer.FinishReason == jkchat.FinishToolCalls,
	}
}

// forwardChunk sends the text of a chunk to the home. An error of the home ends the
// call only if the call may be repeated.
func (j *job) forwardChunk(c jkchat.Chunk) error {
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

// runService runs a service call.
func (j *job) runService(addr string) (jkmsg.DispatchResult, jksched.Result) {
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
		return j.failureResult(addr, err)
	}
	out := map[string]string{}
	for k := range answer.Header {
		out[k] = answer.Header.Get(k)
	}
	return jkmsg.DispatchResult{Outcome: jkprogram.OutcomeCompleted, Status: answer.Status, Header: out, Body: answer.Body},
		jksched.Result{Outcome: jksched.OutcomeCompleted}
}

// failureResult returns the result of a call whose endpoint gave no complete answer.
func (j *job) failureResult(addr string, err error) (jkmsg.DispatchResult, jksched.Result) {
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
			Outcome: jkprogram.OutcomeUnknown, Reason: jksched.ReasonDown, Detail: err.Error(), Crashes: j.reportCrash(addr),
		}, failed
	}
	return jkmsg.DispatchResult{Outcome: jkprogram.OutcomeUnknown, Reason: jksched.ReasonDown, Detail: err.Error()}, failed
}

// statusFailure returns the result of a complete answer that reports a failure. A call
// that was refused for lack of capacity, or because an order has just removed the
// model, did not run.
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

// reportCrash reports a crash of the call's content if the endpoint died while it ran,
// and returns the number of crashes. It probes the endpoint, because a broken
// connection alone may have other causes.
func (j *job) reportCrash(addr string) int {
	if !j.hasDied(addr) {
		return 0
	}
	j.dispatcher.options.Crashed(j.message.Fingerprint, j.message.Home, j.crashes+1)
	return j.crashes + 1
}

// maxProbes bounds the probes of an endpoint that breaks off each of them.
const maxProbes = 3

// hasDied reports whether an endpoint refuses connections, or breaks off every probe. A
// single broken probe may only have used a kept-alive connection that was no longer
// open.
func (j *job) hasDied(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for range maxProbes {
		_, err := j.dispatcher.options.Client.State(ctx, addr)
		var uncertain *jkendpoint.UncertainError
		if errors.Is(err, syscall.ECONNREFUSED) {
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

func refusalFor(err error) *jkmsg.DispatchResult {
	var r *jksched.RefusedError
	if errors.As(err, &r) {
		return refused(r.Reason, r.RetryAfter)
	}
	return refused(jksched.ReasonUnknown, 0)
}
