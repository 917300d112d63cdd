package jkaccount

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Reserve reserves tokens of the program's budget on its copies. It fails with a
// *jkforward.BudgetSpentError if the budget doesn't cover them, and with a
// *jkforward.NoQuorumError if too few copies answered; the reservation is then released.
func (c *Client) Reserve(ctx context.Context, r jkforward.Reservation) error {
	_, err := c.reserve(ctx, newReserveOperation(c, r))
	return err
}

// Continue reserves tokens like Reserve, and returns the version in the name of the reservation of
// another request of the program. It fails with a *jkforward.UnknownStreamError if none of the copies
// that answer knows it.
func (c *Client) Continue(ctx context.Context, r jkforward.Reservation, origin string) (version string, err error) {
	o := newReserveOperation(c, r)
	o.origin = origin
	version, err = c.reserve(ctx, o)
	return version, err
}

// reserve returns the version of the operation's origin, if it has one.
func (c *Client) reserve(ctx context.Context, o *reserveOperation) (version string, err error) {
	r := o.reservation
	if err := c.checkKnownCopies("reserve", o.copies); err != nil {
		return "", err
	}
	err = o.run(ctx)
	if err != nil {
		c.Log.Info("tokens not reserved", "request", r.Request, "program", r.Program, "error", err, "copies", o.log.describe(o.copies),
			"unproven_losses", c.unprovenLosses(o.reports), "replaced", c.describeReplaced(o), "unsettled_zones", c.unsettledZones())
		// An admission that is cancelled, as its chain isn't found, is refused before copies had the time to answer.
		isAwaited := func(target Copy) bool { return errors.Is(context.Cause(ctx), context.Canceled) && c.mayAnswer(target) }
		c.release(context.WithoutCancel(ctx), jkforward.Settlement{Program: r.Program, Request: r.Request, Retention: r.Retention}, isAwaited)
		return "", err
	}
	if spent := o.quorum.spendings.total(); spent > r.Budget {
		c.Log.Info("tokens reserved beside abandoned reservations", "request", r.Request, "program", r.Program, "reserved", r.Tokens,
			"abandoned", o.quorum.abandoned(), "spent", spent, "budget", r.Budget)
	}
	if o.origin == "" {
		return "", nil
	}
	version, ok := o.quorum.spendings.versionOf(o.origin)
	if !ok {
		return "", &jkforward.UnknownStreamError{Request: o.origin}
	}
	return version, nil
}

// reserveOperation sends a reservation to the copies of its program and collects their answers. Each
// copy records the reservation before it answers, so that of two reservations on a copy one sees the
// other, however late the answers are.
type reserveOperation struct {
	client      *Client
	reservation jkforward.Reservation
	// origin is another request of the program, whose reservation is looked for; empty for none.
	origin string
	copies []Copy
	// successors and extra are further copies that record the reservation and have no vote.
	successors, extra []Copy
	// awaited are the successors in reach whose calls haven't ended. Other hosts may have admitted
	// turns there.
	awaited map[string]bool
	answers chan reserveAnswer
	// pending is the number of calls that haven't ended.
	pending int
	quorum  *quorum
	// certain are the copies whose answers the quorum counts.
	certain []Copy
	reports *lossReports
	log     *answerLog
}

// reserveAnswer is the answer of a copy; content is nil if there is none.
type reserveAnswer struct {
	from    Copy
	content *jkledger.ReserveAnswer
}

func newReserveOperation(c *Client, r jkforward.Reservation) *reserveOperation {
	copies := c.replicas(r.Program)
	successors := c.successors(r.Program, copies)
	awaited := map[string]bool{}
	for _, target := range successors {
		if c.Reachable(target.Host) {
			awaited[target.Host] = true
		}
	}
	return &reserveOperation{
		client: c, reservation: r, copies: copies, successors: successors, awaited: awaited,
		extra: c.extraCopies(r.Program, slices.Concat(copies, successors)), answers: make(chan reserveAnswer),
		quorum: newQuorum(len(copies)), reports: newLossReports(), log: newAnswerLog(c),
	}
}

func (o *reserveOperation) run(ctx context.Context) error {
	calls, endCalls := context.WithCancel(context.WithoutCancel(ctx))
	o.ask(calls)
	err := o.await(ctx)
	if err == nil && !o.quorum.hasMajority() {
		err = o.markUnreplicated(ctx)
	}
	if err != nil {
		endCalls()
		return err
	}
	// The calls of the other copies go on, so that these get the reservation too.
	o.client.Timer.After(answerTimeout, endCalls)
	return nil
}

