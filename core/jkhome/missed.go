package jkhome

import (
	"context"
	"slices"

	"jasmineknot.example/core/jkprogram"
)

// position is the place of a record in a program's history.
type position struct {
	epoch, seq uint64
}

func (p position) isAfter(o position) bool {
	return p.epoch > o.epoch || (p.epoch == o.epoch && p.seq > o.seq)
}

// missedRecords holds, by host and program, the newest record that a copy did not
// take.
type missedRecords map[string]map[string]position

// note keeps whether a host took a record. A record that was taken makes up for
// older ones.
func (m missedRecords) note(host string, r jkprogram.Record, stored bool) {
	p := position{epoch: r.Epoch, seq: r.Seq}
	missed, behind := m[host][r.Program]
	switch {
	case stored && behind && !missed.isAfter(p):
		delete(m[host], r.Program)
	case !stored && !behind && m[host] == nil:
		m[host] = map[string]position{r.Program: p}
	case !stored && (!behind || p.isAfter(missed)):
		m[host][r.Program] = p
	}
}

// prune forgets the rows of programs that have no copy at a host any more.
func (m missedRecords) prune(has func(host, program string) bool) {
	for host, rows := range m {
		for id := range rows {
			if !has(host, id) {
				delete(rows, id)
			}
		}
		if len(rows) == 0 {
			delete(m, host)
		}
	}
}

// pruneMissed forgets missed records of programs that end or go on elsewhere.
func (h *Home) pruneMissed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.missed.prune(func(host, program string) bool {
		info, ok := h.core.Info(program)
		return ok && info.End == "" && !h.core.IsSuperseded(program) && slices.Contains(info.Copies, host)
	})
}

// repair writes to the copies at a host that missed records, so that a program
// without calls does not stay with fewer copies than it should have. It stops at
// the first copy that still takes nothing.
func (h *Home) repair(ctx context.Context, host string, programs []string) {
	for _, id := range programs {
		if !h.isMissing(host, id) {
			continue
		}
		h.confirm(ctx, []string{id})
		if h.isMissing(host, id) {
			return
		}
	}
}

// isMissing reports whether a copy is to be brought up to date. A program that was
// taken over and has not run since is left alone: its former home's copy may hold
// turns that this home still lacks.
func (h *Home) isMissing(host, program string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, behind := h.missed[host][program]
	return behind && !h.core.IsUntouched(program)
}
