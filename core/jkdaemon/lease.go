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
	// maxFleetRenewalsPerSecond bounds the lease renewals of the whole fleet, because
	// the platform's rate limits grow more slowly than the fleet.
	maxFleetRenewalsPerSecond = 50
	// renewalsPerLease is how often a lease is renewed within its duration.
	renewalsPerLease = 3
	// platformTimeout bounds one request to the platform.
	platformTimeout = time.Second
)

// hostLease keeps this host's lease at the platform. While the lease is held, other hosts
// that can't reach this one don't declare it ended, as it may only be partitioned. No
// safety property depends on the lease.
type hostLease struct {
	daemon *Daemon
	held   jkplatform.Lease
	isHeld bool
	// draining disables checkEnded once a planned stop has begun.
	draining atomic.Bool
}

func newHostLease(d *Daemon) *hostLease { return &hostLease{daemon: d} }

// beginDrain lets the host finish its planned stop although its end is already recorded.
func (l *hostLease) beginDrain() { l.draining.Store(true) }

// run renews the lease until the context ends, and then releases it.
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

// duration returns the duration of the lease. It grows with the fleet so that the renewals
// stay within maxFleetRenewalsPerSecond.
func (l *hostLease) duration() time.Duration {
	hosts := 0
	l.daemon.gossip.WithTable(func(t *jkmember.Table) { hosts = len(t.All()) })
	minimum := time.Duration(hosts*renewalsPerLease) * time.Second / maxFleetRenewalsPerSecond
	return max(l.daemon.settings.Intervals().Lease(), minimum)
}

func (l *hostLease) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	d := l.daemon
	key := jkroute.LeaseKey(d.settings.Host())
	if l.isHeld {
		lease, err := d.platform.RenewLease(ctx, l.held, l.duration())
		if err == nil {
			l.held = lease
			return
		}
		var conflict *jkplatform.ConflictError
		if !errors.As(err, &conflict) {
			return
		}
		l.isHeld = false
	}
	lease, err := d.platform.AcquireLease(ctx, key, d.home.Self().String(), l.duration())
	if err == nil {
		l.held = lease
		l.isHeld = true
		return
	}
	var exists *jkplatform.ExistsError
	if errors.As(err, &exists) {
		l.declareFormerEnded(ctx, string(exists.Present.Value))
	}
}

// declareFormerEnded declares the former incarnation of this host ended although its
// lease has not expired yet. Its process is gone, because this one has its addresses.
func (l *hostLease) declareFormerEnded(ctx context.Context, holder string) {
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

// checkEnded checks whether this incarnation was declared ended while the host was
// partitioned or paused. The host then continues under a new incarnation.
func (l *hostLease) checkEnded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	d := l.daemon
	ended, err := d.router.IsEnded(ctx, d.home.Self())
	if err != nil || !ended || l.draining.Load() {
		return
	}
	now := d.options.Timer.Now()
	next := newIncarnation(d.settings.Host(), now, rand.New(rand.NewSource(now.UnixNano())))
	d.log.Part("lease").Warn("this incarnation was declared ended; its programs have moved", "incarnation", d.home.Self(), "next", next)
	d.home.Supersede(next)
	// Homes may have abandoned this host's copies in the meantime, just as
	// after a restart.
	if err := d.copySetRecords.beginIncarnation(next); err != nil {
		d.log.Part("copy").Error("copies can't be marked as uncertain", err)
	}
	d.gossip.SetIncarnation(next)
	l.isHeld = false
}

func (l *hostLease) release() {
	if !l.isHeld {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	// A lease that can't be released expires by itself.
	_ = l.daemon.platform.ReleaseLease(ctx, l.held)
}
