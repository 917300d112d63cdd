package jkentry

import (
	"context"
	"maps"
	"slices"
	"sync"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkprobe"
)

// notedLosses are the silent hosts of the own zone of which hosts of all other zones have noted that they fell silent
// alone. That this one doesn't reach them doesn't say so.
type notedLosses struct {
	mu     sync.Mutex
	hosts  []jkledger.GoneHost
	asking bool
}

// has reports whether the loss of a host is noted.
func (n *notedLosses) has(host jkledger.GoneHost) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.hosts, host)
}

func (n *notedLosses) add(host jkledger.GoneHost) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts = append(n.hosts, host)
}

// forget forgets a host that answers again or was removed.
func (n *notedLosses) forget(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts = slices.DeleteFunc(n.hosts, func(h jkledger.GoneHost) bool { return h.Host == host })
}

// beginAsking reports whether nobody has asked for notes since endAsking.
func (n *notedLosses) beginAsking() (begun bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	begun, n.asking = !n.asking, true
	return begun
}

func (n *notedLosses) endAsking() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asking = false
}

// askForNotes asks the other zones for the losses of silent hosts of the own zone, and takes over again what they have
// noted: what was taken over before may lack what such a host took from others meanwhile.
func (t *Storage) askForNotes() {
	if len(t.unnotedLosses()) == 0 || !t.noted.beginAsking() {
		return
	}
	go func() {
		defer t.noted.endAsking()
		// Before the answers, so that a host that is back in between isn't noted.
		since := t.vault.Answers()
		noted := t.notedByAll(t.running, t.unnotedLosses())
		now := t.vault.Answers()
		for _, gone := range noted {
			if now[gone.Host] == since[gone.Host] {
				t.log.Info("loss noted by all other zones", "host", gone.Host)
				t.noted.add(gone)
				t.repeatTakeover(gone.Host, sinceNoted)
			}
		}
	}()
}

// unnotedLosses returns the hosts of the own zone that have been silent for so long that others may have noted it, and
// aren't marked as suspected. Once they are, their programs are taken over again anyway.
func (t *Storage) unnotedLosses() []jkledger.GoneHost {
	var out []jkledger.GoneHost
	for _, c := range t.otherCopies() {
		if c.Zone != t.settings.Zone || t.probes.UnreachableFor(c.Host) < jkprobe.LossConfirmedAfter {
			continue
		}
		if gone := t.goneEntry(c.Host); !t.noted.has(gone) && !t.registry.isSuspected(c.Host) {
			out = append(out, gone)
		}
	}
	return out
}

// notedByAll returns those of several losses that a host of each other zone has noted.
func (t *Storage) notedByAll(ctx context.Context, losses []jkledger.GoneHost) []jkledger.GoneHost {
	open := map[string][]jkledger.GoneHost{}
	for _, c := range t.otherCopies() {
		if c.Zone == t.settings.Zone {
			continue
		}
		if _, known := open[c.Zone]; !known {
			open[c.Zone] = losses
		}
		if len(open[c.Zone]) == 0 || !t.probes.Reachable(c.Host) {
			continue
		}
		noted, err := t.vault.ConfirmedLosses(ctx, c.Addr)
		if err != nil {
			t.log.Debug("losses not asked for", "from", c.Host, "error", err)
			continue
		}
		open[c.Zone] = slices.DeleteFunc(slices.Clone(open[c.Zone]), func(h jkledger.GoneHost) bool { return slices.Contains(noted, h) })
	}
	if len(open) == 0 {
		return nil
	}
	left := slices.Concat(slices.Collect(maps.Values(open))...)
	return slices.DeleteFunc(slices.Clone(losses), func(h jkledger.GoneHost) bool { return slices.Contains(left, h) })
}
