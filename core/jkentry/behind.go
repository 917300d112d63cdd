package jkentry

import (
	"slices"
	"sync"
	"time"

	"jasmineknot.example/core/jkledger"
)

// copySources tracks from which other copies of the ledger this host has to copy records
// that it missed while it was down or out of reach. Copies in its own zone don't matter: it
// is behind as long as it may lack what the other zones have admitted without it.
type copySources struct {
	zone string
	// neededZones is the number of other zones of which one has each record that a majority
	// of the zones has admitted without this one.
	neededZones int

	mu      sync.Mutex
	sources map[string]*copySource
	// drops is how often this host has dropped spendings that others may count.
	drops int
}

// copySource is a copy on a host in another zone.
type copySource struct {
	zone string
	// pending is set while this host may lack records of the source.
	pending bool
	// sinceStart is set if nothing was copied from the source since this process started, so
	// that also records from before are missing.
	sinceStart bool
	// uncopiedSince is when a source last answered before it was out of reach, if nothing was copied from it since it
	// is back, and zero otherwise.
	uncopiedSince time.Time
	// droppedAt is the number of drops at the last one of spendings that the source may count, or 0 once these were copied.
	droppedAt int
	// wasSilent is set if the source itself was silent since then, and not only this process.
	wasSilent bool
}

func newCopySources(zone string, zones int) *copySources {
	majority := zones/2 + 1
	needed := zones - majority
	if zones > 1 {
		// In two zones another copy of this one may have been in the majority.
		needed = max(needed, 1)
	}
	return &copySources{zone: zone, neededZones: needed, sources: map[string]*copySource{}}
}

// add adds a host. Pending is set if this host may lack some of its records.
func (s *copySources) add(h HostEntry, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Zone == s.zone || s.sources[h.Host] != nil {
		return
	}
	s.sources[h.Host] = &copySource{zone: h.Zone, pending: pending, sinceStart: pending}
}

func (s *copySources) remove(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sources, host)
}

// returned notes that a host is in reach again, with the time of its last answer before, and whether the silence was one
// of this process.
func (s *copySources) returned(host string, lastAnswer time.Time, isOwn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.sources[host]
	if source == nil {
		return
	}
	source.pending = true
	source.wasSilent = source.wasSilent || !isOwn
	if source.uncopiedSince.IsZero() {
		source.uncopiedSince = lastAnswer
	}
}

// missed notes that this process was paused since a host last answered, which hasn't answered since, for so long that the
// others may have taken this host for lost.
func (s *copySources) missed(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if source := s.sources[host]; source != nil {
		source.pending = true
	}
}

// begin returns the number of drops, for copied. The records that are requested have to be read after that.
func (s *copySources) begin() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drops
}

// copied notes that all missing records of a host were copied since begin, unless some were dropped meanwhile. It reports
// whether none is missing.
func (s *copySources) copied(host string, begin int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.sources[host]
	if source == nil || source.droppedAt > begin {
		return false
	}
	source.pending, source.sinceStart, source.droppedAt, source.uncopiedSince, source.wasSilent = false, false, 0, time.Time{}, false
	return true
}

// isApart reports whether a source may have gone on with programs without this host: its zone isn't settled, or not all of
// its missing records were copied.
func (s *copySources) isApart(isSettled func(zone string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, source := range s.sources {
		if source.isApart(isSettled) {
			return true
		}
	}
	return false
}

func (s *copySource) isApart(isSettled func(zone string) bool) bool {
	return s.pending || !isSettled(s.zone)
}

// dropped notes that this host has dropped spendings that the sources which are apart may count. All records have to be
// copied from these. It returns those of which that wasn't noted already.
func (s *copySources) dropped(isSettled func(zone string) bool) (hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drops++
	for host, source := range s.sources {
		if !source.isApart(isSettled) {
			continue
		}
		if source.droppedAt == 0 {
			hosts = append(hosts, host)
		}
		source.pending, source.sinceStart, source.droppedAt = true, true, s.drops
	}
	return hosts
}

// lossViews are the hosts whose losses are harmless by what this host has seen, those whose losses are harmless since it has
// copied their records of an earlier silence, those of which it can't tell, and those that said themselves that none of their
// reservations is missing. Those of which it can't tell either, and whose turns of an earlier silence it may lack, are
// unobservedReplicated if they said so. It contests the losses of all others.
type lossViews struct {
	confirmed, copied, unobserved, replicated, unobservedReplicated []string
}

// judge decides what this host says of hosts that are out of reach. The arguments are those of jkprobe.Losses. A host that
// was back from a silence before may have records of it that this one lacks, until it has copied them. Nothing is copied
// from the own zone for this.
func (s *copySources) judge(confirmed, returned, unobserved, saidReplicated []string) lossViews {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out lossViews
	for _, host := range slices.Concat(confirmed, returned) {
		source, isReturned := s.sources[host], slices.Contains(returned, host)
		switch {
		case source == nil && isReturned, source != nil && source.missedAnswers():
			out.unobserved = append(out.unobserved, host)
		case source != nil && !source.uncopiedSince.IsZero():
		case isReturned:
			out.copied = append(out.copied, host)
		default:
			out.confirmed = append(out.confirmed, host)
		}
	}
	for _, host := range unobserved {
		switch source := s.sources[host]; {
		case source == nil || source.uncopiedSince.IsZero() || source.missedAnswers():
			out.unobserved = append(out.unobserved, host)
		case slices.Contains(saidReplicated, host):
			out.unobservedReplicated = append(out.unobservedReplicated, host)
		}
	}
	return out
}

// missedAnswers reports whether nothing was copied from a source since silences that were all ones of this process.
func (s *copySource) missedAnswers() bool { return !s.uncopiedSince.IsZero() && !s.wasSilent }

// uncopied returns all such hosts.
func (s *copySources) uncopied(now time.Time) []jkledger.Return {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []jkledger.Return
	for host, source := range s.sources {
		if !source.uncopiedSince.IsZero() {
			out = append(out, jkledger.Return{Host: host, Since: now.Sub(source.uncopiedSince)})
		}
	}
	return out
}

// isPending reports whether records of a host are missing, and whether nothing was copied
// from it since the start.
func (s *copySources) isPending(host string) (pending, sinceStart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.sources[host]
	if source == nil {
		return false, false
	}
	return source.pending, source.sinceStart
}

// behind reports whether this host may lack records that the other zones have admitted
// without it. A zone counts as copied if all its hosts were: one that doesn't answer may have been
// the only one with records of programs that it holds.
func (s *copySources) behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	zones, missing := map[string]bool{}, map[string]bool{}
	for _, source := range s.sources {
		zones[source.zone] = true
		if source.pending {
			missing[source.zone] = true
		}
	}
	return len(zones)-len(missing) < s.neededZones
}
