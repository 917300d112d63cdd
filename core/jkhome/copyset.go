package jkhome

import (
	"context"
	"slices"
	"time"

	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
)

// copyHost is what a home knows about a host that holds copies of its programs.
type copyHost struct {
	// confirmed is the incarnation whose copies were last brought up to date.
	confirmed jktoken.Incarnation
	// unreachableSince is zero while the host is up.
	unreachableSince time.Time
}

// MaintainCopies brings the copies at a restarted host and copies that missed records up to
// date, and replaces the copies at a host that has been unreachable for longer than
// Options.CopyGrace. It is called periodically.
func (h *Home) MaintainCopies(ctx context.Context) {
	h.pruneMissed()
	for host, programs := range h.programsByCopyHost() {
		incarnation, up := h.options.Transport.HostState(host)
		c := h.updateCopyHost(host, incarnation, up)
		switch {
		case up && incarnation != c.confirmed:
			h.confirmCopies(ctx, programs)
			h.setConfirmed(host, incarnation)
		case up:
			h.repairCopies(ctx, host, programs)
		case h.options.Timer.Now().Sub(c.unreachableSince) > h.options.CopyGrace:
			h.replaceCopies(ctx, host, c.confirmed, programs)
		}
	}
}

// programsByCopyHost returns the programs that have not ended, by the hosts of their
// copies.
func (h *Home) programsByCopyHost() map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := map[string][]string{}
	for _, id := range h.core.IDs() {
		info, ok := h.core.Info(id)
		if !ok || info.End != "" {
			continue
		}
		for _, host := range info.Copies {
			hosts[host] = append(hosts[host], id)
		}
	}
	return hosts
}

// updateCopyHost updates since when a host is unreachable and returns its entry. The
// copies at a host without an entry were written under its current incarnation.
func (h *Home) updateCopyHost(host string, incarnation jktoken.Incarnation, up bool) copyHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.copyHosts[host]
	if !known {
		c = &copyHost{confirmed: incarnation}
		h.copyHosts[host] = c
	}
	switch {
	case up:
		c.unreachableSince = time.Time{}
	case c.unreachableSince.IsZero():
		c.unreachableSince = h.options.Timer.Now()
	}
	return *c
}

func (h *Home) setConfirmed(host string, i jktoken.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copyHosts[host].confirmed = i
}

// confirmCopies writes a record without a change to the copies of programs. A copy that
// missed records gets a snapshot; one that is complete becomes certain again. A program that was
// taken over and has not run since is excluded, as from repairs (see needsRepair).
func (h *Home) confirmCopies(ctx context.Context, programs []string) {
	for _, id := range programs {
		h.mu.Lock()
		record, ok := h.core.NoOp(id)
		ok = ok && !h.core.IsUnusedSinceAdoption(id)
		h.mu.Unlock()
		if ok && ctx.Err() == nil {
			h.appendAll(ctx, record)
		}
	}
}

// replaceCopies replaces the copies of programs at an unreachable host by copies at other
// hosts. The record in the platform ensures that the old copies are not used if the host
// comes back.
func (h *Home) replaceCopies(ctx context.Context, host string, i jktoken.Incarnation, programs []string) {
	left, err := h.options.Transport.RemoveCopyHost(ctx, i)
	if err != nil || !left {
		return
	}
	for _, id := range programs {
		h.replaceCopy(ctx, host, id)
	}
	h.options.Log.Warn("copies at unreachable host replaced", "host", host, "programs", len(programs))
}

// replaceCopy replaces one program's copy at a host, if another host is available, and
// writes the new set to the copies.
func (h *Home) replaceCopy(ctx context.Context, host, id string) {
	h.mu.Lock()
	info, ok := h.core.Info(id)
	if !ok || !slices.Contains(info.Copies, host) {
		h.mu.Unlock()
		return
	}
	copies := slices.DeleteFunc(slices.Clone(info.Copies), func(c string) bool { return c == host })
	for _, c := range h.options.Transport.ChooseCopies(id) {
		if len(copies) < len(info.Copies) && c != host && !slices.Contains(copies, c) {
			copies = append(copies, c)
		}
	}
	var record jkprogram.Record
	record, ok = h.core.SetCopies(id, copies)
	h.mu.Unlock()
	if ok {
		h.appendTo(ctx, copies, record)
	}
}
