package jkaccount

import (
	"cmp"
	"context"
	"slices"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Reserve reserves tokens of the program's budget on its copies. It fails with a
// *jkforward.BudgetSpentError if the budget doesn't cover them, and with a
// *jkforward.NoQuorumError if too few copies answered; the reservation is then settled with
// no tokens.
func (c *Client) Reserve(ctx context.Context, r jkforward.Reservation) error {
	if err := c.checkKnownCopies("reserve", c.replicas(r.Program)); err != nil {
		return err
	}
	o := newReserveOperation(c, r)
	err := o.run(ctx)
	if err != nil {
		c.Log.Info("tokens not reserved", "request", r.Request, "program", r.Program, "error", err, "copies", o.log.describe(o.copies))
		c.Settle(jkforward.Settlement{Program: r.Program, Request: r.Request, Retention: r.Retention})
	}
	return err
}

// reserveOperation sends a reservation to the copies of its program in rounds, until their answers
// admit or refuse it or no further answer can change that.
type reserveOperation struct {
	client      *Client
	reservation jkforward.Reservation
	// copies are those of the present round, and extra the further ones that record it.
	copies, extra []Copy
	// round counts the rounds. An answer is as old as its round.
	round   int
	answers chan reserveAnswer
	// latest holds the latest answer of each host.
	latest map[string]reserveAnswer
	log    *answerLog
}

// reserveAnswer is the answer of a copy; content is nil if there is none.
type reserveAnswer struct {
	from    Copy
	round   int
	content *jkledger.ReserveAnswer
}

func newReserveOperation(c *Client, r jkforward.Reservation) *reserveOperation {
	return &reserveOperation{client: c, reservation: r, answers: make(chan reserveAnswer), latest: map[string]reserveAnswer{}, log: newAnswerLog(c)}
}

func (o *reserveOperation) run(ctx context.Context) error {
	calls, endCalls := context.WithCancel(context.WithoutCancel(ctx))
	ctx, cancel := o.client.withTimeout(ctx, answerTimeout)
	defer cancel()
	for {
		o.ask(calls)
		if o.awaitRound(ctx) {
			// The calls of the other copies go on, so that these get the reservation too.
			o.client.Timer.After(callTimeout, endCalls)
			return nil
		}
		err := o.decide()
		if !isNoQuorum(err) || !o.mayGetAnswer() || !o.awaitNextRound(ctx) {
			endCalls()
			return err
		}
	}
}

// ask sends the reservation to all copies. Those that have it answer again with what the program
// has spent since.
func (o *reserveOperation) ask(ctx context.Context) {
	r := o.reservation
	request := &jkledger.ReserveRequest{Spending: jkledger.Spending{
		Program: r.Program, Request: r.Request, Tokens: r.Tokens, Retention: r.Retention,
	}}
	o.round++
	o.copies = o.client.replicas(r.Program)
	o.extra = o.client.extraCopies(r.Program, o.copies)
	for _, target := range slices.Concat(o.copies, o.extra) {
		out := reserveAnswer{from: target, round: o.round}
		go func() {
			var a jkledger.ReserveAnswer
			err := o.client.call(ctx, target, jkledger.TypeReserve, request, &a)
			if err != nil {
				o.log.add(target.Host, describeFailure(err))
			} else {
				o.log.add(target.Host, describeReserveAnswer(&a))
				out.content = &a
			}
			select {
			case o.answers <- out:
			case <-ctx.Done():
			}
		}()
	}
}

// awaitRound collects answers until they admit the reservation, all copies have answered this round
// or callTimeout has passed, and reports whether they admit it.
func (o *reserveOperation) awaitRound(ctx context.Context) bool {
	ctx, cancel := o.client.withTimeout(ctx, callTimeout)
	defer cancel()
	for pending := len(o.copies) + len(o.extra); pending > 0; {
		select {
		case a := <-o.answers:
			if a.round == o.round {
				pending--
			}
			if o.add(a) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// awaitNextRound waits for a late answer or for some time, and reports whether the operation may go
// on. An answer that is late says that the copy answers again.
func (o *reserveOperation) awaitNextRound(ctx context.Context) bool {
	retry := make(chan struct{}, 1)
	defer o.client.Timer.After(callRetryPause, func() { notify(retry) })()
	select {
	case a := <-o.answers:
		o.add(a)
	case <-retry:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// add adds an answer and reports whether those of all rounds admit the reservation. Since a copy
// records the reservation before it answers, a majority admits it at any age of its answers.
func (o *reserveOperation) add(a reserveAnswer) bool {
	if a.content == nil || a.round < o.latest[a.from.Host].round {
		return false
	}
	o.latest[a.from.Host] = a
	q, _ := o.quorum(0)
	return q.isEnough(o.reservation)
}

// quorum returns the answers of a round and later ones, and what they say of other hosts.
func (o *reserveOperation) quorum(oldest int) (*quorum, *lossReports) {
	q := &quorum{spendings: spendings{}, copies: len(o.copies)}
	reports := newLossReports()
	for _, target := range slices.Concat(o.copies, o.extra) {
		a := o.latest[target.Host]
		if a.content == nil || a.round < oldest {
			continue
		}
		reports.add(target.Host, a.content.Losses)
		if slices.Contains(o.extra, target) {
			q.spendings.merge(a.content.Spendings)
			continue
		}
		q.add(a.content, o.client.standsIn(o.reservation.Program, target))
	}
	return q, reports
}

// decide returns an error unless the answers of this round admit the reservation. Older ones don't
// tell what a part of the fleet has admitted since by itself.
func (o *reserveOperation) decide() error {
	q, reports := o.quorum(o.round)
	q.exclusive = o.client.isExclusive(o.reservation.Program, o.copies, reports)
	return q.decide(o.reservation)
}

// mayGetAnswer reports whether the copies that are in reach and haven't answered this round could
// still admit the reservation.
func (o *reserveOperation) mayGetAnswer() bool {
	q, reports := o.quorum(o.round)
	mayAnswer, out := 0, 0
	for _, target := range o.copies {
		switch {
		case reports.answered[target.Host]:
		case o.client.mayAnswer(target):
			mayAnswer++
		case !o.client.isDown(target, reports):
			out++
		}
	}
	if q.hasMajority() {
		return mayAnswer > 0 && out == 0
	}
	return q.certainAnswers+mayAnswer >= majority(q.copies)
}

// Settle replaces a reservation by the tokens that were used, on all copies of the program.
// It doesn't wait for them. If a settlement is lost, the reservation stays, so that the
// program is charged more tokens than it used.
func (c *Client) Settle(s jkforward.Settlement) {
	records := []jkledger.Record{{Spending: &jkledger.Spending{
		Program: s.Program, Request: s.Request, Tokens: s.Tokens, Settled: true, Retention: s.Retention,
	}}}
	copies := c.replicas(s.Program)
	for _, target := range slices.Concat(copies, c.extraCopies(s.Program, copies)) {
		c.outbox.send(target, records, nil)
	}
}

// extraCopies returns further copies that record the spendings of a program if so few of its own
// are in reach that these may all lose their disks. They have no vote, since other hosts don't ask
// them.
func (c *Client) extraCopies(program string, chosen []Copy) []Copy {
	missing := c.MaxLostDisks + 1
	for _, target := range chosen {
		if c.isInReach(target) {
			missing--
		}
	}
	if missing <= 0 {
		return nil
	}
	extra := slices.DeleteFunc(slices.Clone(c.knownCopies()), func(known Copy) bool {
		return !c.Reachable(known.Host) || slices.Contains(chosen, known)
	})
	slices.SortFunc(extra, func(a, b Copy) int { return cmp.Compare(rank(program, b.Host), rank(program, a.Host)) })
	return extra[:min(missing, len(extra))]
}
