package jkdispatch

import (
	"context"
	"time"

	"jasmineknot.example/core/jksched"
)

// auditTimeout bounds the question for one engine's state.
const auditTimeout = 2 * time.Second

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
		last, known := d.used[r]
		switch {
		case !known:
			d.used[r] = now
		case now.Sub(last) > d.options.Queue.IdleHold:
			d.releaseAt(r)
		}
	}
}

// noteUse records that a program has run at an engine. The caller holds the
// lock.
func (d *Dispatcher) noteUse(c jksched.Call, addr string) {
	if c.Kind == jksched.KindModel {
		d.used[release{program: c.Program, addr: addr}] = d.options.Timer.Now()
	}
}
