// Package jkroute finds the home of a program from its token and forwards calls to
// it, with retries. When the home has ended, the platform's record of the ended
// incarnation names its successors. The package neither runs calls nor stores the
// state of programs; jkhome does.
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
	// maxHops bounds how often one call is forwarded. Without it, hosts that
	// disagree on the program's home could forward it to each other for ever.
	maxHops = 4
	// maxSuccessorHops bounds the ended incarnations that are followed to find a
	// program's home.
	maxSuccessorHops = 8
	// homeRetryWindow is how long an entry host retries to reach a program's home.
	// It covers a short restart; after a longer failure the caller has to retry.
	homeRetryWindow = 3 * time.Second
	// retryInterval is the pause between two attempts.
	retryInterval = 100 * time.Millisecond
)

// Options holds the services that a router uses.
type Options struct {
	Timer    *jktimer.Service
	Log      jklog.Logger
	Keys     *jktoken.Keyring
	Platform *jkplatform.Client
	Gossip   *jkgossip.Service
	Home     *jkhome.Home
	Pool     *jkwire.Pool
}

// Router forwards the calls that enter at one host to the homes of their programs.
type Router struct {
	options   Options
	ended     *endedTable
	adoptions singleflight.Group
}

// New returns a router.
func New(o Options) *Router {
	return &Router{options: o, ended: newEndedTable(o)}
}

// target is the host that runs a program.
type target struct {
	local bool
	host  jkmember.Host
	// hops is the number of ended incarnations between the token's home and the
	// target. Each takeover may have raised the program's epoch.
	hops uint64
}

// Call forwards a call to its program's home and relays the answer. It retries
// after a failure on the way, which is safe because the home recognises a repeated
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
	out := &replayedStream{emit: emit}
	hint := jktoken.Incarnation{}
	retryUntil := r.options.Timer.Now().Add(homeRetryWindow)
	for {
		result, retry := r.attemptCall(ctx, m, claims, hint, out)
		if !retry {
			return result
		}
		hint = result.Moved
		if r.options.Timer.Now().After(retryUntil) || !r.options.Timer.Wait(retryInterval, ctx.Done()) {
			return result
		}
	}
}

// claims verifies a token and returns its claims, nil for an empty token.
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
		// The key may have been removed after the request's first attempt ran.
		p = p.WithOutcome(jkprogram.OutcomeUnknown)
	}
	return nil, p
}

// attemptCall sends a call once. Retry is true if another attempt may succeed; the
// result then holds the reason why this one failed.
func (r *Router) attemptCall(ctx context.Context, m jkmsg.Call, claims *jktoken.Claims, hint jktoken.Incarnation, out *replayedStream) (result jkmsg.CallResult, retry bool) {
	t, err := r.resolve(ctx, m.Program, claims, hint)
	if err != nil {
		p := jkproblem.From(err)
		return refused(m.Program, p), p.Type == jkproblem.TypeUnavailable
	}
	out.restart()
	if !t.local {
		return r.forward(ctx, t.host, m, out)
	}
	if err := r.ensureAdopted(ctx, m.Program, claims, t.hops); err != nil {
		p := jkproblem.From(err)
		return refused(m.Program, p), p.Type == jkproblem.TypeUnavailable
	}
	result = r.options.Home.Call(ctx, m, claims, out.write)
	return r.checkResult(ctx, result, out)
}

// checkResult returns the result of an attempt and whether to retry: only if the
// program has moved.
func (r *Router) checkResult(ctx context.Context, result jkmsg.CallResult, out *replayedStream) (jkmsg.CallResult, bool) {
	if out.err != nil {
		return refused(result.Program, jkproblem.New(jkproblem.TypeStreamBroken, out.err.Error())), false
	}
	if !result.Moved.IsZero() {
		result.Problem = jkproblem.New(jkproblem.TypeProgramMoved, "the program is moving to another home")
		result.Outcome = jkprogram.OutcomeUnknown
		result.Status = result.Problem.Status
		return result, true
	}
	moved := result.Problem != nil && result.Problem.Type == jkproblem.TypeProgramMoved
	return result, moved && ctx.Err() == nil
}

// forward sends a call to another host and relays the text of its answer.
func (r *Router) forward(ctx context.Context, to jkmember.Host, m jkmsg.Call, out *replayedStream) (jkmsg.CallResult, bool) {
	s, err := r.options.Pool.Open(ctx, to.Addr, jkmsg.TypeCall, &m)
	if err != nil {
		return r.forwardFailed(ctx, m, to, err)
	}
	defer s.Close()
	for {
		message, err := s.Receive(ctx)
		if err != nil {
			return r.forwardFailed(ctx, m, to, err)
		}
		if !message.Last {
			var c jkmsg.CallChunk
			if err := message.Decode(&c); err != nil {
				return refused(m.Program, jkproblem.From(err)), false
			}
			if err := out.write(c.Text); err != nil {
				return refused(m.Program, jkproblem.New(jkproblem.TypeStreamBroken, err.Error())), false
			}
			continue
		}
		var result jkmsg.CallResult
		if err := message.Decode(&result); err != nil {
			return refused(m.Program, jkproblem.From(err)), false
		}
		return r.checkResult(ctx, result, out)
	}
}

