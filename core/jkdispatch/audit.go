package jkdispatch

import (
	"context"
	"time"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktoken"
)

// auditTimeout bounds one request for an engine's state.
const auditTimeout = 2 * time.Second

// inheritedCacheHold is how long an unused cache is kept that a former dispatcher has
// left behind, because the program's limits are not known here. The program's next call
// is likely to come sooner; if it comes later, one prompt is computed again.
const inheritedCacheHold = 4 * time.Second

// AuditCaches reads from every engine of this host which programs it holds caches for,
// and releases those that were not used for the idle hold. It finds caches whose home
// has died, and caches whose use only a former dispatcher had recorded.
func (d *Dispatcher) AuditCaches() {
	d.mu.Lock()
	addrs := map[string]string{}
	for id, addr := range d.addrs {
		if d.isEngine[id] {
			addrs[id] = addr
		}
	}
	d.mu.Unlock()
	for _, addr := range addrs {
		ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
		state, err := d.options.Client.State(ctx, addr)
		cancel()
		if err != nil {
			continue
		}
		d.auditEngine(addr, state.HeldTokens)
	}
}

// auditEngine compares the caches that an engine holds with the uses recorded by this
// dispatcher, and releases those that are idle for too long or whose program has ended.
func (d *Dispatcher) auditEngine(addr string, held map[string]int) {
	now := d.options.Timer.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for r := range d.cacheUses {
		if _, ok := held[r.program]; r.addr == addr && !ok {
			delete(d.cacheUses, r)
		}
	}
	for program := range held {
		r := cacheKey{program: program, addr: addr}
		u, known := d.cacheUses[r]
		switch {
		case !known:
			d.cacheUses[r] = cacheUse{lastUsed: now, maxIdle: min(inheritedCacheHold, d.options.Queue.IdleHold)}
		case now.Sub(u.lastUsed) > u.maxIdle || (!u.programEnd.IsZero() && now.After(u.programEnd)):
			d.startReleaseOf(r)
		}
	}
}

// recordUse records that a program has run at an engine. The caller holds the lock.
func (d *Dispatcher) recordUse(m jkmsg.Dispatch, addr string) {
	if m.Call.Kind != jksched.KindModel {
		return
	}
	u := cacheUse{home: m.Home, lastUsed: d.options.Timer.Now(), maxIdle: d.options.Queue.IdleHold, programEnd: m.ProgramEnd}
	if m.IdleLimit > 0 {
		u.maxIdle = min(u.maxIdle, m.IdleLimit)
	}
	d.cacheUses[cacheKey{program: m.Call.Program, addr: addr}] = u
}

// cacheUse is the last recorded use of a program's cache at one engine.
type cacheUse struct {
	home     jktoken.Incarnation
	lastUsed time.Time
	// maxIdle is how long the cache is kept without a call; programEnd is the time by
	// which the program has ended in any case, zero for none.
	maxIdle    time.Duration
	programEnd time.Time
}
