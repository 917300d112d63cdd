package jkhome

import (
	"context"
	"strings"
	"sync"
	"time"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
)

// inFlightCall is a call in flight. Any number of requests with the same id may follow
// it, and it continues when all of them have disconnected.
type inFlightCall struct {
	plan     *callPlan
	deadline time.Time
	cancel   context.CancelFunc

	mu      sync.Mutex
	text    strings.Builder
	result  *jkmsg.CallResult
	changed chan struct{}
}

func newInFlightCall(p *callPlan, deadline time.Time) *inFlightCall {
	return &inFlightCall{plan: p, deadline: deadline, changed: make(chan struct{})}
}

// appendText adds a piece of an attempt's answer that begins at a position. The part
// that callers have received already is compared, the rest is appended. It reports
// false if the attempt diverges: two attempts at one call may give different answers,
// and callers must see only one of them.
func (r *inFlightCall) appendText(position int, piece string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.text.String()[position:]
	overlap := min(len(piece), len(sent))
	if piece[:overlap] != sent[:overlap] {
		return false
	}
	if rest := piece[overlap:]; rest != "" {
		r.text.WriteString(rest)
		r.notifyFollowers()
	}
	return true
}

// finish sets the result; later results are ignored.
func (r *inFlightCall) finish(result jkmsg.CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result == nil {
		r.result = &result
		r.notifyFollowers()
	}
}

func (r *inFlightCall) notifyFollowers() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// follow emits the text from its start as it arrives and returns the result.
func (r *inFlightCall) follow(ctx context.Context, emit func(text string) error) jkmsg.CallResult {
	sent := 0
	for {
		r.mu.Lock()
		text := r.text.String()[sent:]
		result := r.result
		changed := r.changed
		r.mu.Unlock()
		if text != "" {
			if err := emit(text); err != nil {
				return problemResult(jkproblem.New(jkproblem.TypeStreamBroken, err.Error()))
			}
			sent += len(text)
			continue
		}
		if result != nil {
			return *result
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return problemResult(jkproblem.New(jkproblem.TypeDeadlineExceeded, "the caller's deadline passed before the call ended"))
		}
	}
}

func problemResult(p *jkproblem.Problem) jkmsg.CallResult {
	return jkmsg.CallResult{Outcome: p.Outcome, Status: p.Status, Problem: p}
}
