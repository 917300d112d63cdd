package jkaccount

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Chain returns the inputs and outputs of a chain, the oldest turn first. It asks the
// nearest of the program's copies and, if that lacks a turn, all others.
func (c *Client) Chain(ctx context.Context, program, request string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	w := &chainWalk{client: c, turns: map[string]jkledger.Turn{}, reports: newLossReports(), answers: newAnswerLog(c)}
	return w.run(ctx, program, request)
}

// chainWalk collects the turns of one chain from several copies.
type chainWalk struct {
	client *Client
	mu     sync.Mutex
	turns  map[string]jkledger.Turn
	// reports holds what the copies that answered say of the others, and certain counts those
	// that are certain.
	reports *lossReports
	certain int
	answers *answerLog
}

func (w *chainWalk) run(ctx context.Context, program, request string) ([]byte, error) {
	copies := w.client.replicas(program)
	others := slices.DeleteFunc(slices.Clone(w.client.knownCopies()), func(o Copy) bool { return slices.Contains(copies, o) })
	copies = append(copies, others...)
	if len(copies) == 0 {
		return nil, &jkforward.NoQuorumError{Operation: "chain", Needed: 1}
	}
	w.fetch(ctx, copies[:1], request)
	firstMissing := w.firstMissing(request)
	if firstMissing != "" {
		w.fetch(ctx, copies[1:], firstMissing)
		firstMissing = w.firstMissing(request)
	}
	if firstMissing == "" {
		return w.concatenate(request), nil
	}
	// A partitioned zone keeps its turns on one disk for a while. So a turn is unknown
	// only if all copies are known and each one that isn't down says so.
	needed := max(len(copies)-min(w.client.countDown(copies, w.reports), w.client.MaxLostDisks), 1)
	if w.certain < needed || firstMissing != request || !w.client.MembersSettled() {
		w.client.Log.Warn("chain not found", "previous", request, "missing", firstMissing, "program", program, "needed", needed, "copies", w.answers.describe(copies))
		return nil, &jkforward.NoQuorumError{Operation: "chain", Answers: w.certain, Needed: needed}
	}
	w.client.Log.Info("turn unknown", "request", request, "program", program, "needed", needed, "copies", w.answers.describe(copies))
	return nil, &jkforward.UnknownTurnError{Request: request}
}

// fetch asks copies for the chain that ends with a request, and adds their turns and answers.
func (w *chainWalk) fetch(ctx context.Context, copies []Copy, request string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var done sync.WaitGroup
	for _, target := range copies {
		done.Add(1)
		go func() {
			defer done.Done()
			var a jkledger.ChainAnswer
			err := w.client.call(ctx, target, jkledger.TypeChain, &jkledger.ChainRequest{Request: request}, &a)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.answers.add(target.Host, describeChainAnswer(&a, err))
			if err != nil {
				return
			}
			for _, t := range a.Turns {
				w.turns[t.Request] = t
			}
			w.reports.add(target.Host, a.Losses)
			if a.Certain {
				w.certain++
			}
		}()
	}
	done.Wait()
}

// describeChainAnswer returns a copy's answer for a log line.
func describeChainAnswer(a *jkledger.ChainAnswer, err error) string {
	switch {
	case err != nil:
		return describeFailure(err)
	case !a.Certain:
		return fmt.Sprintf("uncertain turns=%d", len(a.Turns))
	}
	return fmt.Sprintf("certain turns=%d", len(a.Turns))
}

// firstMissing returns the request of the newest turn of the chain that isn't known, or
// an empty string.
func (w *chainWalk) firstMissing(request string) string {
	for request != "" {
		t, ok := w.turns[request]
		if !ok {
			return request
		}
		request = t.Previous
	}
	return ""
}

// concatenate returns the inputs and outputs of a chain whose turns are all known.
func (w *chainWalk) concatenate(request string) []byte {
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
