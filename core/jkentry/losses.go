package jkentry

import (
	"context"
	"slices"

	"jasmineknot.example/core/jkledger"
)

// noteLosses keeps the losses that are harmless over a restart: nobody can confirm them after that. Those that this host
// couldn't observe are asked for.
func (t *Storage) noteLosses(ctx context.Context) {
	confirmed, unobserved := t.probes.Losses()
	for _, host := range confirmed {
		if t.members.isCopy(host) && !t.sources.isUncopied(host) {
			t.vault.NoteLoss(t.goneEntry(host))
		}
	}
	open := t.unknownLosses(unobserved)
	if len(open) == 0 || !t.adopting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer t.adopting.Store(false)
		t.adoptLosses(ctx, open)
	}()
}

func (t *Storage) goneEntry(host string) jkledger.GoneHost {
	return jkledger.GoneHost{Host: host, Announced: t.registry.announced(host)}
}

// unknownLosses returns the silent hosts of other zones whose loss isn't noted.
func (t *Storage) unknownLosses(silent []string) []jkledger.GoneHost {
	known := t.vault.LostHosts()
	var out []jkledger.GoneHost
	for _, host := range silent {
		if gone := t.goneEntry(host); t.members.isCopy(host) && !t.members.isCopyIn(host, t.settings.Zone) && !slices.Contains(known, gone) {
			out = append(out, gone)
		}
	}
	return out
}

// adoptLosses notes the losses that another copy of the own zone has confirmed. Its zone and that of the silent host were in
// reach of each other, which goes for this host as well.
func (t *Storage) adoptLosses(ctx context.Context, open []jkledger.GoneHost) {
	for _, n := range t.neighbours() {
		confirmed, err := t.vault.ConfirmedLosses(ctx, n.Addr)
		if err != nil {
			t.log.Debug("losses not asked for", "from", n.Host, "error", err)
			continue
		}
		for _, gone := range confirmed {
			if slices.Contains(open, gone) && !t.probes.Reachable(gone.Host) {
				t.log.Info("loss confirmed by another copy", "host", gone.Host, "from", n.Host)
				t.vault.NoteLoss(gone)
			}
		}
	}
}
