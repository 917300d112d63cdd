package jkprobe

import "time"

// maxAlwaysProbed is the number of hosts that are always probed at each probeInterval. More of
// them are probed less often, so that the probes of a host don't grow with the fleet, up to
// maxProbeInterval. Such a host is probed at each probeInterval again once it, or another host
// of its zone, hasn't answered, which detects a silent one within two seconds.
const (
	maxAlwaysProbed  = 12
	maxProbeInterval = time.Second
)

// notePause treats all hosts as silent since the last tick at the latest, because this process was
// paused and may have missed what they sent. They are back with their next answers: those that were
// unread in the pause may have been sent before it.
func (p *Prober) notePause() {
	// What happened to the zones meanwhile isn't known either.
	p.startedAt = p.Timer.Now()
	p.pausedFor = p.startedAt.Sub(p.tickedAt)
	for _, row := range p.peers {
		if row.unansweredSince.IsZero() {
			row.unansweredSince = later(earlier(row.lastAnswer, p.tickedAt), row.addedAt)
		}
	}
}

// MayBeTakenForLost reports whether this process was paused after the last answer of a host, for so long that others, which
// probe it at the same intervals, may have taken it for lost. The host may be silent by a cut that came after that.
func (p *Prober) MayBeTakenForLost(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	heardWithin := 2 * max(p.alwaysInterval, probeInterval)
	return row != nil && p.startedAt.After(row.lastAnswer) && p.pausedFor >= LossConfirmedAfter-heardWithin
}

// JustResumed reports whether this process was paused until now, or so shortly before that OnHostChange may not have told
// of it yet.
func (p *Prober) JustResumed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timer.Now()
	return now.Sub(p.tickedAt) > unreachableAfter || now.Sub(p.startedAt) < probeInterval
}

// JustPaused reports whether this process has been short of processor time within
// unreachableAfter, so that answers of other hosts may be unread.
func (p *Prober) JustPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Timer.Now().Sub(p.lateAt) < unreachableAfter
}

// SignalledSince returns the earliest time at which a signal that this process handles now may have been sent: now, or
// the last tick before a pause that has just ended.
func (p *Prober) SignalledSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timer.Now()
	switch {
	case now.Sub(p.tickedAt) > maxTickInterval:
		return p.tickedAt
	case p.lateAt.Equal(p.tickedAt):
		return p.pausedAt
	default:
		return now
	}
}

// silence returns for how long a host hasn't answered, not counting the time in which it
// wasn't probed. It is zero for a host whose last probe was answered.
func (r *peerRow) silence(now time.Time) time.Duration {
	if r.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(r.unansweredSince) + probeInterval
}

// chooseTargets returns the hosts that are to be probed now. The caller holds the lock.
func (p *Prober) chooseTargets(now time.Time) []*peerRow {
	alwaysProbed := 0
	suspectZones := map[string]bool{}
	for _, row := range p.peers {
		if row.peer.AlwaysProbed {
			alwaysProbed++
		}
		if row.isProbed && row.silence(now) > probeInterval {
			suspectZones[row.peer.Zone] = true
		}
	}
	p.alwaysInterval = min(probeInterval*time.Duration(alwaysProbed)/maxAlwaysProbed, maxProbeInterval)
	var out []*peerRow
	for _, row := range p.peers {
		due := !row.peer.AlwaysProbed || suspectZones[row.peer.Zone] || now.Sub(row.probedAt) >= p.alwaysInterval
		if !row.isProbed || !due {
			continue
		}
		row.probedAt = now
		if row.unansweredSince.IsZero() {
			row.unansweredSince = now
		}
		out = append(out, row)
	}
	return out
}
