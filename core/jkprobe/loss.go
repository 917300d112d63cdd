package jkprobe

import "time"

// lossView is what this host has seen of the loss of another one.
type lossView string

const (
	// lossContested: the host answers, or did so lately, or its silence may be part of a partition.
	lossContested lossView = "contested"
	// lossUnobserved: this host has observed the other one for too short a time to tell, since it started or was
	// paused, and has seen nothing that contradicts a loss.
	lossUnobserved lossView = "unobserved"
	// lossReturned: the host fell silent alone, but had been back for a short time only after a silence before. It may
	// have records of that one which nobody has copied.
	lossReturned lossView = "returned"
	// lossConfirmed: the host fell silent alone.
	lossConfirmed lossView = "confirmed"
)

// LossConfirmed reports whether an unreachable host fell silent alone: the zones of the host and
// of this one were in reach of each other without a break from settleTime before the host's last
// answer until LossConfirmedAfter after it, and the host itself until its last answer. For a host of the
// own zone, that goes for all other zones. A host that is silent for a shorter time may be the first one of a partition.
func (p *Prober) LossConfirmed(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row != nil && row.loss == lossConfirmed
}

// Losses are the hosts among those that are always probed whose losses aren't contested, in several lists. A host may be
// in the last two and in one of the others.
type Losses struct {
	confirmed, returned, unobserved, replicated, saidReplicated []string
}

// Confirmed returns the hosts for which LossConfirmed is true.
func (l Losses) Confirmed() []string { return l.confirmed }

// Returned returns the hosts that fell silent alone, shortly after they were back from another silence.
func (l Losses) Returned() []string { return l.returned }

// Unobserved returns the hosts of which this one can't tell, among them those that may answer yet. They haven't answered
// since they were added or this host started, or it started or was paused too shortly before their last answer.
func (l Losses) Unobserved() []string { return l.unobserved }

// Replicated returns the hosts of which LostReplicated is true.
func (l Losses) Replicated() []string { return l.replicated }

// SaidReplicated returns the silent hosts that said with their last answer that others have what they had admitted. What they
// have admitted after it isn't known, unlike that of Replicated.
func (l Losses) SaidReplicated() []string { return l.saidReplicated }

// Losses returns what this host has seen of those that don't answer, or never have.
func (p *Prober) Losses() Losses {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out Losses
	for host, row := range p.peers {
		if !row.peer.AlwaysProbed {
			continue
		}
		if row.lostReplicated {
			out.replicated = append(out.replicated, host)
		}
		if row.unreachable && row.replicated {
			out.saidReplicated = append(out.saidReplicated, host)
		}
		switch {
		case row.loss == lossConfirmed:
			out.confirmed = append(out.confirmed, host)
		case row.loss == lossReturned:
			out.returned = append(out.returned, host)
		case row.loss == lossUnobserved || row.lastAnswer.IsZero():
			out.unobserved = append(out.unobserved, host)
		}
	}
	return out
}

// LossConfirmedAfter is the silence after which a host that is silent alone in its zone won't
// turn out to be the first one of a partition.
const LossConfirmedAfter = 2 * time.Second

// viewLoss decides what this host has seen of the loss of an unreachable one. A loss that was confirmed stays so: if
// the zone is cut off later, the host lacks what was admitted without it and says so.
func (p *Prober) viewLoss(now time.Time, row *peerRow) lossView {
	last := later(row.lastAnswer, row.addedAt)
	switch {
	case !row.unreachable:
		return lossContested
	case row.loss == lossConfirmed:
		return lossConfirmed
	case now.Sub(last) < LossConfirmedAfter:
		return lossContested
	case len(p.zones) == 0:
		return lossConfirmed
	case last.Sub(p.lastZoneBreak(row)) < settleTime:
		return lossContested
	}
	switch from := p.observedFrom(row); {
	case last.Sub(from) >= settleTime && last.Sub(row.breaks.backAt) < settleTime:
		return lossReturned
	case last.Sub(from) >= settleTime:
		return lossConfirmed
	}
	return lossUnobserved
}

// lastZoneBreak returns when one of the zones on which a host's loss depends was last out of reach, not counting pauses of
// this process. The caller holds the lock.
func (p *Prober) lastZoneBreak(row *peerRow) time.Time {
	var last time.Time
	for _, zone := range p.zonesOf(row) {
		switch b := p.breaksOf(zone); {
		case !p.zones[zone] && !b.isUnheard(p.Timer.Now()):
			return p.Timer.Now()
		default:
			last = later(last, b.backAt)
		}
	}
	return last
}

// observedFrom returns since when this host has observed another one and these zones. The caller holds the lock.
func (p *Prober) observedFrom(row *peerRow) time.Time {
	from := later(p.startedAt, row.breaks.heardFrom)
	for _, zone := range p.zonesOf(row) {
		if !p.zones[zone] {
			return p.Timer.Now()
		}
		from = later(from, p.breaksOf(zone).heardFrom)
	}
	return from
}

// zonesOf returns the other zones that have to be in reach for a loss to be confirmed: that of the host, or all if it
// is in the own one.
func (p *Prober) zonesOf(row *peerRow) []string {
	var out []string
	for zone := range p.zones {
		if row.peer.Zone == p.Zone || row.peer.Zone == zone {
			out = append(out, zone)
		}
	}
	return out
}

func (p *Prober) breaksOf(zone string) *breaks {
	b := p.zoneBreaks[zone]
	if b == nil {
		b = &breaks{}
		p.zoneBreaks[zone] = b
	}
	return b
}
