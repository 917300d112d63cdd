package jkhome

import (
	"context"
	"encoding/hex"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
)

// ProgramID returns the id of a program. It contains the home that created the program;
// see FirstHome.
func ProgramID(home jktoken.Incarnation, serial uint64, random []byte) string {
	return "p-" + home.Host + "." + strconv.FormatUint(home.Start, 36) + "." + strconv.FormatUint(serial, 36) + hex.EncodeToString(random)
}

// FirstHome parses a program id and returns the home that created the program.
func FirstHome(program string) (jktoken.Incarnation, bool) {
	rest, ok := strings.CutPrefix(program, "p-")
	if !ok {
		return jktoken.Incarnation{}, false
	}
	end := strings.LastIndexByte(rest, '.')
	if end < 0 {
		return jktoken.Incarnation{}, false
	}
	start := strings.LastIndexByte(rest[:end], '.')
	if start < 1 {
		return jktoken.Incarnation{}, false
	}
	n, err := strconv.ParseUint(rest[start+1:end], 36, 64)
	if err != nil {
		return jktoken.Incarnation{}, false
	}
	return jktoken.Incarnation{Host: rest[:start], Start: n}, true
}

// Create starts a program on this home, which for a sub-program is the home of its
// parent. The router has verified the parent's claims. A repeated request id returns
// the program that the first request created.
func (h *Home) Create(ctx context.Context, m jkmsg.Create) jkmsg.ProgramResult {
	h.mu.Lock()
	if h.draining {
		h.mu.Unlock()
		return jkmsg.ProgramResult{Problem: jkproblem.New(jkproblem.TypeUnavailable, "this host is stopping").WithOutcome(jkprogram.OutcomeNotRun)}
	}
	id, repeated := h.createdByRequest[m.RequestID]
	record, err := h.create(m, &id, repeated)
	h.mu.Unlock()
	if err != nil {
		return jkmsg.ProgramResult{Problem: jkproblem.From(err)}
	}
	if record != nil && h.appendAll(ctx, *record) != jkprogram.CopyRecorded {
		// The program is usable, but its history has too few copies until a later
		// record reaches the others.
		h.options.Log.Warn("new program not stored on all copies", "program", id)
	}
	return h.describe(id, false)
}

// create adds a program to the core and sets id to its id. It returns nil if the
// request is a repeated one. The caller holds the lock.
func (h *Home) create(m jkmsg.Create, id *string, repeated bool) (*jkprogram.Record, error) {
	if repeated {
		return nil, nil
	}
	t, ok := h.options.Rules.Template(m.Template)
	if !ok {
		return nil, jkproblem.Newf(jkproblem.TypeBadRequest, "template %q is not in the configuration", m.Template).WithField("template")
	}
	meta := jkprogram.Meta{
		Workspace: m.Workspace, Template: m.Template, Parent: m.Parent,
		Budget: t.Budget, Priority: t.Priority, Limits: t.Limits,
	}
	if m.Budget > 0 {
		if m.Budget > t.Budget {
			return nil, jkproblem.Newf(jkproblem.TypeBadRequest, "budget_tokens is %d, allowed: 1 to %d", m.Budget, t.Budget).WithField("budget_tokens")
		}
		meta.Budget = m.Budget
	}
	if m.Parent != "" {
		record, err := h.core.GrantFor(m.Parent, meta.Budget)
		if err != nil {
			return nil, err
		}
		if record != nil {
			// The lock is released while the parent's copies store the grant.
			h.mu.Unlock()
			result := h.appendAll(context.Background(), *record)
			h.mu.Lock()
			if result == jkprogram.CopyRecorded {
				h.core.ApplyGrant(*record)
			}
		}
	}
	h.lastSerial++
	var random [4]byte
	h.options.Rand.Read(random[:])
	*id = ProgramID(h.self, h.lastSerial, random[:])
	record, err := h.core.Create(h.options.Timer.Now(), jkprogram.Creation{
		Program: *id, Meta: meta, Copies: h.options.Transport.ChooseCopies(*id),
	})
	if err != nil {
		return nil, err
	}
	if len(h.createdByRequest) >= maxCreationIDs {
		h.createdByRequest = map[string]string{}
	}
	if m.RequestID != "" {
		h.createdByRequest[m.RequestID] = *id
	}
	return &record, nil
}

