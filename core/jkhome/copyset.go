package jkhome

import (
	"context"
	"slices"
	"time"

	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
)

// copyHost is what a home knows of a host that holds copies for it.
type copyHost struct {
	// confirmed is the incarnation whose copies were last brought up to date.
	confirmed jktoken.Incarnation
	silent    time.Time
}

// KeepCopies brings the copies at a restarted host and those that missed records
// up to date, and replaces the copies at a host that stays silent.
func (h *Home) KeepCopies(ctx context.Context) {
	h.pruneMissed()
	for host, programs := range h.byCopyHost() {
		incarnation, up := h.options.Transport.HostState(host)
		c := h.copyHost(host, incarnation, up)
		switch {
		case up && incarnation != c.confirmed:
			h.confirm(ctx, programs)
			h.setConfirmed(host, incarnation)
		case up:
			h.repair(ctx, host, programs)
		case h.options.Timer.Now().Sub(c.silent) > h.options.CopyGrace:
			h.replaceCopies(ctx, host, c.confirmed, programs)
		}
	}
}

// byCopyHost lists the live programs by the hosts of their copies.
func (h *Home) byCopyHost() map[string][]string {
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

// copyHost returns the row of a host and notes since when it is silent. A host
// seen for the first time has taken its copies under its present incarnation.
func (h *Home) copyHost(host string, incarnation jktoken.Incarnation, up bool) copyHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.copyHosts[host]
	if !known {
		c = &copyHost{confirmed: incarnation}
		h.copyHosts[host] = c
	}
	switch {
	case up:
		c.silent = time.Time{}
	case c.silent.IsZero():
		c.silent = h.options.Timer.Now()
	}
	return *c
}

func (h *Home) setConfirmed(host string, i jktoken.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copyHosts[host].confirmed = i
}

// confirm writes a record to the copies of programs. A copy that missed records
// gets the whole state; one that is complete is certain again.
func (h *Home) confirm(ctx context.Context, programs []string) {
	for _, id := range programs {
		h.mu.Lock()
		record, ok := h.core.Touch(id)
		h.mu.Unlock()
		if ok && ctx.Err() == nil {
			h.appendAll(ctx, record)
		}
	}
}

// replaceCopies gives programs another copy in place of the one at a silent
// host. The platform's record makes sure that the silent host's copies are not
// believed if it comes back.
func (h *Home) replaceCopies(ctx context.Context, host string, i jktoken.Incarnation, programs []string) {
	left, err := h.options.Transport.LeaveCopySet(ctx, i)
	if err != nil || !left {
		return
	}
	for _, id := range programs {
		h.replaceCopy(ctx, host, id)
	}
	h.options.Log.Warn("copies replaced", "host", host, "programs", len(programs))
}

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
