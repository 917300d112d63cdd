package jkhome

import (
	"context"
	"slices"

	"jasmineknot.example/core/jkprogram"
)

// recordPosition is the position of a record in a program's history.
type recordPosition struct {
	epoch, seq uint64
}

func (p recordPosition) isAfter(o recordPosition) bool {
	return p.epoch > o.epoch || (p.epoch == o.epoch && p.seq > o.seq)
}

// missedRecords holds, by host and program, the newest record that a copy failed to
// store.
type missedRecords map[string]map[string]recordPosition

// record updates the entry of a host after an append to its copy. A stored record clears
// older missed ones, because a copy stores it only if its history is complete up to it.
func (m missedRecords) record(host string, r jkprogram.Record, stored bool) {
	p := recordPosition{epoch: r.Epoch, seq: r.Seq}
	missed, behind := m[host][r.Program]
	switch {
	case stored && behind && !missed.isAfter(p):
		delete(m[host], r.Program)
	case !stored && !behind && m[host] == nil:
		m[host] = map[string]recordPosition{r.Program: p}
	case !stored && (!behind || p.isAfter(missed)):
		m[host][r.Program] = p
	}
}

// prune deletes the entries of programs that have no copy at the host any more.
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

// pruneMissed deletes the missed records of programs that have ended or moved.
func (h *Home) pruneMissed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.missed.prune(func(host, program string) bool {
		info, ok := h.core.Info(program)
		return ok && info.End == "" && !h.core.IsSuperseded(program) && slices.Contains(info.Copies, host)
	})
}

// repairCopies brings the copies at a host that missed records up to date, so that a
// program without calls does not stay under-replicated. It stops at the first copy that
// still stores nothing.
func (h *Home) repairCopies(ctx context.Context, host string, programs []string) {
	for _, id := range programs {
		if !h.needsRepair(host, id) {
			continue
		}
		h.confirmCopies(ctx, []string{id})
		if h.needsRepair(host, id) {
			return
		}
	}
}

// needsRepair reports whether a copy must be brought up to date. A program that was
// taken over and has not run since is excluded: the copy at its former home may hold
// turns that this home lacks, and a repair would overwrite them.
func (h *Home) needsRepair(host, program string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, behind := h.missed[host][program]
	return behind && !h.core.IsUnusedSinceAdoption(program)
}
