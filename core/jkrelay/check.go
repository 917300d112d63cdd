package jkrelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
)

// tick checks which endpoints are reached again, and whether any is.
func (d *Dialer) tick() {
	if !d.troubled.Load() || !d.checking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.checking.Store(false)
		d.check()
	}()
}

func (d *Dialer) check() {
	all := d.Addrs()
	d.mu.Lock()
	d.table.retain(all)
	d.troubled.Store(d.table.isTroubled())
	addrs := d.table.due(d.Timer.Now(), checkDials)
	suspect := d.table.isCutOff(len(all)) || d.table.isolated
	d.mu.Unlock()
	if suspect {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		addrs = append(addrs, all[:min(checkDials, len(all))]...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	reached, hangs := d.dialAll(ctx, addrs)
	d.mu.Lock()
	if reached {
		// Failures of the same check are of single endpoints.
		d.table.connected(d.Timer.Now())
	}
	cutOff := suspect && d.table.isCutOff(len(all))
	d.refused = cutOff && !hangs
	d.mu.Unlock()
	if cutOff {
		d.checkRelays(addrs[len(addrs)-min(parallelJoins, len(addrs)):])
	}
	d.report(cutOff, hangs)
}

// dialAll connects to endpoints and reports whether any was reached, and whether any connection
// wasn't answered.
func (d *Dialer) dialAll(ctx context.Context, addrs []string) (reached, hangs bool) {
	var dials sync.WaitGroup
	var answered, unanswered atomic.Bool
	for _, addr := range addrs {
		dials.Go(func() {
			conn, err := d.dialDirect(ctx, addr)
			if err == nil {
				answered.Store(true)
				_ = conn.Close()
				return
			}
			if !errors.Is(err, syscall.ECONNREFUSED) {
				unanswered.Store(true)
			}
		})
	}
	dials.Wait()
	return answered.Load(), unanswered.Load()
}

// checkRelays finds out whether relays reach any of the endpoints, or may do so soon.
func (d *Dialer) checkRelays(addrs []string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*joinTimeout)
	defer cancel()
	found := make(chan relayCheck, len(addrs))
	for _, addr := range addrs {
		go func() { found <- d.checkRelay(ctx, addr) }()
	}
	result := relaysLost
	for range addrs {
		if one := <-found; one == relaysServe || result == relaysLost {
			result = one
		}
	}
	n := len(d.Addrs())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.checkedRelays(result, n)
}

// checkRelay finds out whether a relay reaches an endpoint.
func (d *Dialer) checkRelay(ctx context.Context, addr string) relayCheck {
	conn, err := d.join(ctx, addr, nil)
	var none *NoWayError
	switch {
	case err == nil:
		_ = conn.Close()
		return relaysServe
	case !errors.As(err, &none):
		// The endpoint has ended, which says nothing of the others.
		return relaysSilent
	case none.Relay == ResultNoAnswer:
		return relaysSilent
	case none.Relay.mayPass():
		return relaysServe
	}
	return relaysLost
}

// report logs a change, and tells of connections that hang.
func (d *Dialer) report(cutOff, hangs bool) {
	d.mu.Lock()
	isolated, failed, relayed := d.table.isolated, len(d.table.failed), len(d.table.relayed)
	changed := cutOff != d.cutOff || isolated != d.isolated
	hangs = hangs && cutOff != d.cutOff
	d.cutOff, d.isolated = cutOff, isolated
	d.mu.Unlock()
	if !changed {
		return
	}
	d.Log.Info("direct way to endpoints changed", "cut_off", cutOff, "isolated", isolated, "hangs", hangs, "failed", failed, "relayed", relayed)
	if cutOff && hangs && d.OnHang != nil {
		d.OnHang()
	}
}
