package jkentry

import (
	"context"
	"slices"
	"strings"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkvault"
)

// startSpread copies all programs that this host holds from the other copies while hosts of other zones are suspected
// whose losses it can't confirm. Otherwise turns of a cut that this zone has missed may be on disks of few zones, and nobody
// knows it.
func (t *Storage) startSpread() {
	if len(t.unconfirmedLosses()) == 0 || !t.spreading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer t.spreading.Store(false)
		t.spread(t.running)
	}()
}

// spread asks each copy once for the same hosts, also if that one isn't certain.
func (t *Storage) spread(ctx context.Context) {
	var (
		last  []jkledger.GoneHost
		asked map[string]bool
	)
	for {
		// Before the hosts that are silent, as for a takeover.
		since := t.vault.Answers()
		silent := t.unconfirmedLosses()
		if len(silent) == 0 {
			return
		}
		if !slices.Equal(silent, last) {
			t.log.Info("programs are being copied beside losses that aren't confirmed", "hosts", goneNames(silent))
			last, asked = silent, map[string]bool{}
		}
		for _, source := range t.otherCopies() {
			if !t.vault.Certain() || asked[source.Host] || !t.probes.Reachable(source.Host) || t.vault.HasTakenOver(silent, source.Host) {
				continue
			}
			asked[source.Host] = t.vault.TakeOver(ctx, source.Addr, nil, jkvault.Silent{Hosts: silent, Since: since})
		}
		if !t.timer.Wait(catchUpRetryInterval, ctx.Done()) {
			return
		}
	}
}

func goneNames(hosts []jkledger.GoneHost) string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Host
	}
	return strings.Join(out, ",")
}

// unconfirmedLosses returns the silent hosts of other zones that are suspected, except for those whose loss is noted.
func (t *Storage) unconfirmedLosses() []jkledger.GoneHost {
	noted := t.vault.LostHosts()
	var out []jkledger.GoneHost
	for _, c := range t.otherCopies() {
		if c.Zone == t.settings.Zone || t.probes.Reachable(c.Host) || slices.Contains(noted, t.goneEntry(c.Host)) {
			continue
		}
		if silent := t.silentEntry(c.Host); silent.Suspected {
			out = append(out, silent)
		}
	}
	return out
}
