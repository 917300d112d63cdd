package jkentry

import (
	"context"
	"sync"
	"time"

	"jasmineknot.example/core/jkaccount"
	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkvault"
)

// takeoverDelays are the times before the two rounds of a takeover. Processes that restart at
// once are back before the first one. The second one copies what entries recorded until all of
// them noticed the loss, which takes 7 s of silence.
var takeoverDelays = []time.Duration{1200 * time.Millisecond, 7 * time.Second}

// takeoverKey is a host whose programs are taken over, and whether that is repeated since it was marked as suspected.
type takeoverKey struct {
	host     string
	repeated bool
}

// startTakeover copies the programs of a host of the own zone that is silent or leaving, unless
// that is in progress. Otherwise this zone would keep no copy of them, and the hosts of the other
// zones may be replaced next.
func (t *Storage) startTakeover(host string) {
	t.runTakeover(takeoverKey{host: host}, takeoverDelays)
}

// repeatTakeover copies the programs of a silent host of the own zone again, since it was marked as suspected: before
// that, entries may have reached it.
func (t *Storage) repeatTakeover(host string) {
	if !t.probes.Reachable(host) {
		t.runTakeover(takeoverKey{host: host, repeated: true}, []time.Duration{0})
	}
}

func (t *Storage) runTakeover(key takeoverKey, delays []time.Duration) {
	if key.host == t.settings.Host || !t.members.isCopyIn(key.host, t.settings.Zone) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.takeovers[key] {
		return
	}
	t.takeovers[key] = true
	go t.takeOver(t.running, key, delays)
}

// takeOver copies the programs of a host as long as that is gone.
func (t *Storage) takeOver(ctx context.Context, key takeoverKey, delays []time.Duration) {
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.takeovers, key)
	}()
	host, due := key.host, t.timer.Now()
	for i, delay := range delays {
		due = due.Add(delay)
		if !t.timer.Wait(due.Sub(t.timer.Now()), ctx.Done()) || !t.isGone(host) {
			return
		}
		t.log.Info("programs are being taken over", "host", host)
		var until time.Time
		if i+1 < len(delays) {
			until = due.Add(delays[i+1])
		}
		t.takeOverFromAll(ctx, host, until)
	}
}

// takeOverFromAll copies the programs of a host from each other copy, and tries again with those
// that are out of reach, while the host is gone and until the next round is due.
func (t *Storage) takeOverFromAll(ctx context.Context, host string, until time.Time) {
	isOver := func() bool { return !until.IsZero() && !t.timer.Now().Before(until) }
	asked := map[string]bool{}
	for t.isGone(host) && !isOver() {
		// Before the hosts that are gone, so that one that is back in between isn't noted as gone.
		silent := jkvault.Silent{Since: t.vault.Answers()}
		gone := t.goneHosts(host)
		silent.Hosts = t.silentHosts(gone)
		var sources []jkaccount.Copy
		missing := 0
		for _, source := range t.otherCopies() {
			switch {
			case asked[source.Host] || gone[source.Host]:
			case !t.probes.Reachable(source.Host):
				missing++
			default:
				sources = append(sources, source)
			}
		}
		if len(sources) > 0 {
			silent.Seen = t.seenSilences(ctx)
		}
		for _, source := range sources {
			if !t.vault.TakeOver(ctx, source.Addr, hostNames(gone), silent) {
				missing++
				continue
			}
			asked[source.Host] = true
		}
		if missing == 0 || !t.timer.Wait(catchUpRetryInterval, ctx.Done()) {
			return
		}
	}
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

// silentHosts returns the hosts that are out of reach. One that is leaving may still take records.
func (t *Storage) silentHosts(gone map[string]bool) []jkledger.GoneHost {
	var out []jkledger.GoneHost
	for host := range gone {
		if t.members.isCopyIn(host, t.settings.Zone) && !t.probes.Reachable(host) {
			out = append(out, t.silentEntry(host))
		}
	}
	return out
}

// silentEntry is goneEntry with whether the host is suspected.
func (t *Storage) silentEntry(host string) jkledger.GoneHost {
	out := t.goneEntry(host)
	out.Suspected = t.registry.isSuspected(host)
	return out
}

// seenSilences returns the silences that the hosts of the other zones see, which this one may not reach alone.
func (t *Storage) seenSilences(ctx context.Context) []jkledger.Silence {
	var (
		mu    sync.Mutex
		calls sync.WaitGroup
		out   []jkledger.Silence
	)
	for _, c := range t.otherCopies() {
		if c.Zone == t.settings.Zone || !t.probes.Reachable(c.Host) {
			continue
		}
		calls.Go(func() {
			known, err := t.vault.LossesOf(ctx, c.Addr)
			if err != nil {
				t.log.Debug("silences not asked for", "from", c.Host, "error", err)
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, known.Seen...)
		})
	}
	calls.Wait()
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
