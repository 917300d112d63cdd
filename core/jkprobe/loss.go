package jkprobe

import "time"

// LossConfirmed reports whether an unreachable host fell silent alone: the zones of the host and
// of this one were in reach of each other without a break from settleTime before the host's last
// answer until LossConfirmedAfter after it, and the host itself until its last answer. For a host of the
// own zone, that goes for all other zones. A host that is silent for a shorter time may be the first one of a partition.
func (p *Prober) LossConfirmed(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row != nil && row.lossConfirmed
}

// Losses returns the unreachable hosts among those that are always probed: those for which
// LossConfirmed is true, and those that haven't answered since they were added.
func (p *Prober) Losses() (confirmed, neverReached []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreachableHosts == 0 {
		return nil, nil
	}
	for host, row := range p.peers {
		switch {
		case !row.unreachable || !row.peer.AlwaysProbed:
		case row.lossConfirmed:
			confirmed = append(confirmed, host)
		case row.lastAnswer.IsZero():
			neverReached = append(neverReached, host)
		}
	}
	return confirmed, neverReached
}

// LossConfirmedAfter is the silence after which a host that is silent alone in its zone won't
// turn out to be the first one of a partition.
const LossConfirmedAfter = 2 * time.Second

// confirmLoss remembers that an unreachable host fell silent alone. If its zone is cut off
// later, the host lacks what was admitted without it and says so.
func (p *Prober) confirmLoss(now time.Time, row *peerRow) {
	silent := now.Sub(later(row.lastAnswer, row.addedAt))
	row.lossConfirmed = row.unreachable && (row.lossConfirmed || silent >= LossConfirmedAfter && p.isSilentAlone(row))
}

// isSilentAlone reports whether the zones of a silent host and of this one have been in reach of
// each other since settleTime before the host's last answer, and the host was. One that was back for a shorter
// time may have records of a cut that nobody has copied. The caller holds the lock.
func (p *Prober) isSilentAlone(row *peerRow) bool {
	last := later(row.lastAnswer, row.addedAt)
	if len(p.zones) > 0 && last.Sub(row.backAt) < settleTime {
		return false
	}
	for zone, reachable := range p.zones {
		if row.peer.Zone != p.Zone && row.peer.Zone != zone {
			continue
		}
		if !reachable || last.Sub(later(p.zoneChangedAt[zone], p.startedAt)) < settleTime {
			return false
		}
	}
	return true
}
