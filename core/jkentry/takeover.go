package jkentry

import (
	"context"
	"maps"
	"slices"
	"time"

	"jasmineknot.example/core/jkaccount"
)

// takeoverDelays are the times before the two rounds of a takeover. Processes that restart at
// once are back before the first one. The second one copies what entries recorded until all of
// them noticed the loss, which takes 7 s of silence.
var takeoverDelays = []time.Duration{1200 * time.Millisecond, 7 * time.Second}

// startTakeover copies the programs of a host of the own zone that is silent or leaving, unless
// that is in progress. Otherwise this zone would keep no copy of them, and the hosts of the other
// zones may be replaced next.
func (t *Storage) startTakeover(host string) {
	if host == t.settings.Host || !t.members.isCopyIn(host, t.settings.Zone) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.takeovers[host] {
		return
	}
	t.takeovers[host] = true
	go t.takeOver(t.running, host)
}

// takeOver copies the programs of a host as long as that is gone.
func (t *Storage) takeOver(ctx context.Context, host string) {
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.takeovers, host)
	}()
	for _, delay := range takeoverDelays {
		if !t.timer.Wait(delay, ctx.Done()) || !t.isGone(host) {
			return
		}
		t.log.Info("programs are being taken over", "host", host)
		t.takeOverFromAll(ctx, host)
	}
}

// takeOverFromAll copies the programs of a host from each other copy, and tries again with those
// that are out of reach, while the host is gone.
func (t *Storage) takeOverFromAll(ctx context.Context, host string) {
	asked := map[string]bool{}
	for t.isGone(host) {
		// Before the hosts that are gone, so that one that falls silent in between counts for none.
		silences := t.currentSilences()
		gone := t.goneHosts(host)
		missing := 0
		for _, source := range t.otherCopies() {
			if asked[source.Host] || gone[source.Host] {
				continue
			}
			if !t.probes.Reachable(source.Host) {
				missing++
				continue
			}
			sent, certain := t.vault.TakeOver(ctx, source.Addr, hostNames(gone))
			if !sent {
				missing++
				continue
			}
			asked[source.Host] = true
			if certain {
				t.noteTakenOver(silences, gone, source.Host)
			}
		}
		if missing == 0 || !t.timer.Wait(catchUpRetryInterval, ctx.Done()) {
			return
		}
	}
}

// silence is the time since another host of the own zone fell silent, or since the latest one
// did: its programs are then spread over fewer hosts, and what was taken over before isn't all.
type silence struct {
	// takenOverFrom are the hosts, certain at the time, from which the host's programs were taken over.
	takenOverFrom []string
}

// hostFellSilent begins the silence of a host of the own zone, and begins those of the others anew.
func (t *Storage) hostFellSilent(host string) {
	if !t.members.isCopyIn(host, t.settings.Zone) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silences[host] = nil
	for other := range t.silences {
		t.silences[other] = &silence{}
	}
}

// endSilence forgets what was taken over from a host that answers again, as it may take more
// before it falls silent the next time, or that was removed.
func (t *Storage) endSilence(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.silences, host)
}

func (t *Storage) currentSilences() map[string]*silence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.silences)
}

// noteTakenOver notes that the programs of hosts that are gone were taken over from a source. A
// silence that has ended since isn't any more among those that takenOver returns.
func (t *Storage) noteTakenOver(silences map[string]*silence, gone map[string]bool, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host, s := range silences {
		if gone[host] && !slices.Contains(s.takenOverFrom, source) {
			s.takenOverFrom = append(s.takenOverFrom, source)
		}
	}
}

// takenOver returns by silent host of the own zone from which others its programs were taken over.
func (t *Storage) takenOver() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string][]string{}
	for host, s := range t.silences {
		out[host] = slices.Clone(s.takenOverFrom)
	}
	return out
}

// isGone reports whether another host of the own zone is silent, is leaving or was removed.
func (t *Storage) isGone(host string) bool {
	return !t.members.isCopyIn(host, t.settings.Zone) || !t.probes.Reachable(host) || t.members.isLeaving(host)
}

// goneHosts returns a host that is gone and all others of the own zone that are out of reach.
func (t *Storage) goneHosts(host string) map[string]bool {
	out := map[string]bool{host: true}
	for _, c := range t.otherCopies() {
		if c.Zone == t.settings.Zone && !t.probes.Reachable(c.Host) {
			out[c.Host] = true
		}
	}
	return out
}

func hostNames(hosts map[string]bool) []string {
	out := make([]string, 0, len(hosts))
	for host := range hosts {
		out = append(out, host)
	}
	return out
}

// takesOver returns a function that reports whether a host keeps a program's records only
// because other hosts of its zone are gone.
func (t *Storage) takesOver(host string, gone []string) func(program string) bool {
	return jkaccount.TakeoverFilter(host, gone, t.members.copies(), t.isDown)
}