// describe returns a program's summary, its token unless it has ended, and on request
// its history.
func (h *Home) describe(id string, history bool) jkmsg.ProgramResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	info, ok := h.core.Info(id)
	if !ok {
		return jkmsg.ProgramResult{Problem: jkproblem.From(&jkprogram.UnknownProgramError{Program: id})}
	}
	r := jkmsg.ProgramResult{Programs: []jkprogram.Info{info}}
	claims, err := h.core.Claims(id)
	if err == nil && info.End == "" {
		r.Token = h.signToken(claims)
	}
	if history {
		s, _ := h.core.State(id)
		r.Turns = s.Turns
	}
	return r
}

// ApplyAction applies an action to a program of this home.
func (h *Home) ApplyAction(m jkmsg.Program) jkmsg.ProgramResult {
	if next, ok := h.MovedTo(m.Program); ok {
		return jkmsg.ProgramResult{Moved: next}
	}
	switch m.Action {
	case jkmsg.ActionCancel:
		h.endProgram(m.Program, jkprogram.EndCancelled)
	case jkmsg.ActionFinish:
		h.endProgram(m.Program, jkprogram.EndCompleted)
	case jkmsg.ActionList:
		return h.list(m.Workspace)
	case jkmsg.ActionExpire:
		h.expireAdopted(m.Program)
	case jkmsg.ActionShow, jkmsg.ActionResume:
	}
	return h.describe(m.Program, m.Action == jkmsg.ActionShow)
}

// expireAdopted ends a program on which no call has run since this home adopted it; the
// adoption then served only to end an orphan.
func (h *Home) expireAdopted(program string) {
	h.mu.Lock()
	unused := h.core.IsUnusedSinceAdoption(program)
	h.mu.Unlock()
	if unused {
		h.endProgram(program, jkprogram.EndIdle)
	}
}

// maxListed bounds the programs in one ActionList result.
const maxListed = 500

func (h *Home) list(workspace string) jkmsg.ProgramResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	var r jkmsg.ProgramResult
	for _, id := range h.core.IDs() {
		info, ok := h.core.Info(id)
		if !ok || (workspace != "" && info.Workspace != workspace) {
			continue
		}
		r.Programs = append(r.Programs, info)
		if len(r.Programs) == maxListed {
			break
		}
	}
	return r
}

// endProgram ends a program and its sub-programs, cancels their calls and has the
// engines' caches evicted.
func (h *Home) endProgram(id string, reason jkprogram.EndReason) {
	h.mu.Lock()
	ended, err := h.core.End(h.options.Timer.Now(), id, reason)
	type release struct {
		program   string
		endpoints []string
	}
	var releases []release
	for _, e := range ended {
		if r := h.inFlight[e.Program]; r != nil && e.WasRunning {
			r.cancel()
		}
		h.placer.ProgramEnded(e.Program)
		releases = append(releases, release{program: e.Program, endpoints: h.cacheEndpoints(e)})
	}
	h.mu.Unlock()
	if err != nil {
		return
	}
	for _, r := range releases {
		h.options.Transport.Release(r.program, r.endpoints)
	}
	for _, e := range ended {
		if h.options.OnProgramEnded != nil {
			h.options.OnProgramEnded(e)
		}
		// A copy that misses this record expires the program as an orphan later.
		go h.appendTo(context.Background(), e.Copies, e.Record)
	}
}

// cacheEndpoints returns the endpoints that may hold a program's cache: those of its
// turns and those of attempts without a recorded turn. The caller holds the lock.
func (h *Home) cacheEndpoints(e jkprogram.Ended) []string {
	endpoints := append([]string(nil), e.Endpoints...)
	for name := range h.hintsOf(e.Program).endpoints {
		if !slices.Contains(endpoints, name) {
			endpoints = append(endpoints, name)
		}
	}
	sort.Strings(endpoints)
	return endpoints
}

// transientIdleLimit is how long a transient program answers retries.
const transientIdleLimit = 10 * time.Minute

// CreateTransient starts a program without a template for a single service call and
// returns its id, which ends with suffix. Its history is kept only in this home's
// memory.
func (h *Home) CreateTransient(meta jkprogram.Meta, suffix string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSerial++
	var random [4]byte
	h.options.Rand.Read(random[:])
	id := ProgramID(h.self, h.lastSerial, random[:]) + suffix
	meta.Limits.IdleLimit = transientIdleLimit
	// If the table is full, the call fails with an unknown program when it is submitted.
	_, _ = h.core.Create(h.options.Timer.Now(), jkprogram.Creation{Program: id, Meta: meta})
	return id
}
