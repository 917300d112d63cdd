package jkaccount

import (
	"context"
	"fmt"
	"slices"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// hedgeDelay is how long the nearest copy may take before the others are asked too.
const hedgeDelay = 150 * time.Millisecond

// Chain returns the turns of a chain. It asks the
// nearest of the program's copies and, if that lacks a turn or is slow, all others.
func (c *Client) Chain(ctx context.Context, program, request string) (jkforward.Chain, error) {
	ctx, cancel := c.withTimeout(ctx, answerTimeout)
	defer cancel()
	w := &chainWalk{
		client: c, program: program, request: request, turns: map[string]jkledger.Turn{}, reports: newTurnLossReports(),
		certain: map[string]bool{}, pending: map[string]int{}, answers: make(chan chainAnswer), log: newAnswerLog(c),
	}
	chain, err := w.run(ctx)
	if isNoQuorum(err) {
		c.Log.Warn("chain not found", "request", request, "program", program, "error", err, "copies", w.log.describe(w.copies))
	}
	return chain, err
}

// chainWalk collects the turns of one chain from several copies.
type chainWalk struct {
	client  *Client
	program string
	request string
	copies  []Copy
	turns   map[string]jkledger.Turn
	// reports holds what the copies that answered say of the others, and certain those that
	// are certain.
	reports *lossReports
	certain map[string]bool
	answers chan chainAnswer
	// pending counts the calls of each host that haven't ended.
	pending map[string]int
	log     *answerLog
}

// chainAnswer is the answer of a copy; content is nil if there is none.
type chainAnswer struct {
	from    Copy
	content *jkledger.ChainAnswer
}

func (w *chainWalk) run(ctx context.Context) (jkforward.Chain, error) {
	w.copies = w.client.replicas(w.program)
	others := slices.DeleteFunc(slices.Clone(w.client.knownCopies()), func(o Copy) bool { return slices.Contains(w.copies, o) })
	w.copies = append(w.copies, others...)
	if len(w.copies) == 0 {
		return jkforward.Chain{}, &jkforward.NoQuorumError{Operation: "chain", Needed: 1}
	}
	ticks := make(chan struct{}, 1)
	defer w.client.Timer.Every(timeoutStep, func() { notify(ticks) })()
	w.ask(ctx, w.copies[:1], w.request)
	waited := time.Duration(0)
	// missing is the turn that all copies were asked for last.
	for missing := ""; ; {
		next := w.firstMissing()
		if next == "" {
			return w.concatenate(), nil
		}
		switch {
		case missing == "" && (len(w.pending) == 0 || waited >= hedgeDelay):
			w.ask(ctx, w.copies[1:], next)
			missing, waited = next, 0
		case missing != "" && missing != next:
			// Copies that lack a newer turn weren't asked for this one.
			w.ask(ctx, w.copies, next)
			missing, waited = next, 0
		}
		if missing != "" && (len(w.pending) == 0 || waited >= callTimeout) {
			if err := w.decide(next); !w.mayGetAnswer() || !isNoQuorum(err) {
				return jkforward.Chain{}, err
			}
		}
		select {
		case a := <-w.answers:
			w.add(a)
		case <-ticks:
			waited += timeoutStep
		case <-ctx.Done():
			return jkforward.Chain{}, w.decide(next)
		}
	}
}

// ask asks copies for the chain that ends with a turn.
func (w *chainWalk) ask(ctx context.Context, copies []Copy, request string) {
	for _, target := range copies {
		w.pending[target.Host]++
		go func() {
			var a jkledger.ChainAnswer
			out := chainAnswer{from: target}
			err := w.client.callUntilAnswered(ctx, target, jkledger.TypeChain, &jkledger.ChainRequest{Request: request}, &a)
			w.log.add(target.Host, describeChainAnswer(&a, err))
			if err == nil {
				out.content = &a
			}
			select {
			case w.answers <- out:
			case <-ctx.Done():
			}
		}()
	}
}

func (w *chainWalk) add(a chainAnswer) {
	if w.pending[a.from.Host]--; w.pending[a.from.Host] == 0 {
		delete(w.pending, a.from.Host)
	}
	if a.content == nil {
		return
	}
	for _, t := range a.content.Turns {
		w.turns[t.Request] = t
	}
	w.reports.add(a.from.Host, a.content.Losses)
	if a.content.Certain {
		w.certain[a.from.Host] = true
	}
}

// mayGetAnswer reports whether a copy that hasn't answered is in reach.
func (w *chainWalk) mayGetAnswer() bool {
	return slices.ContainsFunc(w.copies, func(target Copy) bool {
		return w.pending[target.Host] > 0 && w.client.mayAnswer(target)
	})
}

// decide returns why the chain isn't found. A partitioned zone keeps its turns on one disk for a
// while. So a turn is unknown only if all copies are known and each one that isn't down says so.
func (w *chainWalk) decide(missing string) error {
	c := w.client
	needed := max(len(w.copies)-min(c.countDown(w.copies, w.reports), c.MaxLostDisks), 1)
	if len(w.certain) < needed || missing != w.request || !c.MembersSettled() {
		return &jkforward.NoQuorumError{Operation: "chain", Answers: len(w.certain), Needed: needed}
	}
	c.Log.Info("turn unknown", "request", w.request, "program", w.program, "needed", needed, "copies", w.log.describe(w.copies))
	return &jkforward.UnknownTurnError{Request: w.request}
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
func (w *chainWalk) firstMissing() string {
	request := w.request
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
func (w *chainWalk) concatenate() jkforward.Chain {
	var (
		chain    []jkledger.Turn
		programs []string
	)
	size := 0
	for request := w.request; request != ""; {
		t := w.turns[request]
		chain = append(chain, t)
		if !slices.Contains(programs, t.Program) {
			programs = append(programs, t.Program)
		}
		size += len(t.Input) + len(t.Output)
		request = t.Previous
	}
	out := make([]byte, 0, size+size/4)
	for _, t := range slices.Backward(chain) {
		out = append(append(out, t.Input...), t.Output...)
	}
	return jkforward.Chain{Content: out, Programs: programs}
}
