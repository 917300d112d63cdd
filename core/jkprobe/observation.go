package jkprobe

import (
	"fmt"
	"time"
)

// Observation is what this host has observed of another one.
type Observation struct {
	reachable, lossConfirmed, zoneReachable bool
	silent, zoneFor                         time.Duration
}

// Observe returns what this host has observed of another one. An unknown host counts as
// reachable.
func (p *Prober) Observe(host string) Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	if row == nil {
		return Observation{reachable: true, zoneReachable: true}
	}
	now := p.Timer.Now()
	reachable, known := p.zones[row.peer.Zone]
	return Observation{
		reachable: !row.unreachable, lossConfirmed: row.loss == lossConfirmed, zoneReachable: !known || reachable,
		silent: now.Sub(later(row.lastAnswer, row.addedAt)), zoneFor: now.Sub(later(p.zoneChangedAt[row.peer.Zone], p.startedAt)),
	}
}

// String returns the observation for a log line: whether the host answers, the time since its
// last answer, and whether its zone answers and since when. The latter counts from the start of
// this process at most.
func (o Observation) String() string {
	host, zone := "reachable", "reachable"
	if !o.reachable {
		host = "unreachable"
	}
	if o.lossConfirmed {
		host = "lost"
	}
	if !o.zoneReachable {
		zone = "unreachable"
	}
	return fmt.Sprintf("%s last_answer=%s zone=%s since=%s", host, o.silent.Round(time.Millisecond), zone, o.zoneFor.Round(time.Millisecond))
}