// markUnreplicated makes all copies that have answered keep that others may lack the reservation. Without that they would
// say, once they are in reach of the others, that these have all of it.
func (o *reserveOperation) markUnreplicated(ctx context.Context) error {
	ctx, cancel := o.client.withTimeout(ctx, callTimeout)
	defer cancel()
	r := o.reservation
	request := &jkledger.ReserveRequest{Unreplicated: true, Marks: true, Spending: jkledger.Spending{
		Program: r.Program, Request: r.Request, Tokens: r.Tokens, Retention: r.Retention,
	}}
	answered := slices.DeleteFunc(slices.Clone(o.copies), func(target Copy) bool { return !o.reports.answered[target.Host] })
	results := make(chan error, len(answered))
	for _, target := range answered {
		go func() {
			results <- o.client.callUntilAnswered(ctx, target, jkledger.TypeReserve, request, &jkledger.ReserveAnswer{})
		}()
	}
	for range answered {
		if err := <-results; err != nil {
			return &jkforward.NoQuorumError{Operation: "reserve", Answers: o.quorum.votes(), Needed: majority(o.quorum.copies)}
		}
	}
	return nil
}

// await returns once the answers are enough, or all copies have answered or had callTimeout for it
// and no further answer can change the result.
func (o *reserveOperation) await(ctx context.Context) error {
	ctx, cancel := o.client.withTimeout(ctx, answerTimeout)
	defer cancel()
	ticks := make(chan struct{}, 1)
	defer o.client.Timer.Every(timeoutStep, func() { notify(ticks) })()
	for waited := time.Duration(0); !o.isEnough(); {
		if o.pending == 0 || waited >= callTimeout {
			if err := o.decide(); !isNoQuorum(err) || !o.mayGetAnswer() && !o.mayBeSettled() {
				return err
			}
		}
		select {
		case a := <-o.answers:
			o.add(a)
		case <-ticks:
			waited += timeoutStep
		case <-ctx.Done():
			return o.decide()
		}
	}
	return nil
}

// isEnough reports whether the answers so far admit the reservation and hold that of the origin. What is allowed beside silent
// copies waits for those in reach: a copy that has just taken the place of another one lacks what that one recorded.
func (o *reserveOperation) isEnough() bool {
	isAllowed := o.quorum.isAllowed(o.reservation) && !slices.ContainsFunc(o.copies, func(target Copy) bool {
		return !o.reports.answered[target.Host] && o.client.mayAnswer(target)
	})
	if !o.quorum.isEnough(o.reservation) && !isAllowed || len(o.awaited) > 0 {
		return false
	}
	_, known := o.quorum.spendings.versionOf(o.origin)
	return o.origin == "" || known
}

func (o *reserveOperation) ask(ctx context.Context) {
	r := o.reservation
	request := &jkledger.ReserveRequest{Marks: true, Spending: jkledger.Spending{
		Program: r.Program, Request: r.Request, Tokens: r.Tokens, Retention: r.Retention,
	}}
	o.client.recordings.begin(o.client.Timer.Now(), r)
	for _, target := range slices.Concat(o.copies, o.successors, o.extra) {
		o.pending++
		go func() {
			var a jkledger.ReserveAnswer
			out := reserveAnswer{from: target}
			err := o.client.callUntilAnswered(ctx, target, jkledger.TypeReserve, request, &a)
			if err != nil {
				o.log.add(target.Host, describeFailure(err))
			} else {
				o.log.add(target.Host, describeReserveAnswer(&a))
				o.client.recordings.add(r.Request, target.Host, &a)
				out.content = &a
			}
			select {
			case o.answers <- out:
			case <-ctx.Done():
			}
		}()
	}
}

func (o *reserveOperation) add(a reserveAnswer) {
	o.pending--
	delete(o.awaited, a.from.Host)
	if a.content == nil {
		return
	}
	defer o.judgeAllowance()
	if slices.Contains(o.successors, a.from) {
		o.reports.addNew(a.from.Host)
	} else {
		o.reports.add(a.from.Host, a.content.Losses)
	}
	if !slices.Contains(o.copies, a.from) {
		o.quorum.addSpendings(a.content)
		return
	}
	o.quorum.add(a.content, o.client.standsIn(o.reservation.Program, a.from))
	if a.content.Certain {
		o.certain = append(o.certain, a.from)
	}
	o.quorum.unprovenAnswers = o.client.countUnproven(o.reservation.Program, o.certain, o.reports)
}

// judgeAllowance sets what the turns of the program may have together, if that is more than their partitionShare.
func (o *reserveOperation) judgeAllowance() {
	if o.quorum.spendings.total() > partitionShare(o.reservation) {
		o.quorum.allowance = o.client.allowance(o.reservation, o.copies, o.successors, o.reports, o.quorum.spendings)
	}
}

// decide returns an error unless the answers so far admit the reservation.
func (o *reserveOperation) decide() error {
	o.quorum.exclusive = o.client.isExclusive(o.reservation.Program, o.copies, o.successors, o.reports)
	o.judgeAllowance()
	o.quorum.parted = o.client.isParted(o.reservation.Program, o.copies, o.reports)
	err := o.quorum.decide(o.reservation)
	var noQuorum *jkforward.NoQuorumError
	if errors.As(err, &noQuorum) && o.quorum.hasMajority() {
		noQuorum.RetryAfter = o.client.untilLossesConfirmed()
	}
	var spent *jkforward.BudgetSpentError
	if errors.As(err, &spent) && o.mayBeSettled() {
		return &jkforward.NoQuorumError{Operation: "reserve", Answers: o.quorum.votes(), Needed: majority(o.quorum.copies)}
	}
	return err
}

