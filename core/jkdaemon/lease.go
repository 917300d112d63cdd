package jkdaemon

import (
	"context"
	"errors"
	"math/rand"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkroute"
	"jasmineknot.example/core/jktoken"
)

const (
	// renewalsPerSecond bounds the lease renewals of the whole fleet, because
	// the platform's rates grow more slowly than the fleet.
	renewalsPerSecond = 50
	// renewalsPerLease is how often a lease is renewed within its duration.
	renewalsPerLease = 3
	// leaseTimeout bounds one request to the platform.
	leaseTimeout = time.Second
)

// hostLease keeps this host's lease at the platform. The lease tells other hosts
// that this one may only be cut off; nothing safe depends on it.
type hostLease struct {
	daemon *Daemon
	held   jkplatform.Lease
	has    bool
	// frozen stops the check of the own end once a planned stop has begun.
	frozen atomic.Bool
}

func newHostLease(d *Daemon) *hostLease { return &hostLease{daemon: d} }

// freeze lets the host finish its planned stop although its end is recorded.
func (l *hostLease) freeze() { l.frozen.Store(true) }

// run renews the lease until the context ends, and then gives it up.
func (l *hostLease) run(ctx context.Context) {
	for {
		l.renew(ctx)
		l.checkEnded(ctx)
		if !l.daemon.options.Timer.Wait(l.duration()/renewalsPerLease, ctx.Done()) {
			l.release()
			return
		}
	}
}

// duration grows with the fleet so that the renewals stay within their bound.
func (l *hostLease) duration() time.Duration {
	hosts := 0
	l.daemon.gossip.WithTable(func(t *jkmember.Table) { hosts = len(t.All()) })
	least := time.Duration(hosts*renewalsPerLease) * time.Second / renewalsPerSecond
	return max(l.daemon.settings.Intervals().Lease(), least)
}

func (l *hostLease) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	d := l.daemon
	key := jkroute.LeaseKey(d.settings.Host())
	if l.has {
		lease, err := d.platform.RenewLease(ctx, l.held, l.duration())
		if err == nil {
			l.held = lease
			return
		}
		var lost *jkplatform.ConflictError
		if !errors.As(err, &lost) {
			return
		}
		l.has = false
	}
	lease, err := d.platform.AcquireLease(ctx, key, d.home.Self().String(), l.duration())
	if err == nil {
		l.held = lease
		l.has = true
		return
	}
	var exists *jkplatform.ExistsError
	if errors.As(err, &exists) {
		l.endFormer(ctx, string(exists.Present.Value))
	}
}

// endFormer declares the former incarnation of this host ended, whose lease has
// not expired yet. Its process is gone, because this one has its addresses.
func (l *hostLease) endFormer(ctx context.Context, holder string) {
	d := l.daemon
	former, err := jktoken.ParseIncarnation(holder)
	if err != nil || former.Host != d.settings.Host() || former.Start >= d.home.Self().Start {
		return
	}
	var successors []jktoken.Incarnation
	d.gossip.WithTable(func(t *jkmember.Table) { successors = t.Successors(former, d.settings.Zone()) })
	if _, err := d.router.DeclareEnded(ctx, former, successors); err != nil {
		d.log.Part("lease").Error("former incarnation can't be declared ended", err, "incarnation", former)
	}
}

// checkEnded learns whether this incarnation was declared ended while it was
// cut off or paused. It then goes on under a new one.
func (l *hostLease) checkEnded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	d := l.daemon
	ended, err := d.router.IsEnded(ctx, d.home.Self())
	if err != nil || !ended || l.frozen.Load() {
		return
	}
	now := d.options.Timer.Now()
	next := newIncarnation(d.settings.Host(), now, rand.New(rand.NewSource(now.UnixNano())))
	d.log.Part("lease").Warn("this incarnation was declared ended; its programs have moved", "incarnation", d.home.Self(), "next", next)
	d.home.Supersede(next)
	// Homes may have given up this host's copies in the meantime, just as
	// after a restart.
	if err := d.copySet.begin(next); err != nil {
		d.log.Part("copy").Error("copies can't be marked as uncertain", err)
	}
	d.gossip.SetIncarnation(next)
	l.has = false
}

func (l *hostLease) release() {
	if !l.has {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	// A lease that can't be released expires by itself.
	_ = l.daemon.platform.ReleaseLease(ctx, l.held)
}
