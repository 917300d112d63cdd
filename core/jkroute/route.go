// Package jkroute finds the home of a program by its token and forwards calls to
// it. When the home has ended, the platform's record of the ended incarnation
// names the successors.
package jkroute

import (
	"context"
	"errors"
	"strings"
	"time"

	"golang.org/x/sync/singleflight"

	"jasmineknot.example/core/jkgossip"
	"jasmineknot.example/core/jkhome"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jktoken"
	"jasmineknot.example/core/jkwire"
)

const (
	// maxHops bounds the forwards of one call, so that hosts that disagree
	// can't pass it around for ever.
	maxHops = 4
	// maxChain bounds the ended incarnations followed for one call.
	maxChain = 8
	// patience is how long an entry host tries to reach a program's home. It
	// covers a short restart; a caller comes back after a longer failure.
	patience = 3 * time.Second
	// retryInterval is the pause between two tries.
	retryInterval = 100 * time.Millisecond
)

// Options holds what a router needs.
type Options struct {
	Timer    *jktimer.Service
	Log      jklog.Logger
	Keys     *jktoken.Keyring
	Platform *jkplatform.Client
	Gossip   *jkgossip.Service
	Home     *jkhome.Home
	Pool     *jkwire.Pool
}

// Router is the entry part of one host.
type Router struct {
	options Options
	ended   *endedTable
	adopt   singleflight.Group
}

// New returns a router.
func New(o Options) *Router {
	return &Router{options: o, ended: newEndedTable(o)}
}

// target is where a program runs.
type target struct {
	local bool
	host  jkmember.Host
	// hops is the number of ended incarnations between the token's home and
	// this one. Each may have raised the program's epoch.
	hops uint64
}

// Call sends a call to its program's home and passes the answer on. It tries
// again after a failure on the way, which is safe: the home recognises the
// request by its token and id.
func (r *Router) Call(ctx context.Context, m jkmsg.Call, emit func(text string) error) jkmsg.CallResult {
	claims, problem := r.claims(m.Token)
	if problem != nil {
		return refused(m.Program, problem)
	}
	if claims != nil {
		if m.Program != "" && m.Program != claims.Program {
			return refused(m.Program, jkproblem.Newf(jkproblem.TypeInvalidToken, "the token belongs to program %s", claims.Program).WithField("X-Program-Token"))
		}
		m.Program = claims.Program
	}
	if m.Hops >= maxHops {
		return refused(m.Program, jkproblem.New(jkproblem.TypeUnavailable, "the hosts disagree on the program's home").WithRetryAfter(time.Second))
	}
	m.Hops++
	out := &stream{emit: emit}
	hint := jktoken.Incarnation{}
	give := r.options.Timer.Now().Add(patience)
	for {
		result, again := r.try(ctx, m, claims, hint, out)
		if !again {
			return result
		}
		hint = result.Moved
		if r.options.Timer.Now().After(give) || !r.options.Timer.Wait(retryInterval, ctx.Done()) {
			return result
		}
	}
}

// claims verifies a token; an empty one has no claims.
func (r *Router) claims(token string) (*jktoken.Claims, *jkproblem.Problem) {
	if token == "" {
		return nil, nil
	}
	c, err := r.options.Keys.Verify(token)
	if err == nil {
		return &c, nil
	}
	p := jkproblem.From(err)
	var invalid *jktoken.InvalidError
	if errors.As(err, &invalid) && invalid.Reason == jktoken.ReasonUnknownKey {
		// The key may have been removed after the request's first try ran.
		p = p.WithOutcome(jkprogram.OutcomeUnknown)
	}
	return nil, p
}

