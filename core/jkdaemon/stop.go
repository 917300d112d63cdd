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

// Stop shuts the daemon down gracefully: it announces that it is draining, lets running
// calls end, hands its programs over and interrupts no request. It stops waiting after the
// settings' drain time.
func (d *Daemon) Stop() {
	log := d.log.Part("daemon")
	log.Info("host is stopping")
	d.ready.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Intervals().Drain())
	defer cancel()
	d.requests.beginStop(d.options.Timer.Now().Add(d.settings.Intervals().Drain()))
	d.gossip.SetState(jkmember.StateLeaving)
	d.orders.stop()
	d.lease.beginDrain()
	successors := d.declareEnd(ctx)
	d.dispatcher.Drain()
	d.home.Drain(ctx, func(program string) (jktoken.Incarnation, bool) {
		return jkmember.Successor(program, successors)
	}, d.sendHandover)
	d.announceEnd(ctx, successors)
	d.drainRequests(ctx)
	d.shutDownPeers()
	d.Kill()
	log.Info("host has stopped")
}

// successors returns the hosts that take over this host's programs.
func (d *Daemon) successors() []jktoken.Incarnation {
	var out []jktoken.Incarnation
	d.gossip.WithTable(func(t *jkmember.Table) {
		out = t.Successors(t.Self().Incarnation, t.Self().Zone)
	})
	return out
}

// sendHandover hands one program over and reports whether the successor has accepted it.
func (d *Daemon) sendHandover(ctx context.Context, to jktoken.Incarnation, s jkprogram.State) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	addr, _ := d.hostAddr(to.Host)
	var r jkmsg.HandoverResult
	err := d.pool.Call(ctx, addr, jkmsg.TypeHandover, &jkmsg.Handover{State: s}, &r)
	return err == nil && r.Accepted
}

// announceEnd notifies all other hosts that this one has ended, and which hosts have its
// programs now.
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

// declareEnd records this host's end at the platform before the first handover, so that no
// other host can name different successors afterwards. If the platform is unreachable, the
// hosts learn the successors from the ended notice, and the copies refuse any second one.
func (d *Daemon) declareEnd(ctx context.Context) []jktoken.Incarnation {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	successors := d.successors()
	named, err := d.router.DeclareEnded(ctx, d.home.Self(), successors)
	if err != nil {
		d.log.Part("daemon").Error("planned stop can't be recorded at the platform", err)
		return successors
	}
	return named
}

// lastRequestTime is how long requests are still answered after the listener and the idle
// connections were closed: one that a caller has sent before it sees the close arrives within
// that time.
const lastRequestTime = 200 * time.Millisecond

// drainRequests waits for requests that this host still serves as an entry or a dispatcher.
// Those that outlast the drain time are broken off and get a response that says so. The
// listener stays open meanwhile, and Shutdown of net/http isn't used: it closes connections
// whose request arrives later without a response.
func (d *Daemon) drainRequests(ctx context.Context) {
	for (d.requests.inFlight.Load() > 0 || d.dispatcher.Jobs() > 0) && ctx.Err() == nil {
		d.options.Timer.Wait(10*time.Millisecond, ctx.Done())
	}
	if n := d.requests.inFlight.Load(); n > 0 {
		d.log.Part("daemon").Warn("requests outlast the drain time", "in_flight", n)
		d.requests.end()
	}
	// What arrives from now on would be cut, so that none of it is passed on.
	d.requests.beginStop(d.options.Timer.Now())
	_ = d.httpListener.Close()
	d.httpServer.SetKeepAlivesEnabled(false)
	d.options.Timer.Wait(lastRequestTime, nil)
	for d.requests.inFlight.Load() > 0 && ctx.Err() == nil {
		d.options.Timer.Wait(10*time.Millisecond, ctx.Done())
	}
	if n := d.requests.inFlight.Load(); n > 0 {
		d.log.Part("daemon").Warn("requests were cut off at the end of the drain time", "in_flight", n)
	}
}

// peerShutdownTimeout bounds the end of the connections from other hosts. All of their
// requests that this host runs have ended by then, so that only responses on their way are
// left.
const peerShutdownTimeout = time.Second

// shutDownPeers ends the connections from other hosts, so that each of their requests has
// its response or is known not to have run.
func (d *Daemon) shutDownPeers() {
	ctx, cancel := context.WithTimeout(context.Background(), peerShutdownTimeout)
	defer cancel()
	d.server.Shutdown(ctx)
}

// refreshHostList reads the platform's host list as a hint: hosts that it names as leaving
// get no endpoints and no new copies.
func (d *Daemon) refreshHostList() {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
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
