package jkroute

import (
	"context"
	"sort"
	"sync"
	"time"

	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
	"jasmineknot.example/core/jkwire"
)

// Create starts a program. A sub-program starts at its parent's home, any other
// at this host or, while it is drained, at another one.
func (r *Router) Create(ctx context.Context, m jkmsg.Create) jkmsg.ProgramResult {
	if m.ParentToken == "" {
		if result, ok := r.createAtOtherHost(ctx, m); ok {
			return result
		}
		return r.options.Home.Create(ctx, m)
	}
	claims, problem := r.claims(m.ParentToken)
	if problem != nil {
		return jkmsg.ProgramResult{Problem: problem.WithField("parent_token")}
	}
	m.Parent = claims.Program
	if m.Workspace == "" {
		m.Workspace = claims.Workspace
	}
	if m.Workspace != claims.Workspace {
		return jkmsg.ProgramResult{Problem: jkproblem.Newf(jkproblem.TypeBadRequest, "workspace is %q, allowed: the parent's workspace %q", m.Workspace, claims.Workspace).WithField("workspace")}
	}
	return r.runAtHome(ctx, m.Parent, claims, m.Hops, jkmsg.TypeCreate,
		func(hops int) any { m.Hops = hops; return &m },
		func() jkmsg.ProgramResult { return r.options.Home.Create(ctx, m) })
}

// createAtOtherHost starts a program at another host if the configuration drains
// this one. It reports false if the program may start here. That includes the case
// that no other host responds, so that a zone that is cut off continues to serve.
func (r *Router) createAtOtherHost(ctx context.Context, m jkmsg.Create) (jkmsg.ProgramResult, bool) {
	if m.Hops > 0 {
		return jkmsg.ProgramResult{}, false
	}
	for _, h := range r.drainTargets() {
		m.Hops = 1
		call, cancel := context.WithTimeout(ctx, listTimeout)
		var result jkmsg.ProgramResult
		err := r.options.Pool.Call(call, h.Addr, jkmsg.TypeCreate, &m, &result)
		cancel()
		if err == nil {
			return result, true
		}
	}
	return jkmsg.ProgramResult{}, false
}

// drainTargets returns the hosts to start programs at instead of this one, none if
// this host is not drained.
func (r *Router) drainTargets() []jkmember.Host {
	var hosts []jkmember.Host
	self := r.options.Home.Self()
	r.options.Gossip.WithTable(func(t *jkmember.Table) {
		if !t.IsDrained(self.Host) {
			return
		}
		for _, i := range t.Successors(self, t.Self().Zone) {
			h, _ := t.Status(i.Host)
			hosts = append(hosts, h)
		}
	})
	return hosts
}

// Program runs an action on a program at its home; a list is collected from all
// hosts.
func (r *Router) Program(ctx context.Context, m jkmsg.Program) jkmsg.ProgramResult {
	if m.Action == jkmsg.ActionList {
		return r.list(ctx, m)
	}
	claims, problem := r.claims(m.Token)
	if problem != nil {
		return jkmsg.ProgramResult{Problem: problem}
	}
	if claims != nil && claims.Program != m.Program {
		return jkmsg.ProgramResult{Problem: jkproblem.New(jkproblem.TypeInvalidToken, "the token belongs to another program").WithField("X-Program-Token")}
	}
	return r.runAtHome(ctx, m.Program, claims, m.Hops, jkmsg.TypeProgram,
		func(hops int) any { m.Hops = hops; return &m },
		func() jkmsg.ProgramResult { return r.options.Home.ApplyAction(m) })
}

// runAtHome runs a request at the home of a program, locally or by a message to its
// host, and retries while the home can't be reached or the program moves.
func (r *Router) runAtHome(ctx context.Context, program string, claims *jktoken.Claims, hops int, messageType string, message func(hops int) any, local func() jkmsg.ProgramResult) jkmsg.ProgramResult {
	if hops >= maxHops {
		return jkmsg.ProgramResult{Problem: jkproblem.New(jkproblem.TypeUnavailable, "the hosts disagree on the program's home")}
	}
	hint := jktoken.Incarnation{}
	retryUntil := r.options.Timer.Now().Add(homeRetryWindow)
	for {
		result := r.attemptAtHome(ctx, program, claims, hint, messageType, message(hops+1), local)
		retry := !result.Moved.IsZero() || (result.Problem != nil && (result.Problem.Type == jkproblem.TypeUnavailable || result.Problem.Type == jkproblem.TypeProgramMoved))
		if !retry {
			return result
		}
		hint = result.Moved
		if r.options.Timer.Now().After(retryUntil) || !r.options.Timer.Wait(retryInterval, ctx.Done()) {
			if result.Problem == nil {
				result.Problem = jkproblem.New(jkproblem.TypeProgramMoved, "the program is moving to another home").WithRetryAfter(time.Second)
			}
			return result
		}
	}
}

