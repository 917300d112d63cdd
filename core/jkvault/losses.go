package jkvault

import (
	"maps"
	"slices"

	"jasmineknot.example/core/jkledger"
)

// losses decides which of the sources that a copy lacks it can do without. The recovery's lock is held.
type losses struct {
	*recovery
	sources []Source
	// lost is the host of this copy if it has lost its records, and empty if it is new.
	lost string
	// maxLost is the number of disks that may be lost at once. Records are on one more.
	maxLost int
	// lacking are the sources whose records may not be among the copied ones, without those in together.
	lacking []Source
	// together are hosts that are gone and that the copy may do without if it can do without all of them.
	together []Source
}

// isAmong returns a function that reports whether a source is one of several.
func isAmong(hosts []Source) func(Source) bool {
	return func(s Source) bool {
		return slices.ContainsFunc(hosts, func(other Source) bool { return other.Host == s.Host })
	}
}

// takeOut moves a missing source whose programs were taken over out of the missing and the lacking
// ones, and reports whether there was one. Others may depend on it.
func (l *losses) takeOut(p *RecoveryProgress) bool {
	if i := slices.IndexFunc(p.Missing, l.isTakenOver); i >= 0 {
		l.move(p, p.Missing[i:i+1])
		return true
	}
	return l.takeOutTogether(p)
}

// takeOutTogether is takeOut for several hosts, not more than may be lost, whose successors couldn't take over from
// each other. A record is on one more disk, from which they have taken over, or which was copied.
func (l *losses) takeOutTogether(p *RecoveryProgress) bool {
	all := l.lacking
	l.together = slices.DeleteFunc(slices.Clone(p.Missing), func(s Source) bool { return len(s.Gone) == 0 })
	for {
		l.lacking = slices.DeleteFunc(slices.Clone(all), isAmong(l.together))
		left := slices.DeleteFunc(slices.Clone(l.together), func(s Source) bool { return !l.isTakenOver(s) })
		if len(left) == len(l.together) {
			break
		}
		l.together = left
	}
	taken := l.together
	l.lacking, l.together = all, nil
	if len(taken) == 0 || len(taken) > l.maxLost {
		return false
	}
	l.move(p, taken)
	return true
}

// move moves hosts out of the missing and the lacking ones.
func (l *losses) move(p *RecoveryProgress, hosts []Source) {
	hosts = slices.Clone(hosts)
	p.TakenOver = append(p.TakenOver, hosts...)
	p.Missing = slices.DeleteFunc(p.Missing, isAmong(hosts))
	l.lacking = slices.DeleteFunc(l.lacking, isAmong(hosts))
}

// isTakenOver reports whether the records of a host that is gone are among the copied ones. Its
// successors, which are the others of its zone, have what it shared with any host from which they
// have taken over. What one of them had that has lost its records is on a disk of another zone that was
// copied, if these zones have seen that the host fell silent alone, unless as many of their hosts are
// lacking as may be lost.
func (l *losses) isTakenOver(s Source) bool {
	if len(s.Gone) == 0 {
		return false
	}
	isInOtherZone := l.lackingElsewhere(s) < l.maxLost && l.isLossConfirmed(s)
	isOwn := s.Neighbour && l.lost != ""
	if isOwn && !isInOtherZone {
		return false
	}
	for _, addr := range s.TakenOverBy {
		successor, copied := l.copied[addr]
		switch {
		case !copied:
			return false
		case successor.hasLostRecords() && isInOtherZone:
		case !successor.certain || len(l.leftBy(successor, s)) > 0:
			return false
		}
	}
	return isOwn || len(s.TakenOverBy) > 0
}

