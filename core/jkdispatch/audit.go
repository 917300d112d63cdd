package jkdispatch

import (
	"context"
	"time"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktoken"
)

// auditTimeout bounds the question for one engine's state.
const auditTimeout = 2 * time.Second

// unknownHold is the hold of a cache that a former dispatcher has left behind
// without the program's limits. The program's next call is likely to come
// sooner; if it comes later, one prompt is computed again.
const unknownHold = 4 * time.Second

// Audit asks every engine of this host which programs it holds caches for, and
// releases those that nobody has used for the idle hold. It finds caches whose
// home has died or whose former dispatcher took its knowledge along.
func (d *Dispatcher) Audit() {
	d.mu.Lock()
	addrs := map[string]string{}
	for id, addr := range d.addrs {
		if d.engines[id] {
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
		d.auditOne(addr, state.HeldTokens)
	}
}

// auditOne compares what an engine holds with what was used through here.
func (d *Dispatcher) auditOne(addr string, held map[string]int) {
	now := d.options.Timer.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for r := range d.used {
		if _, ok := held[r.program]; r.addr == addr && !ok {
			delete(d.used, r)
		}
	}
	for program := range held {
		r := release{program: program, addr: addr}
		u, known := d.used[r]
		switch {
		case !known:
			d.used[r] = use{last: now, hold: min(unknownHold, d.options.Queue.IdleHold)}
		case now.Sub(u.last) > u.hold || (!u.ends.IsZero() && now.After(u.ends)):
			d.releaseAt(r)
		}
	}
}

// noteUse records that a program has run at an engine. The caller holds the
// lock.
func (d *Dispatcher) noteUse(m jkmsg.Dispatch, addr string) {
	if m.Call.Kind != jksched.KindModel {
		return
	}
	u := use{home: m.Home, last: d.options.Timer.Now(), hold: d.options.Queue.IdleHold, ends: m.Ends}
	if m.IdleLimit > 0 {
		u.hold = min(u.hold, m.IdleLimit)
	}
	d.used[release{program: m.Call.Program, addr: addr}] = u
}

// use is what is known of a program's cache at one engine.
type use struct {
	home jktoken.Incarnation
	last time.Time
	// hold is how long the cache stays without a call; ends is the time by
	// which the program has ended in any case, zero for none.
	hold time.Duration
	ends time.Time
}