// try sends a call once. Again tells that another try may have more success;
// the result then says why this one had none.
func (r *Router) try(ctx context.Context, m jkmsg.Call, claims *jktoken.Claims, hint jktoken.Incarnation, out *stream) (result jkmsg.CallResult, again bool) {
	t, err := r.resolve(ctx, m.Program, claims, hint)
	if err != nil {
		p := jkproblem.From(err)
		return refused(m.Program, p), p.Type == jkproblem.TypeUnavailable
	}
	out.restart()
	if !t.local {
		return r.forward(ctx, t.host, m, out)
	}
	if err := r.own(ctx, m.Program, claims, t.hops); err != nil {
		p := jkproblem.From(err)
		return refused(m.Program, p), p.Type == jkproblem.TypeUnavailable
	}
	result = r.options.Home.Call(ctx, m, claims, out.take)
	return r.judge(ctx, result, out)
}

// judge decides whether a result calls for another try.
func (r *Router) judge(ctx context.Context, result jkmsg.CallResult, out *stream) (jkmsg.CallResult, bool) {
	if out.err != nil {
		return refused(result.Program, jkproblem.New(jkproblem.TypeStreamBroken, out.err.Error())), false
	}
	if !result.Moved.IsZero() {
		result.Problem = jkproblem.New(jkproblem.TypeMoved, "the program is moving to another home")
		result.Outcome = jkprogram.OutcomeUnknown
		result.Status = result.Problem.Status
		return result, true
	}
	moved := result.Problem != nil && result.Problem.Type == jkproblem.TypeMoved
	return result, moved && ctx.Err() == nil
}

func (r *Router) forward(ctx context.Context, to jkmember.Host, m jkmsg.Call, out *stream) (jkmsg.CallResult, bool) {
	s, err := r.options.Pool.Open(ctx, to.Addr, jkmsg.TypeCall, &m)
	if err != nil {
		return r.lost(ctx, m, to, err)
	}
	defer s.Close()
	for {
		message, err := s.Receive(ctx)
		if err != nil {
			return r.lost(ctx, m, to, err)
		}
		if !message.Last {
			var c jkmsg.CallChunk
			if err := message.Decode(&c); err != nil {
				return refused(m.Program, jkproblem.From(err)), false
			}
			if err := out.take(c.Text); err != nil {
				return refused(m.Program, jkproblem.New(jkproblem.TypeStreamBroken, err.Error())), false
			}
			continue
		}
		var result jkmsg.CallResult
		if err := message.Decode(&result); err != nil {
			return refused(m.Program, jkproblem.From(err)), false
		}
		return r.judge(ctx, result, out)
	}
}

// lost answers a call whose way to the home broke. Only the home may say that
// it did not run.
func (r *Router) lost(ctx context.Context, m jkmsg.Call, to jkmember.Host, err error) (jkmsg.CallResult, bool) {
	if ctx.Err() != nil {
		return refused(m.Program, jkproblem.New(jkproblem.TypeDeadline, "the deadline passed while the program's home was asked")), false
	}
	p := jkproblem.Newf(jkproblem.TypeUnavailable, "host %s can't be reached: %v", to.Incarnation.Host, err).WithRetryAfter(time.Second)
	return refused(m.Program, p), true
}

// resolve finds the host that runs a program.
func (r *Router) resolve(ctx context.Context, program string, claims *jktoken.Claims, hint jktoken.Incarnation) (target, error) {
	home, ok := jkhome.FirstHome(program)
	if !ok {
		return target{}, jkproblem.Newf(jkproblem.TypeBadRequest, "program id is %q, allowed: an id that this system gave out", program).WithField("X-Program-Id")
	}
	if claims != nil {
		home = claims.Home
	}
	if !hint.IsZero() {
		home = hint
	}
	self := r.options.Home.Self()
	for hops := range maxChain {
		if home == self {
			return target{local: true, hops: uint64(hops)}, nil
		}
		host, ended, known := r.locate(home)
		if known && !ended {
			return target{host: host}, nil
		}
		next, err := r.ended.successor(ctx, program, home, host)
		if err != nil {
			return target{}, err
		}
		home = next
	}
	return target{}, jkproblem.New(jkproblem.TypeUnavailable, "the program has changed its home too often").WithRetryAfter(time.Second)
}

