package jkdaemon

import (
	"context"
	"time"

	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
)

// handoverTimeout bounds the handover of one program.
const handoverTimeout = 2 * time.Second

// Stop ends the daemon by plan: it announces that it leaves, lets running calls
// end, hands its programs over and cuts off no request. It gives up after the
// settings' drain time.
func (d *Daemon) Stop() {
	log := d.log.Part("daemon")
	log.Info("host is stopping")
	d.ready.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Intervals().Drain())
	defer cancel()
	d.gossip.SetState(jkmember.StateLeaving)
	d.orders.stop()
	d.lease.freeze()
	successors := d.declareEnd(ctx)
	d.dispatcher.Drain()
	d.home.Drain(ctx, func(program string) (jktoken.Incarnation, bool) {
		return jkmember.Successor(program, successors)
	}, d.sendHandover)
	d.announceEnd(ctx, successors)
	d.finishRequests(ctx)
	d.Kill()
	log.Info("host has stopped")
}

func (d *Daemon) successors() []jktoken.Incarnation {
	var out []jktoken.Incarnation
	d.gossip.WithTable(func(t *jkmember.Table) {
		out = t.Successors(t.Self().Incarnation, t.Self().Zone)
	})
	return out
}

func (d *Daemon) sendHandover(ctx context.Context, to jktoken.Incarnation, s jkprogram.State) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	addr, _ := d.hostAddr(to.Host)
	var r jkmsg.HandoverResult
	err := d.pool.Call(ctx, addr, jkmsg.TypeHandover, &jkmsg.Handover{State: s}, &r)
	return err == nil && r.Accepted
}

// announceEnd tells all hosts and the platform who has the programs now.
func (d *Daemon) announceEnd(ctx context.Context, successors []jktoken.Incarnation) {
	self := d.home.Self()
	notice := jkmsg.EndedNotice{Incarnation: self, Successors: successors}
	var hosts []jkmember.Host
	d.gossip.WithTable(func(t *jkmember.Table) {
		for _, c := range t.All() {
			if c.Status == jkmember.StatusUp && c.Host.Incarnation != self {
				hosts = append(hosts, c.Host)
			}
		}
	})
	short, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for _, h := range hosts {
		// A host that misses the notice reads the platform's record.
		_ = d.pool.Call(short, h.Addr, jkmsg.TypeEndedNotice, &notice, nil)
	}
}

// declareEnd records this host's end in the platform before the first handover,
// so that nobody can name other successors afterwards. Without the platform the
// hosts know the successors by notice, and the copies refuse any second one.
func (d *Daemon) declareEnd(ctx context.Context) []jktoken.Incarnation {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	successors := d.successors()
	named, err := d.router.DeclareEnded(ctx, d.home.Self(), successors)
	if err != nil {
		d.log.Part("daemon").Error("the platform has no record of this stop", err)
		return successors
	}
	return named
}

// finishRequests waits for requests that this host still serves as an entry or a
// dispatcher.
func (d *Daemon) finishRequests(ctx context.Context) {
	if err := d.web.Shutdown(ctx); err != nil {
		d.log.Part("daemon").Error("requests were cut off at the end of the drain time", err)
	}
	for d.dispatcher.Jobs() > 0 && ctx.Err() == nil {
		d.options.Timer.Wait(10*time.Millisecond, ctx.Done())
	}
}

// readHostList takes the platform's list as a hint: hosts that it names as
// leaving get no endpoints and no new copies.
func (d *Daemon) readHostList() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	hosts, err := d.platform.Hosts(ctx)
	if err != nil {
		return
	}
	leaving := map[string]bool{}
	for _, h := range hosts {
		if h.State == jkplatform.HostLeaving {
			leaving[h.Host] = true
		}
	}
	d.gossip.WithTable(func(t *jkmember.Table) { t.SetLeaving(leaving) })
}