// mayBeSettled reports whether the budget is spent by reservations alone that a copy which may still
// answer could know to be settled, as are those of tries that were refused.
func (o *reserveOperation) mayBeSettled() bool {
	r, all := o.reservation, o.quorum.spendings
	return all.total() > r.Budget && all.settled()+r.Tokens <= r.Budget &&
		slices.ContainsFunc(slices.Concat(o.copies, o.successors), func(target Copy) bool {
			return !o.reports.answered[target.Host] && o.pending > 0 && o.client.mayAnswer(target)
		})
}

// mayGetAnswer reports whether the copies that are in reach and haven't answered could still admit
// the reservation. Without a majority, those that have answered admit it once the others' zones are
// found to be cut off.
func (o *reserveOperation) mayGetAnswer() bool {
	asked := o.copies
	if o.quorum.hasMajority() {
		asked = slices.Concat(o.copies, o.successors)
	}
	mayAnswer, silent := 0, 0
	for _, target := range asked {
		switch {
		case o.reports.answered[target.Host]:
		case o.pending > 0 && o.client.mayAnswer(target):
			mayAnswer++
		case !o.client.isDown(target, o.reports):
			silent++
		}
	}
	if o.quorum.hasMajority() {
		return mayAnswer > 0 && silent == 0
	}
	mayBeFoundCut := func(target Copy) bool { return !o.reports.answered[target.Host] && o.client.mayTake(target) }
	return mayAnswer > 0 && o.quorum.votes()+mayAnswer >= majority(o.quorum.copies) ||
		o.quorum.coversAlone(o.reservation) && slices.ContainsFunc(o.copies, mayBeFoundCut)
}

// Settle replaces a reservation by the tokens that were used, on all copies of the program.
// It doesn't wait for them. If a settlement is lost, the reservation stays, so that the
// program is charged more tokens than it used.
func (c *Client) Settle(s jkforward.Settlement) {
	r := c.recordings.take(s.Request)
	for _, target := range c.settledCopies(s.Program) {
		c.settle(s, r, target, nil)
	}
}

// Release settles the reservation of a request that hasn't run. It returns once the copies that have recorded the
// reservation have the settlement on disk, or enough of them that some may lose theirs. It doesn't wait for longer than
// callTimeout, nor after the context has ended.
func (c *Client) Release(ctx context.Context, s jkforward.Settlement) {
	c.release(ctx, s, func(Copy) bool { return false })
}

// release is Release that waits also for the given ones of the copies that haven't answered the reservation.
func (c *Client) release(ctx context.Context, s jkforward.Settlement, isAwaited func(Copy) bool) {
	ctx, cancel := c.withTimeout(ctx, callTimeout)
	defer cancel()
	r, copies := c.recordings.take(s.Request), c.settledCopies(s.Program)
	written, awaited := make(chan struct{}, len(copies)), 0
	for _, target := range copies {
		var onOutcome func(outcome) bool
		if r != nil && (r.answers[target.Host] != nil || isAwaited(target)) {
			awaited++
			onOutcome = func(o outcome) bool {
				if o == outcomeWritten {
					written <- struct{}{}
				}
				return o != outcomeWritten && ctx.Err() == nil
			}
		}
		c.settle(s, r, target, onOutcome)
	}
	for range min(awaited, c.MaxLostDisks+1) {
		select {
		case <-written:
		case <-ctx.Done():
			return
		}
	}
}

// settle queues a settlement for a copy. The argument onOutcome has the meaning of pendingWrite.onOutcome.
func (c *Client) settle(s jkforward.Settlement, r *recording, target Copy, onOutcome func(outcome) bool) {
	spending := jkledger.Spending{Program: s.Program, Request: s.Request, Tokens: s.Tokens, Settled: true, Retention: s.Retention}
	c.outbox.send(target, r.settlement(spending, target.Host), onOutcome)
}

// settledCopies returns the copies that get the settlements of a program.
func (c *Client) settledCopies(program string) []Copy {
	copies := c.replicas(program)
	copies = slices.Concat(copies, c.successors(program, copies))
	return slices.Concat(copies, c.extraCopies(program, copies))
}

// extraCopies returns further copies that record the spendings of a program if so few of its own
// are in reach that these may all lose their disks. They have no vote, since other hosts don't ask
// them.
func (c *Client) extraCopies(program string, chosen []Copy) []Copy {
	missing := c.MaxLostDisks + 1
	for _, target := range chosen {
		if c.Reachable(target.Host) {
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
