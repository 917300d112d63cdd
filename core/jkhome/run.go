package jkhome

import (
	"context"
	"strings"
	"sync"
	"time"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
)

// run is a call under way. Any number of requests with the same id may follow
// it; it goes on when all of them are gone.
type run struct {
	plan     *plan
	deadline time.Time
	cancel   context.CancelFunc

	mu      sync.Mutex
	text    strings.Builder
	result  *jkmsg.CallResult
	changed chan struct{}
}

func newRun(p *plan, deadline time.Time) *run {
	return &run{plan: p, deadline: deadline, changed: make(chan struct{})}
}

// extend takes a piece of an attempt's text that begins at a position. What
// callers have seen already is compared, the rest is added. It reports false if
// the attempt differs: two attempts at one call may, and callers only ever see
// one of them.
func (r *run) extend(position int, piece string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.text.String()[position:]
	overlap := min(len(piece), len(sent))
	if piece[:overlap] != sent[:overlap] {
		return false
	}
	if rest := piece[overlap:]; rest != "" {
		r.text.WriteString(rest)
		r.signal()
	}
	return true
}

// finish sets the result once.
func (r *run) finish(result jkmsg.CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result == nil {
		r.result = &result
		r.signal()
	}
}

func (r *run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// follow passes the text on from its start and returns the result.
func (r *run) follow(ctx context.Context, emit func(text string) error) jkmsg.CallResult {
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
			return problemResult(jkproblem.New(jkproblem.TypeDeadline, "the caller's deadline passed before the call ended"))
		}
	}
}

func problemResult(p *jkproblem.Problem) jkmsg.CallResult {
	return jkmsg.CallResult{Outcome: p.Outcome, Status: p.Status, Problem: p}
}