// attemptAtHome runs the request of runAtHome once.
func (r *Router) attemptAtHome(ctx context.Context, program string, claims *jktoken.Claims, hint jktoken.Incarnation, messageType string, message any, local func() jkmsg.ProgramResult) jkmsg.ProgramResult {
	t, err := r.resolve(ctx, program, claims, hint)
	if err != nil {
		return jkmsg.ProgramResult{Problem: jkproblem.From(err)}
	}
	if t.local {
		if err := r.ensureAdopted(ctx, program, claims, t.hops); err != nil {
			return jkmsg.ProgramResult{Problem: jkproblem.From(err)}
		}
		return local()
	}
	var result jkmsg.ProgramResult
	if err := r.options.Pool.Call(ctx, t.host.Addr, messageType, message, &result); err != nil {
		return jkmsg.ProgramResult{Problem: jkproblem.Newf(jkproblem.TypeUnavailable, "host %s can't be reached: %v", t.host.Incarnation.Host, err).WithRetryAfter(time.Second)}
	}
	return result
}

// listTimeout bounds one request to another host: for its part of a list, or to
// start a program there.
const listTimeout = 2 * time.Second

// list collects the programs of all hosts that respond in time; a request that was
// forwarded by another host gets only those of this one.
func (r *Router) list(ctx context.Context, m jkmsg.Program) jkmsg.ProgramResult {
	result := r.options.Home.ApplyAction(m)
	if m.Hops > 0 {
		return result
	}
	m.Hops = 1
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range r.otherHosts() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, listTimeout)
			defer cancel()
			var part jkmsg.ProgramResult
			if err := r.options.Pool.Call(ctx, h.Addr, jkmsg.TypeProgram, &m, &part); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			result.Programs = append(result.Programs, part.Programs...)
		}()
	}
	wg.Wait()
	sort.Slice(result.Programs, func(i, j int) bool { return result.Programs[i].Program < result.Programs[j].Program })
	return result
}

// otherHosts returns the hosts that are up, without this one.
func (r *Router) otherHosts() []jkmember.Host {
	var hosts []jkmember.Host
	self := r.options.Home.Self()
	r.options.Gossip.WithTable(func(t *jkmember.Table) {
		for _, c := range t.All() {
			if c.Status == jkmember.StatusUp && c.Host.Incarnation.Host != self.Host {
				hosts = append(hosts, c.Host)
			}
		}
	})
	return hosts
}

// Handle processes a message if its type is one of the router's, and reports
// whether it is.
func (r *Router) Handle(ctx context.Context, in *jkwire.ServerStream) bool {
	switch in.Type() {
	case jkmsg.TypeCall:
		var m jkmsg.Call
		if !decode(in, &m) {
			return true
		}
		result := r.Call(ctx, m, func(text string) error { return in.Send(&jkmsg.CallChunk{Text: text}) })
		_ = in.End(&result)
	case jkmsg.TypeCreate:
		var m jkmsg.Create
		if !decode(in, &m) {
			return true
		}
		result := r.Create(ctx, m)
		_ = in.End(&result)
	case jkmsg.TypeProgram:
		var m jkmsg.Program
		if !decode(in, &m) {
			return true
		}
		result := r.Program(ctx, m)
		_ = in.End(&result)
	case jkmsg.TypeEndedNotice:
		var m jkmsg.EndedNotice
		if !decode(in, &m) {
			return true
		}
		r.RecordEnded(m)
		_ = in.End(nil)
	case jkmsg.TypeHandover:
		r.handover(ctx, in)
	default:
		return false
	}
	return true
}

func (r *Router) handover(ctx context.Context, in *jkwire.ServerStream) {
	var m jkmsg.Handover
	if !decode(in, &m) {
		return
	}
	err := r.options.Home.AcceptHandover(context.WithoutCancel(ctx), m.State)
	if err != nil {
		r.options.Log.Error("handover of program refused", err, "program", m.State.Program)
	}
	_ = in.End(&jkmsg.HandoverResult{Accepted: err == nil})
}

func decode(in *jkwire.ServerStream, v any) bool {
	if err := in.Decode(v); err != nil {
		_ = in.Fail("bad_message", err.Error())
		return false
	}
	return true
}

// Service runs a service call that belongs to no program. A call that may not be
// repeated needs an Idempotency-Key, which binds it to a program; see
// claimKeyForCall.
func (r *Router) Service(ctx context.Context, m jkmsg.Call, repeatable bool) jkmsg.CallResult {
	if !repeatable {
		program, problem := r.claimKeyForCall(ctx, m)
		if problem != nil {
			return refused("", problem)
		}
		m.Program = program
		m.Claimed = true
		m.RequestID = claimedRequestID
		return r.Call(ctx, m, func(string) error { return nil })
	}
	id := r.options.Home.CreateTransient(jkprogram.Meta{Workspace: m.Header["X-Workspace"]}, "")
	m.Program = id
	result := r.options.Home.Call(ctx, m, nil, func(string) error { return nil })
	r.options.Home.ApplyAction(jkmsg.Program{Action: jkmsg.ActionFinish, Program: id})
	result.Program = ""
	result.Token = ""
	return result
}

// claimedRequestID is the request id of the only call of a claimed key's program.
const claimedRequestID = "claimed"
