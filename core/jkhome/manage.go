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

// ProgramID returns the id of a program; it names the home that created it.
func ProgramID(home jktoken.Incarnation, serial uint64, random []byte) string {
	return "p-" + home.Host + "." + strconv.FormatUint(home.Start, 36) + "." + strconv.FormatUint(serial, 36) + hex.EncodeToString(random)
}

// FirstHome returns the home that created a program.
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

// Create starts a program here. For a sub-program this is the home of its
// parent, whose claims were verified.
func (h *Home) Create(ctx context.Context, m jkmsg.Create) jkmsg.ProgramResult {
	h.mu.Lock()
	if h.draining {
		h.mu.Unlock()
		return jkmsg.ProgramResult{Problem: jkproblem.New(jkproblem.TypeUnavailable, "this host is stopping").WithOutcome(jkprogram.OutcomeNotRun)}
	}
	id, repeated := h.created[m.RequestID]
	record, err := h.create(m, &id, repeated)
	h.mu.Unlock()
	if err != nil {
		return jkmsg.ProgramResult{Problem: jkproblem.From(err)}
	}
	if record != nil && h.appendAll(ctx, *record) != jkprogram.CopyRecorded {
		// The program is usable, but its history has fewer copies than it
		// should until the next record reaches them.
		h.options.Log.Warn("new program has missing copies", "program", id)
	}
	return h.describe(id, false)
}

// create adds the row. The caller holds the lock.
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
			// The lock is given up while the parent's copies record the grant.
			h.mu.Unlock()
			result := h.appendAll(context.Background(), *record)
			h.mu.Lock()
			if result == jkprogram.CopyRecorded {
				h.core.GrantRecorded(*record)
			}
		}
	}
	h.serial++
	var random [4]byte
	h.options.Rand.Read(random[:])
	*id = ProgramID(h.self, h.serial, random[:])
	record, err := h.core.Create(h.options.Timer.Now(), jkprogram.Creation{
		Program: *id, Meta: meta, Copies: h.options.Transport.ChooseCopies(*id),
	})
	if err != nil {
		return nil, err
	}
	if len(h.created) >= createdLimit {
		h.created = map[string]string{}
	}
	if m.RequestID != "" {
		h.created[m.RequestID] = *id
	}
	return &record, nil
}

// describe returns a program's summary, token and, on demand, its history.
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
		r.Token = h.token(claims)
	}
	if history {
		s, _ := h.core.State(id)
		r.Turns = s.Turns
	}
	return r
}

// Program carries out an action on a program of this home.
func (h *Home) Program(m jkmsg.Program) jkmsg.ProgramResult {
	if next, ok := h.Moved(m.Program); ok {
		return jkmsg.ProgramResult{Moved: next}
	}
	switch m.Action {
	case jkmsg.ActionCancel:
		h.end(m.Program, jkprogram.EndCancelled)
	case jkmsg.ActionFinish:
		h.end(m.Program, jkprogram.EndCompleted)
	case jkmsg.ActionList:
		return h.list(m.Workspace)
	case jkmsg.ActionExpire:
		h.expire(m.Program)
	case jkmsg.ActionShow, jkmsg.ActionResume:
	}
	return h.describe(m.Program, m.Action == jkmsg.ActionShow)
}

// expire ends a program that was adopted for nothing else.
func (h *Home) expire(program string) {
	h.mu.Lock()
	untouched := h.core.IsUntouched(program)
	h.mu.Unlock()
	if untouched {
		h.end(program, jkprogram.EndIdle)
	}
}

// listLimit bounds the programs in one list.
const listLimit = 500

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
		if len(r.Programs) == listLimit {
			break
		}
	}
	return r
}

// end ends a program with its sub-programs, cancels what runs and has the
// engines' caches released.
func (h *Home) end(id string, reason jkprogram.EndReason) {
	h.mu.Lock()
	ended, err := h.core.End(h.options.Timer.Now(), id, reason)
	type release struct {
		program   string
		endpoints []string
	}
	var releases []release
	for _, e := range ended {
		if r := h.runs[e.Program]; r != nil && e.WasRunning {
			r.cancel()
		}
		h.placer.ProgramEnded(e.Program)
		releases = append(releases, release{program: e.Program, endpoints: h.used(e)})
	}
	h.mu.Unlock()
	if err != nil {
		return
	}
	for _, r := range releases {
		h.options.Transport.Release(r.program, r.endpoints)
	}
	for _, e := range ended {
		if h.options.Ended != nil {
			h.options.Ended(e)
		}
		// A copy that misses the end forgets the program as an orphan.
		go h.appendTo(context.Background(), e.Copies, e.Record)
	}
}

// used returns the endpoints that may hold a program's cache: those of its
// history and those of attempts that were lost. The caller holds the lock.
func (h *Home) used(e jkprogram.Ended) []string {
	endpoints := append([]string(nil), e.Endpoints...)
	for name := range h.extra(e.Program).endpoints {
		if !slices.Contains(endpoints, name) {
			endpoints = append(endpoints, name)
		}
	}
	sort.Strings(endpoints)
	return endpoints
}

// transientIdle is how long a program of a single service call answers retries.
const transientIdle = 10 * time.Minute

// Transient starts a program for a single service call without template. Its
// history has copies only in the home's memory. It returns the program's id.
func (h *Home) Transient(meta jkprogram.Meta, mark string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serial++
	var random [4]byte
	h.options.Rand.Read(random[:])
	id := ProgramID(h.self, h.serial, random[:]) + mark
	meta.Limits.IdleLimit = transientIdle
	// A full table shows as an unknown program when the call is submitted.
	_, _ = h.core.Create(h.options.Timer.Now(), jkprogram.Creation{Program: id, Meta: meta})
	return id
}
