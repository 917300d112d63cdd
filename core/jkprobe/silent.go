package jkprobe

import "time"

// overdueAfter is the time without an answer after which a probe is overdue. Answers take a few
// milliseconds, and up to 100 ms where processor time is limited.
const overdueAfter = 200 * time.Millisecond

// writeTime is for how long writes that were in flight when a host fell silent are retried.
const writeTime = time.Second

// LastAnswerBeforeSilence returns when a host that has been out of reach for writeTime at least last answered, and zero for others
// and for one that never did.
func (p *Prober) LastAnswerBeforeSilence(host string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	if row == nil || !row.unreachable || row.silence(p.Timer.Now()) < probeInterval+writeTime {
		return time.Time{}
	}
	return row.lastAnswer
}

// SilentZones returns the zones, the own one among them, that seem to be silent: none of their
// probed hosts has answered within one interval of probes and overdueAfter, and at least one of
// them has an overdue probe. It is known earlier than ZoneReachable and less certain: the loss of
// a few datagrams looks the same until the next probe. The result says nothing if uncertain is
// set: this process was short of processor time, so that answers may be unread.
func (p *Prober) SilentZones() (silent map[string]bool, uncertain bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timer.Now()
	silent = map[string]bool{}
	answering := map[string]bool{}
	for _, row := range p.peers {
		switch zone := row.peer.Zone; {
		case !row.isProbed:
		case !row.lastAnswer.IsZero() && now.Sub(row.lastAnswer) < probeInterval+overdueAfter:
			answering[zone] = true
			delete(silent, zone)
		case !answering[zone] && !row.unansweredSince.IsZero() && now.Sub(row.unansweredSince) >= overdueAfter:
			silent[zone] = true
		}
	}
	// A late tick that is still due is known before it is recorded.
	return silent, now.Sub(p.lateAt) < unreachableAfter || now.Sub(p.tickedAt) > maxTickInterval
}
