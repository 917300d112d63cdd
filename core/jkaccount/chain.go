package jkaccount

import (
	"context"
	"slices"
	"sync"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Chain returns the inputs and outputs of a chain, the oldest turn first. It
// asks the nearest of the program's copies and, where that lacks a turn, all
// others.
func (c *Client) Chain(ctx context.Context, program, request string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	w := &walk{client: c, turns: map[string]jkledger.Turn{}}
	return w.run(ctx, program, request)
}

// walk collects the turns of one chain from several copies.
type walk struct {
	client *Client
	mu     sync.Mutex
	turns  map[string]jkledger.Turn
}

func (w *walk) run(ctx context.Context, program, request string) ([]byte, error) {
	copies := w.client.replicas(program)
	others := slices.DeleteFunc(slices.Clone(w.client.Copies()), func(o Copy) bool { return slices.Contains(copies, o) })
	copies = append(copies, others...)
	if len(copies) == 0 {
		return nil, &jkforward.NoQuorumError{Operation: "chain", Needed: 1}
	}
	answers := w.ask(ctx, copies[:1], request)
	missing := w.missing(request)
	if missing != "" {
		answers += w.ask(ctx, copies[1:], missing)
		missing = w.missing(request)
	}
	if missing == "" {
		return w.body(request), nil
	}
	// A zone that is cut off keeps its turns on one disk for a while, so that a
	// turn is unknown only where every copy says so that isn't down, and all copies
	// are known.
	needed := max(len(copies)-min(w.client.down(copies), w.client.Losses), 1)
	if answers < needed || missing != request || !w.client.MembersSettled() {
		return nil, &jkforward.NoQuorumError{Operation: "chain", Answers: answers, Needed: needed}
	}
	return nil, &jkforward.UnknownTurnError{Request: request}
}

// ask returns the number of copies that answered and are certain.
func (w *walk) ask(ctx context.Context, copies []Copy, request string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var done sync.WaitGroup
	certain := 0
	for _, target := range copies {
		done.Add(1)
		go func() {
			defer done.Done()
			var a jkledger.ChainAnswer
			if err := w.client.call(ctx, target, jkledger.TypeChain, &jkledger.ChainRequest{Request: request}, &a); err != nil {
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, t := range a.Turns {
				w.turns[t.Request] = t
			}
			if a.Certain {
				certain++
			}
		}()
	}
	done.Wait()
	return certain
}

// missing names the newest turn of the chain that isn't known, or is empty.
func (w *walk) missing(request string) string {
	for request != "" {
		t, ok := w.turns[request]
		if !ok {
			return request
		}
		request = t.Previous
	}
	return ""
}

func (w *walk) body(request string) []byte {
	var chain []jkledger.Turn
	size := 0
	for request != "" {
		t := w.turns[request]
		chain = append(chain, t)
		size += len(t.Input) + len(t.Output)
		request = t.Previous
	}
	out := make([]byte, 0, size+size/4)
	for _, t := range slices.Backward(chain) {
		out = append(append(out, t.Input...), t.Output...)
	}
	return out
}
