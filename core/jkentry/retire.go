package jkentry

import (
	"context"
	"maps"
	"slices"
	"time"
)

// retire hands all records over to the other copies and then reports that the host may be
// removed. Entries that don't know yet that it is leaving may write to it until the first time
// that all has been handed over, so that the second one is short. The host stays in use until
// enough others can take its records. A second call does nothing.
func (t *Storage) retire(ctx context.Context, within time.Duration) {
	t.mu.Lock()
	alreadyBegun := t.retireBegun
	t.retireBegun = true
	t.mu.Unlock()
	if alreadyBegun {
		return
	}
	t.log.Info("host is being emptied", "within", within)
	t.reportRetire(ctx, false)
	if !t.awaitTakers(ctx) {
		return
	}
	t.mu.Lock()
	t.retiring = true
	t.mu.Unlock()
	t.registry.setOwn(ctx, t.hostEntry(true))
	// Entries learn that the host is leaving within one watch of the store.
	t.timer.Wait(leavingPropagation, ctx.Done())
	t.handOver(ctx)
	t.log.Info("entries can't write any more")
	t.seal(ctx)
	t.handOver(ctx)
	handedOver := t.hostEntry(true)
	handedOver.HandedOver = true
	t.registry.setOwn(ctx, handedOver)
	t.reportRetire(ctx, true)
}

// seal makes this copy refuse the records of entries, with retries until the disk keeps that.
func (t *Storage) seal(ctx context.Context) {
	for ctx.Err() == nil {
		err := t.vault.Seal()
		if err == nil {
			return
		}
		t.log.Error("ledger not sealed", err)
		t.timer.Wait(catchUpRetryInterval, ctx.Done())
	}
}

// endStaleSeal takes records again if the store's first list doesn't ask to empty this host any more.
func (t *Storage) endStaleSeal(ctx context.Context) {
	if !t.vault.Sealed() || t.retireRequested.Load() {
		return
	}
	if err := t.vault.Unseal(); err != nil {
		t.log.Error("ledger not unsealed", err)
		return
	}
	t.log.Info("host isn't being emptied any more")
	t.registry.setOwn(ctx, t.hostEntry(false))
}

// awaitTakers waits until enough other copies are up to take all records over, and reports whether
// they are. Until then the host stays in use: its disk would be missing if another one was lost.
func (t *Storage) awaitTakers(ctx context.Context) bool {
	needed, logged := t.settings.LostDisks+1, false
	for {
		n := 0
		for _, addrs := range t.takers() {
			n += len(addrs)
		}
		if n >= needed {
			return true
		}
		if !logged {
			t.log.Warn("host stays in use, too few others can take its records", "others", n, "needed", needed)
			logged = true
		}
		if !t.timer.Wait(catchUpRetryInterval, ctx.Done()) {
			return false
		}
	}
}

// handOver hands all records over to the other copies, with retries until enough have them.
func (t *Storage) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		err := t.vault.HandOver(ctx, t.settings.Inner, t.takers(), t.settings.LostDisks+1)
		if err == nil {
			return
		}
		t.log.Warn("host not emptied", "error", err)
		t.timer.Wait(catchUpRetryInterval, ctx.Done())
	}
}

// takers returns the addresses of the other hosts with a copy of the ledger, grouped by zone: the
// hosts of one zone hold all programs together. Others of the zone hold those of a host that is
// down, so that it isn't among them.
func (t *Storage) takers() [][]string {
	byZone := map[string][]string{}
	for _, c := range t.otherCopies() {
		addrs := byZone[c.Zone]
		if !t.isDown(c.Host) {
			addrs = append(addrs, c.Addr)
		}
		byZone[c.Zone] = addrs
	}
	return slices.Collect(maps.Values(byZone))
}

// leavingPropagation is how long entries may still write to a host after it was marked as
// leaving.
const leavingPropagation = 500 * time.Millisecond

// reportRetire writes to the store whether the host has been emptied, with retries until the
// store accepts it.
func (t *Storage) reportRetire(ctx context.Context, completed bool) {
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := t.platform.PutRetireStatus(tryCtx, t.settings.Host, completed)
		cancel()
		if err == nil {
			t.log.Info("retire status written", "completed", completed)
			return
		}
		t.log.Warn("retire status not written", "error", err)
		t.timer.Wait(announceRetryInterval, ctx.Done())
	}
}
