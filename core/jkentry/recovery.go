package jkentry

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkvault"
)

// uncertainRetryInterval is the time between two attempts to copy all records of a host whose
// own copy is incomplete.
const uncertainRetryInterval = 2 * time.Second

// recovery copies all records of the other storage hosts to a copy that is incomplete.
type recovery struct {
	*Storage
	// uncertainAt is when the incomplete copies were last asked again.
	uncertainAt time.Time
	// logged describes the progress that was last logged.
	logged string
}

// recover copies all records of the other storage hosts until this copy is certain. It goes on
// in the background with those that didn't answer.
func (t *Storage) recover(ctx context.Context) {
	r := &recovery{Storage: t, uncertainAt: t.timer.Now()}
	for {
		r.copyMissing(ctx)
		if t.vault.CheckComplete() {
			break
		}
		r.logProgress()
		if !t.timer.Wait(catchUpRetryInterval, ctx.Done()) {
			return
		}
	}
	go r.copyRest(ctx)
}

// copyRest copies the records of the hosts that the copy could do without, until each of them
// was copied or removed.
func (r *recovery) copyRest(ctx context.Context) {
	for {
		p := r.vault.Recovery()
		if len(p.Missing)+len(p.Uncertain) == 0 || !r.timer.Wait(catchUpRetryInterval, ctx.Done()) {
			return
		}
		r.copyMissing(ctx)
	}
}

// copyMissing tries once to copy from each host in reach of which records are missing.
func (r *recovery) copyMissing(ctx context.Context) {
	p := r.vault.Recovery()
	sources := p.Missing
	if r.timer.Now().Sub(r.uncertainAt) >= uncertainRetryInterval {
		r.uncertainAt = r.timer.Now()
		sources = slices.Concat(sources, p.Uncertain)
		if !r.vault.Certain() {
			sources = slices.Concat(sources, p.Behind)
		}
	}
	for _, source := range sources {
		begin := r.sources.begin()
		if r.probes.Reachable(source.Host) && r.vault.CatchUp(ctx, []string{source.Addr}, 0) {
			r.sources.copied(source.Host, begin)
		}
	}
}

// logProgress logs what the copy waits for, if that has changed.
func (r *recovery) logProgress() {
	p := r.vault.Recovery()
	missing, uncertain, left := sourceNames(p.Missing), sourceNames(p.Uncertain), notTakenOver(p)
	if progress := strings.Join([]string{missing, uncertain, left}, ";"); progress != r.logged {
		r.logged = progress
		r.log.Info("ledger incomplete", "missing", missing, "uncertain", uncertain, "not_taken_over", left)
	}
}

// notTakenOver describes for a log line which missing hosts' programs their successors haven't taken
// over from which others.
func notTakenOver(p jkvault.RecoveryProgress) string {
	var out []string
	for _, s := range p.Missing {
		if left := p.NotTakenOver[s.Host]; len(left) > 0 {
			out = append(out, s.Host+" from "+strings.Join(left, ","))
		}
	}
	return strings.Join(out, "; ")
}

func sourceNames(sources []jkvault.Source) string {
	var out []string
	for _, s := range sources {
		out = append(out, s.Host)
	}
	return strings.Join(out, ",")
}

// recoverySources returns the other hosts whose records an incomplete copy needs, and whether
// all of them are known. Hosts of a zone with few of them come first, since each has more, and
// those of the own zone last.
func (t *Storage) recoverySources() (sources []jkvault.Source, allKnown bool) {
	hosts := t.members.sources(t.settings.Host)
	inZone := map[string]int{}
	for _, h := range hosts {
		inZone[h.Zone]++
	}
	inZone[t.settings.Zone] = len(hosts) + 1
	slices.SortFunc(hosts, func(a, b HostEntry) int {
		return cmp.Or(cmp.Compare(inZone[a.Zone], inZone[b.Zone]), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Host, b.Host))
	})
	for _, h := range hosts {
		gone, successors := t.successors(h, hosts)
		sources = append(sources, jkvault.Source{
			Host: h.Host, Addr: h.Addr, Zone: h.Zone, Gone: gone, TakenOverBy: successors, Neighbour: h.Zone == t.settings.Zone,
		})
	}
	return sources, t.isListed()
}

// successors returns the hosts of a zone that are gone and the addresses of those that take over the
// programs of one of them: the others of its zone, once it has been silent for so long that it is
// suspected. What they have taken over they say with their records.
func (t *Storage) successors(of HostEntry, hosts []HostEntry) (gone []jkledger.GoneHost, successors []string) {
	if !of.Suspected || t.probes.Reachable(of.Host) {
		return nil, nil
	}
	for _, h := range hosts {
		switch {
		case h.Zone != of.Zone:
		case h.Suspected:
			gone = append(gone, jkledger.GoneHost{Host: h.Host, Announced: h.Announced})
		default:
			successors = append(successors, h.Addr)
		}
	}
	return gone, successors
}

// neighbours returns the other copies of the own zone that are in reach.
func (t *Storage) neighbours() []jkvault.Source {
	var out []jkvault.Source
	for _, c := range t.otherCopies() {
		if c.Zone == t.settings.Zone && t.probes.Reachable(c.Host) {
			out = append(out, jkvault.Source{Host: c.Host, Addr: c.Addr, Neighbour: true})
		}
	}
	return out
}

// anyHolds returns a function that reports whether one of several hosts is among those that keep a
// program's records.
func (t *Storage) anyHolds(hosts []string) func(program string) bool {
	var filters []func(program string) bool
	for _, host := range hosts {
		if t.members.isCopy(host) && !t.members.isLeaving(host) {
			filters = append(filters, t.holds(host))
		}
	}
	return func(program string) bool {
		return slices.ContainsFunc(filters, func(isHeld func(string) bool) bool { return isHeld(program) })
	}
}