// locate returns the host of an incarnation. Ended is set if the incarnation is
// known to be over or can't be reached at present.
func (r *Router) locate(i jktoken.Incarnation) (host jkmember.Host, ended, known bool) {
	if r.ended.has(i) {
		return host, true, true
	}
	r.options.Gossip.Read(func(t *jkmember.Table) {
		h, status := t.Status(i.Host)
		host = h
		known = status != jkmember.StatusUnknown
		switch {
		case h.Incarnation.Start < i.Start && h.Addr != "" && (status == jkmember.StatusUp || status == jkmember.StatusUnknown):
			// The host has restarted and is not heard under its new
			// incarnation yet. It is asked at its address. Once it is down, its
			// lease decides, because the new incarnation may be gone too.
			known = true
		default:
			ended = h.Incarnation.Start != i.Start || status != jkmember.StatusUp
		}
	})
	return host, ended, known
}

// own makes sure that the program is in this home's table, taking it over from
// its copies if its former home has ended.
func (r *Router) own(ctx context.Context, program string, claims *jktoken.Claims, hops uint64) error {
	home := r.options.Home
	behind := claims != nil && home.IsBehind(program, claims.Turn)
	if home.Has(program) && !behind {
		return nil
	}
	if _, moved := home.Moved(program); moved {
		return nil
	}
	first, _ := jkhome.FirstHome(program)
	epoch := max(1, hops)
	var copies []string
	if claims != nil {
		first = claims.Home
		epoch = claims.Epoch + max(1, hops)
		copies = claims.Copies
	}
	if first == home.Self() {
		return &jkprogram.UnknownProgramError{Program: program}
	}
	_, err, _ := r.adopt.Do(program, func() (any, error) {
		if home.Has(program) && !behind {
			return nil, nil
		}
		return nil, home.Adopt(context.WithoutCancel(ctx), program, first, copies, epoch)
	})
	if behind {
		// Without the former home the call is answered from what is held here.
		return nil
	}
	return err
}

// Notice takes note of an incarnation that has stopped by plan.
func (r *Router) Notice(n jkmsg.EndedNotice) { r.ended.put(n.Incarnation, n.Successors) }

// Declare records an ended incarnation in the platform and returns the
// successors that the record names: those of its first writer.
func (r *Router) Declare(ctx context.Context, i jktoken.Incarnation, successors []jktoken.Incarnation) ([]jktoken.Incarnation, error) {
	return r.ended.create(ctx, i, successors)
}

// IsEnded asks the platform whether an incarnation was declared ended.
func (r *Router) IsEnded(ctx context.Context, i jktoken.Incarnation) (bool, error) {
	_, found, err := r.ended.lookUp(ctx, i)
	return found, err
}

func refused(program string, p *jkproblem.Problem) jkmsg.CallResult {
	return jkmsg.CallResult{Outcome: p.Outcome, Status: p.Status, Program: program, Problem: p}
}

// stream passes text on exactly once although several tries may repeat its
// start.
type stream struct {
	emit func(text string) error
	sent strings.Builder
	// position is how much of this try's text has been seen.
	position int
	err      error
}

func (s *stream) restart() { s.position = 0 }

// take accepts the next piece of a try. What was passed on before is compared
// and dropped.
func (s *stream) take(text string) error {
	if s.err != nil {
		return s.err
	}
	sent := s.sent.String()
	overlap := min(len(text), len(sent)-s.position)
	if text[:overlap] != sent[s.position:s.position+overlap] {
		s.err = errDiverged
		return s.err
	}
	s.position += len(text)
	rest := text[overlap:]
	if rest == "" {
		return nil
	}
	s.sent.WriteString(rest)
	s.err = s.emit(rest)
	return s.err
}

var errDiverged = errors.New("the answer differs from the part already sent; ask again for the whole answer")
