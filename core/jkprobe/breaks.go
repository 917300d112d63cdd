package jkprobe

import "time"

// breaks holds the last silences of a host or a zone. This process notices one as well if it was paused or short of
// processor time itself and hasn't read the answers, which says nothing about the others.
type breaks struct {
	// backAt is when the other side was last back.
	backAt time.Time
	// unheardAt is when it became unreachable, if this process was late then. heardFrom is when it was back
	// after that.
	unheardAt, heardFrom time.Time
}

// note notes that the other side became unreachable, or reachable again. Late is set if this process has been short of
// processor time just now.
func (b *breaks) note(now time.Time, reachable, late bool) {
	switch {
	case !reachable && late:
		b.unheardAt = now
	case !reachable:
		b.unheardAt = time.Time{}
	case b.isUnheard(now):
		b.heardFrom = now
	default:
		b.backAt = now
	}
}

// isUnheard reports whether the other side may have answered all the time since it became unreachable.
func (b *breaks) isUnheard(now time.Time) bool { return now.Sub(b.unheardAt) < LossConfirmedAfter }

// wasOwn reports whether the last silence was one of this process itself.
func (b *breaks) wasOwn() bool { return b.heardFrom.After(b.backAt) }

// isLate reports whether the answers of other hosts may be unread, since this process has been short of processor time
// just now. The caller holds the lock.
func (p *Prober) isLate(now time.Time) bool { return now.Sub(p.lateAt) < unreachableAfter }

// OwnSilence reports whether the last silence of a host that is back was one of this process itself, which was paused or
// short of processor time.
func (p *Prober) OwnSilence(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row != nil && row.breaks.wasOwn()
}
