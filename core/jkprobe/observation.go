package jkprobe

import (
	"fmt"
	"time"
)

// Observation is what this host has observed of another one.
type Observation struct {
	reachable, lossConfirmed, zoneReachable bool
	silent                                  time.Duration
	// zoneFor is the time since the zone last became reachable or unreachable, and zero if it never did.
	zoneFor time.Duration
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
	o := Observation{
		reachable: !row.unreachable, lossConfirmed: row.loss == lossConfirmed, zoneReachable: !known || reachable,
		silent: now.Sub(later(row.lastAnswer, row.addedAt)),
	}
	if changed := later(p.zoneChangedAt[row.peer.Zone], p.startedAt); !changed.IsZero() {
		o.zoneFor = now.Sub(changed)
	}
	return o
}

// String returns the observation for a log line: whether the host answers, the time since its
// last answer, and whether its zone answers and since when. The latter counts from the last start or
// pause of this process at most, and is "always" if the process started with the whole system and has seen no change.
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
	since := "always"
	if o.zoneFor > 0 {
		since = o.zoneFor.Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%s last_answer=%s zone=%s since=%s", host, o.silent.Round(time.Millisecond), zone, since)
}