// isLossConfirmed reports whether all hosts of another zone were copied, and have confirmed that a host's loss is
// harmless, or have copied their programs since it was marked, from all hosts whose records may be lacking. While zones
// are cut off, turns are on disks of fewer ones. The zone's part of them may be on the disk that this copy has lost.
func (l *losses) isLossConfirmed(s Source) bool {
	confirmed := map[string]bool{}
	for _, other := range l.sources {
		if other.Zone == s.Zone || other.Neighbour && l.lost != "" {
			continue
		}
		copied, ok := l.copied[other.Addr]
		all, known := confirmed[other.Zone]
		isLost := func(h jkledger.GoneHost) bool { return h.Host == s.Host && slices.Contains(s.Gone, h) }
		confirmed[other.Zone] = (all || !known) && ok && copied.certain &&
			(slices.ContainsFunc(copied.lostHosts, isLost) || len(l.leftBy(copied, s, l.lostSuccessors(s)...)) == 0)
	}
	for _, all := range confirmed {
		if all {
			return true
		}
	}
	return false
}

// lackingElsewhere returns the number of hosts in other zones than a source's whose records are lacking.
func (l *losses) lackingElsewhere(s Source) int {
	n := 0
	if l.lost != "" && !s.Neighbour {
		n++
	}
	for _, other := range l.lacking {
		if other.Zone != s.Zone {
			n++
		}
	}
	for _, other := range l.together {
		if other.Zone != s.Zone && l.hasLostSuccessor(other) {
			n++
		}
	}
	return n
}

// hasLostSuccessor reports whether a successor of a host that is gone has lost records, or this copy is one
// that has.
func (l *losses) hasLostSuccessor(s Source) bool {
	return s.Neighbour && l.lost != "" || len(l.lostSuccessors(s)) > 0
}

// lostSuccessors returns the successors of a host that is gone that have lost records.
func (l *losses) lostSuccessors(s Source) []string {
	var out []string
	for _, addr := range s.TakenOverBy {
		if successor := l.copied[addr]; successor.hasLostRecords() {
			out = append(out, successor.host)
		}
	}
	return out
}

// isSilenceNoted reports whether the other zones have noted that a host which is gone fell silent alone, by one of several
// silences: one host of each that has kept its disk.
func (l *losses) isSilenceNoted(gone jkledger.GoneHost, zone string, seen []jkledger.Silence) bool {
	isSeen := func(s jkledger.Silence) bool { return s.Host == gone.Host && slices.Contains(seen, s) }
	noted := map[string]bool{}
	for _, other := range l.sources {
		if copied := l.copied[other.Addr]; other.Zone != zone && copied.host == other.Host && copied.certain {
			noted[other.Zone] = noted[other.Zone] || slices.Contains(copied.lostHosts, gone) && slices.ContainsFunc(copied.silences, isSeen)
		}
	}
	return len(noted) > 0 && !slices.Contains(slices.Collect(maps.Values(noted)), false)
}

// leftBy returns the lacking hosts, and others that are given, from which a successor hasn't taken over the programs of
// a host since that took no more records. For a host of another zone, they are those from which it hasn't copied its own.
func (l *losses) leftBy(successor copiedSource, gone Source, others ...string) []string {
	var out []string
	check := func(host string) {
		isCovered := func(t jkledger.Takeover) bool {
			hosts := slices.Clone(gone.Gone)
			for i, h := range hosts {
				hosts[i].Suspected = !l.isSilenceNoted(h, gone.Zone, t.Silences)
			}
			return t.Covers(hosts, host)
		}
		if host != gone.Host && !slices.ContainsFunc(successor.takeovers, isCovered) {
			out = append(out, host)
		}
	}
	if l.lost != "" {
		check(l.lost)
	}
	for _, s := range l.lacking {
		check(s.Host)
	}
	for _, host := range others {
		check(host)
	}
	return out
}

// notTakenOver returns the lacking hosts from which not all copied successors of a source have taken over.
func (l *losses) notTakenOver(s Source) []string {
	var out []string
	for _, addr := range s.TakenOverBy {
		if successor, copied := l.copied[addr]; copied {
			out = append(out, l.leftBy(successor, s)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
