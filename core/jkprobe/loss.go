package jkprobe

import "time"

// SettledWhenLost reports whether the zones of an unreachable host and of this one were in
// reach of each other without a break from settleTime before the host's last answer until
// now, or until lossConfirmedAfter after it. For a host of the own zone, that goes for all
// other zones.
func (p *Prober) SettledWhenLost(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row != nil && p.wasSettled(row)
}

// SettledLosses returns the unreachable hosts for which SettledWhenLost is true.
func (p *Prober) SettledLosses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreachableHosts == 0 {
		return nil
	}
	var out []string
	for host, row := range p.peers {
		if row.unreachable && p.wasSettled(row) {
			out = append(out, host)
		}
	}
	return out
}

// lossConfirmedAfter is the silence after which a host that is silent alone in its zone won't
// turn out to be the first one of a partition.
const lossConfirmedAfter = 2 * time.Second

// confirmLoss remembers that an unreachable host fell silent alone. If its zone is cut off
// later, the host lacks what was admitted without it and says so.
func (p *Prober) confirmLoss(now time.Time, row *peerRow) {
	silent := now.Sub(later(row.lastAnswer, row.addedAt))
	row.lossConfirmed = row.unreachable && (row.lossConfirmed || silent >= lossConfirmedAfter && p.wasSettled(row))
}

// wasSettled implements SettledWhenLost. The caller holds the lock.
func (p *Prober) wasSettled(row *peerRow) bool {
	if row.lossConfirmed {
		return true
	}
	last := later(row.lastAnswer, row.addedAt)
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