// forwardFailed returns the result of a call whose connection to the home failed.
// The outcome is not "not run", because only the home knows that.
func (r *Router) forwardFailed(ctx context.Context, m jkmsg.Call, to jkmember.Host, err error) (jkmsg.CallResult, bool) {
	if ctx.Err() != nil {
		return refused(m.Program, jkproblem.New(jkproblem.TypeDeadlineExceeded, "the deadline passed while the program's home was asked")), false
	}
	p := jkproblem.Newf(jkproblem.TypeUnavailable, "host %s can't be reached: %v", to.Incarnation.Host, err).WithRetryAfter(time.Second)
	return refused(m.Program, p), true
}

// resolve finds the host that runs a program. It starts at the home in hint, in the
// token or in the program's id, in this order, and follows successors.
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
	for hops := range maxSuccessorHops {
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

// locate returns the host of an incarnation. Ended is true if the incarnation is
// known to have ended or can't be reached at present.
func (r *Router) locate(i jktoken.Incarnation) (host jkmember.Host, ended, known bool) {
	if r.ended.has(i) {
		return host, true, true
	}
	r.options.Gossip.WithTable(func(t *jkmember.Table) {
		h, status := t.Status(i.Host)
		host = h
		known = status != jkmember.StatusUnknown
		switch {
		case h.Incarnation.Start < i.Start && h.Addr != "" && (status == jkmember.StatusUp || status == jkmember.StatusUnknown):
			// The host has restarted, but no heartbeat of its new incarnation has
			// arrived yet, so the call goes to its known address. Once the host is
			// down its lease decides, because the new incarnation may have ended
			// too.
			known = true
		default:
			ended = h.Incarnation.Start != i.Start || status != jkmember.StatusUp
		}
	})
	return host, ended, known
}

// ensureAdopted makes sure that this home holds the program. It takes the program
// over from its copies if the former home has ended, or if the state held here is
// older than the token.
func (r *Router) ensureAdopted(ctx context.Context, program string, claims *jktoken.Claims, hops uint64) error {
	home := r.options.Home
	behind := claims != nil && home.IsBehind(program, claims.Turn)
	if home.HasProgram(program) && !behind {
		return nil
	}
	if _, moved := home.MovedTo(program); moved {
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
	_, err, _ := r.adoptions.Do(program, func() (any, error) {
		if home.HasProgram(program) && !behind {
			return nil, nil
		}
		return nil, home.Adopt(context.WithoutCancel(ctx), program, first, copies, epoch)
	})
	if behind {
		// The former home may be unreachable; the call is then served from the
		// state held here.
		return nil
	}
	return err
}

// RecordEnded records the successors of an incarnation that has stopped as planned.
func (r *Router) RecordEnded(n jkmsg.EndedNotice) { r.ended.put(n.Incarnation, n.Successors) }

// DeclareEnded records in the platform that an incarnation has ended, and returns the
// successors that the record names. If the record exists already they may differ
// from the given ones, because the first writer wins.
func (r *Router) DeclareEnded(ctx context.Context, i jktoken.Incarnation, successors []jktoken.Incarnation) ([]jktoken.Incarnation, error) {
	return r.ended.create(ctx, i, successors)
}

// IsEnded reports whether the platform's records declare an incarnation ended.
func (r *Router) IsEnded(ctx context.Context, i jktoken.Incarnation) (bool, error) {
	_, found, err := r.ended.lookUp(ctx, i)
	return found, err
}

func refused(program string, p *jkproblem.Problem) jkmsg.CallResult {
	return jkmsg.CallResult{Outcome: p.Outcome, Status: p.Status, Program: program, Problem: p}
}

// replayedStream passes the text of an answer on exactly once, although retries
// send its beginning again.
type replayedStream struct {
	emit func(text string) error
	sent strings.Builder
	// position is the length of the text received in the current attempt.
	position int
	err      error
}

// restart begins a new attempt.
func (s *replayedStream) restart() { s.position = 0 }

// write adds the next chunk of the current attempt. Text that was passed on before
// is compared and dropped; it returns errDiverged if the texts differ.
func (s *replayedStream) write(text string) error {
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
	unsent := text[overlap:]
	if unsent == "" {
		return nil
	}
	s.sent.WriteString(unsent)
	s.err = s.emit(unsent)
	return s.err
}

var errDiverged = errors.New("the answer differs from the part already sent; ask again for the whole answer")
