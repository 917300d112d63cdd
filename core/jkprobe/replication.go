package jkprobe

import (
	"net/netip"
	"time"
)

// replication is what a host says with its answers of the records that it has admitted.
type replication struct {
	// saidAt is when the host said last that others have all that it admitted, and replicated is set if it said so with
	// its last answer.
	saidAt     time.Time
	replicated bool
	// lostReplicated is the result of viewReplicated at the last tick.
	lostReplicated bool
}

// saidWithin is how long before an answer the datagram may have come that says so. Those of two answers are further apart.
const saidWithin = probeInterval / 2

// answered notes an answer of the host, which goes on to admit records.
func (r *replication) answered(now time.Time) {
	r.replicated = now.Sub(r.saidAt) < saidWithin
	r.saidAt, r.lostReplicated = time.Time{}, false
}

// answer answers a probe of this host.
func (p *Prober) answer(key uint64, to netip.AddrPort) {
	if key != hostHash(p.Host) {
		return
	}
	if p.Replicated != nil && p.Replicated() {
		p.sendTo(kindReplicated, key, to)
	}
	p.sendTo(kindAnswer, key, to)
}

func (p *Prober) recordReplicated(key uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if row := p.byHash[key]; row != nil {
		row.saidAt = p.Timer.Now()
	}
}

// viewReplicated reports whether an unreachable host has said with its last answer that the others have all that it
// admitted, and can't have admitted more without them since: its zone has answered from settleTime before that on, without
// a break. Entries that notice the end of a partition late may admit more shortly after it.
func (p *Prober) viewReplicated(now time.Time, row *peerRow) bool {
	switch {
	case !row.unreachable || !row.replicated:
		return false
	case row.lostReplicated:
		return true
	}
	last := row.lastAnswer
	return now.Sub(last) >= LossConfirmedAfter && last.Sub(p.lastZoneBreak(row)) >= settleTime && !p.observedFrom(row).After(last)
}

// LostReplicated reports whether a silent host has admitted nothing that the others lack, as it said itself with its last
// answer. Unlike LossConfirmed, this says nothing of turns, and needs no observation from before that answer.
func (p *Prober) LostReplicated(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row != nil && row.lostReplicated
}

// IsReplicated reports whether a host that answers says that the others have all that it has admitted.
func (p *Prober) IsReplicated(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row != nil && !row.unreachable && row.replicated
}

// ReachableFor returns for how long a host has answered without a break, at most since it was added or this process started
// to observe it, and zero for one that doesn't.
func (p *Prober) ReachableFor(host string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	if row == nil || row.unreachable || row.lastAnswer.IsZero() {
		return 0
	}
	return p.Timer.Now().Sub(later(later(row.addedAt, p.startedAt), later(row.breaks.backAt, row.breaks.heardFrom)))
}
