package jkentry

import (
	"context"
	"slices"
	"time"

	"jasmineknot.example/core/jkledger"
)

// losses returns what this host says of the others with a copy that don't answer, or that it hasn't copied since they
// are back.
func (t *Storage) losses() jkledger.Losses {
	if !t.isListed() {
		return jkledger.Losses{Unlisted: true}
	}
	seen := t.seenLosses()
	confirmed := slices.Concat(seen.confirmed, seen.copied)
	for _, h := range t.vault.LostHosts() {
		if t.isStillGone(h, seen) {
			confirmed = append(confirmed, h.Host)
			seen.unobserved = slices.DeleteFunc(seen.unobserved, func(host string) bool { return host == h.Host })
		}
	}
	for _, h := range t.vault.ReplicatedHosts() {
		if t.isStillGone(h, seen) {
			seen.replicated = append(seen.replicated, h.Host)
		}
	}
	return jkledger.Losses{Confirmed: confirmed, Unobserved: seen.unobserved, Replicated: seen.replicated, UnobservedReplicated: seen.unobservedReplicated, Returned: t.uncopied()}
}

// isStillGone reports whether what was noted of a host before this process started still holds. One that has answered since
// isn't lost, or by another silence.
func (t *Storage) isStillGone(h jkledger.GoneHost, seen lossViews) bool {
	last, _ := t.probes.LastAnswer(h.Host)
	return slices.Contains(seen.unobserved, h.Host) && last.IsZero() && h.Announced == t.registry.announced(h.Host)
}

// uncopied returns the hosts that are back and that this one hasn't copied since, except for those that say that nothing of
// theirs is missing.
func (t *Storage) uncopied() []jkledger.Return {
	return slices.DeleteFunc(t.sources.uncopied(t.timer.Now()), func(r jkledger.Return) bool { return t.probes.IsReplicated(r.Host) })
}

// seenLosses returns what this process has seen and copied itself.
func (t *Storage) seenLosses() lossViews {
	l := t.probes.Losses()
	out := t.sources.judge(l.Confirmed(), l.Returned(), l.Unobserved(), l.SaidReplicated())
	out.replicated = l.Replicated()
	return out
}

// replicateAfter is the time in which other copies copy by themselves from one that is back in reach.
const replicateAfter = 5 * time.Second

// replicate asks the other zones' copies for which it is due to copy the reservations that they may lack.
func (t *Storage) replicate(ctx context.Context) {
	if t.vault.Replicated() || !t.replicating.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer t.replicating.Store(false)
		t.vault.Replicate(ctx, t.settings.Inner, func(host string) bool {
			return t.probes.Reachable(host) && t.probes.ReachableFor(host) >= replicateAfter
		})
	}()
}

// noteLosses keeps the losses that are harmless over a restart: nobody can confirm them after that. Those that this host
// couldn't observe are asked for. Those that are harmless since it has copied the host's records aren't kept, as others
// that ask for them may lack these.
func (t *Storage) noteLosses(ctx context.Context) {
	t.startSpread()
	seen := t.seenLosses()
	for _, host := range seen.confirmed {
		if t.members.isCopy(host) {
			t.vault.NoteLoss(t.goneEntry(host), t.silence(host))
		}
	}
	for _, host := range seen.replicated {
		if t.members.isCopy(host) && !slices.Contains(seen.confirmed, host) {
			t.vault.NoteReplicated(t.goneEntry(host))
		}
	}
	open := t.unknownLosses(seen.unobserved)
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

// silence returns the silence of a host as this one sees it, or the zero value for one that isn't silent long enough.
func (t *Storage) silence(host string) jkledger.Silence {
	last := t.probes.LastAnswerBeforeSilence(host)
	if last.IsZero() {
		return jkledger.Silence{}
	}
	return jkledger.Silence{Host: host, SeenBy: t.settings.Host, LastAnswer: last.UnixNano()}
}

// silences returns the silences that this host sees.
func (t *Storage) silences() []jkledger.Silence {
	var out []jkledger.Silence
	for _, c := range t.otherCopies() {
		if s := t.silence(c.Host); s.Host != "" {
			out = append(out, s)
		}
	}
	return out
}

// silenceOf returns the silence of a host among several, or the zero value.
func silenceOf(host string, silences []jkledger.Silence) jkledger.Silence {
	for _, s := range silences {
		if s.Host == host {
			return s
		}
	}
	return jkledger.Silence{}
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
		known, err := t.vault.LossesOf(ctx, n.Addr)
		if err != nil {
			t.log.Debug("losses not asked for", "from", n.Host, "error", err)
			continue
		}
		for _, gone := range known.LostHosts {
			if slices.Contains(open, gone) && !t.probes.Reachable(gone.Host) {
				t.log.Info("loss confirmed by another copy", "host", gone.Host, "from", n.Host)
				t.vault.NoteLoss(gone, silenceOf(gone.Host, known.Silences))
			}
		}
	}
}
