package jkvault

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkwire"
)

// Source is another copy of the ledger that may have records which this one lacks.
type Source struct {
	Host string
	Addr string
	Zone string
	// Gone are the hosts of the zone that are gone, if this one is; nil for others.
	Gone []jkledger.GoneHost
	// TakenOverBy are the addresses of the copies that take over the programs of a host that is
	// gone: the others of its zone. Its records aren't missing once all of these were copied, if they
	// have taken over from all whose records may be lacking.
	TakenOverBy []string
	// Neighbour is set if the copy is in the zone of this one.
	Neighbour bool
}

// recovery tracks of which other copies a vault has copied all records since it opened
// without those that it ever acknowledged.
type recovery struct {
	mu sync.Mutex
	// copied holds by address the copies whose records were copied.
	copied  map[string]copiedSource
	records int
	// openMisses is the number of chains that the copy lacked and that weren't logged yet.
	openMisses   int
	missLoggedAt time.Time
}

// copiedSource is a copy of which all records were copied that this copy may have acknowledged.
type copiedSource struct {
	// host is the host that sent the records. The address of a source that is down may have been
	// given to another host, whose records aren't those of the source.
	host string
	// certain is set if the copy was certain, and recovered if it had lost its records before.
	certain, recovered bool
	// neighbours are the hosts of this copy's zone in whose place it may have taken records.
	neighbours []string
	// takeovers, lostHosts and silences are what the copy said with its records, as in SyncPart.
	takeovers []jkledger.Takeover
	lostHosts []jkledger.GoneHost
	silences  []jkledger.Silence
}

// hasLostRecords reports whether the copy may lack records that it acknowledged, or did so before it copied them
// from others.
func (c copiedSource) hasLostRecords() bool { return !c.certain || c.recovered }

// RecoveryProgress is what an incomplete copy has copied from the known sources.
type RecoveryProgress struct {
	// Missing are the sources of which not all records were copied.
	Missing []Source
	// Uncertain are those that were copied and lacked records themselves.
	Uncertain []Source
	// TakenOver are those that the copy can do without, since their zones have taken their programs over.
	TakenOver []Source
	// NotTakenOver holds for missing sources from which hosts their successors haven't taken over, and
	// Behind are these successors.
	NotTakenOver map[string][]string
	Behind       []Source
	// foundCertain is set once the records of a certain copy were copied.
	foundCertain bool
}

// noteCopied records that all records of the copy at an address were copied, also those that were
// taken in place of neighbours.
func (r *recovery) noteCopied(addr string, from received, neighbours []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.copied[addr]
	if known.host != from.host {
		known = copiedSource{}
	}
	r.copied[addr] = copiedSource{
		host: from.host, certain: known.certain || from.last.Certain, recovered: from.last.Recovered,
		neighbours: append(known.neighbours, neighbours...), takeovers: from.last.Takeovers, lostHosts: from.last.LostHosts, silences: from.last.Silences,
	}
	r.records += from.records
}

// progress returns what was copied from the sources. Lost is the host of this copy if it has lost
// its records, and empty if it is new. Records are on one disk more than maxLost.
func (r *recovery) progress(sources []Source, lost string, maxLost int) RecoveryProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := RecoveryProgress{NotTakenOver: map[string][]string{}}
	for _, s := range r.copied {
		out.foundCertain = out.foundCertain || s.certain
	}
	for _, s := range sources {
		switch {
		case !r.isCopied(s, sources):
			out.Missing = append(out.Missing, s)
		case !r.copied[s.Addr].certain:
			out.Uncertain = append(out.Uncertain, s)
		}
	}
	l := losses{recovery: r, sources: sources, lost: lost, maxLost: maxLost, lacking: slices.Concat(out.Missing, out.Uncertain)}
	for l.takeOut(&out) {
	}
	for _, s := range out.Missing {
		if left := l.notTakenOver(s); len(left) > 0 {
			out.NotTakenOver[s.Host] = left
		}
	}
	isBehind := func(s Source) bool {
		return r.copied[s.Addr].certain && slices.ContainsFunc(out.Missing, func(gone Source) bool {
			return slices.Contains(gone.TakenOverBy, s.Addr) && len(l.leftBy(r.copied[s.Addr], gone)) > 0
		})
	}
	for _, s := range sources {
		if isBehind(s) {
			out.Behind = append(out.Behind, s)
		}
	}
	return out
}

// isCopied reports whether the records of a source were copied, also those that this copy may have
// taken in place of the neighbours that were copied since. The caller holds the lock.
func (r *recovery) isCopied(s Source, sources []Source) bool {
	known, copied := r.copied[s.Addr]
	copied = copied && known.host == s.Host
	if !copied || s.Neighbour {
		return copied
	}
	return !slices.ContainsFunc(sources, func(n Source) bool {
		return n.Neighbour && r.copied[n.Addr].certain && !slices.Contains(known.neighbours, n.Host)
	})
}

// pullLost copies what this copy may have acknowledged before it lost its records from the one at
// an address. That includes records that it took in place of a neighbour, unless that one has
// them as well. An uncertain neighbour copies what it lacks itself. There is no limit of time.
func (v *Vault) pullLost(ctx context.Context, addr string, _ time.Duration) (records int, certain bool, err error) {
	request := &jkledger.SyncRequest{Have: v.keys(0)}
	var hosts []string
	for host, answer := range v.neighbours(ctx, addr) {
		hosts = append(hosts, host)
		if answer.Certain {
			request.Neighbours = append(request.Neighbours, host)
			request.NeighboursHave = append(request.NeighboursHave, answer.Keys...)
		}
	}
	from, err := v.receive(ctx, addr, request)
	if err != nil {
		return 0, false, err
	}
	v.recovery.noteCopied(addr, from, hosts)
	v.CheckComplete()
	return from.records, from.last.Certain, nil
}

// neighbourKeysLifetime is how long the answer of a neighbour is used, also that it has none. With
// older keys, other copies send records that the neighbour has added since.
const neighbourKeysLifetime = 2 * time.Second

// neighbourKeysTimeout bounds a call of a neighbour. Its silence is noticed in that time.
const neighbourKeysTimeout = time.Second

// neighbourKeys is what a neighbour had at a time, or nil if it didn't answer.
type neighbourKeys struct {
	answer *jkledger.KeysAnswer
	at     time.Time
}

// neighbours returns what the neighbours that answer have, by their hosts. For a neighbour that is
// the source itself there are none, since what it has is on another disk already.
func (v *Vault) neighbours(ctx context.Context, source string) map[string]*jkledger.KeysAnswer {
	if v.Neighbours == nil {
		return nil
	}
	out := map[string]*jkledger.KeysAnswer{}
	for _, n := range v.Neighbours() {
		if n.Addr == source {
			return nil
		}
		known, ok := v.neighbourKeys[n.Host]
		if !ok || v.Timer.Now().Sub(known.at) > neighbourKeysLifetime {
			known = neighbourKeys{answer: v.callNeighbour(ctx, n), at: v.Timer.Now()}
			v.neighbourKeys[n.Host] = known
		}
		if known.answer != nil {
			out[n.Host] = known.answer
		}
	}
	return out
}

// callNeighbour returns the keys of a neighbour's records, or nil if it doesn't answer. Its programs
// are asked for once it does.
func (v *Vault) callNeighbour(ctx context.Context, n Source) *jkledger.KeysAnswer {
	ctx, cancel := context.WithTimeout(ctx, neighbourKeysTimeout)
	defer cancel()
	var a jkledger.KeysAnswer
	if err := v.Pool.Call(ctx, n.Addr, jkledger.TypeKeys, &jkledger.KeysRequest{}, &a); err != nil {
		v.Log.Warn("keys not copied", "from", n.Host, "error", err)
		return nil
	}
	return &a
}

// handleKeys sends the keys of all records.
func (v *Vault) handleKeys(s *jkwire.ServerStream) error {
	certain := v.certain.Load()
	return s.End(&jkledger.KeysAnswer{Keys: v.keys(0), Certain: certain})
}

// isComplete reports whether the copied records include all that were acknowledged, if as many
// other disks as given are lost at most. Each acknowledged record is on one disk more than may
// be lost, and an uncertain source is one of the losses.
func (p RecoveryProgress) isComplete(otherLosses int) bool {
	return p.foundCertain && len(p.Missing) <= max(otherLosses-len(p.Uncertain), 0)
}

// Recovery returns what this copy has copied since it opened without all of its records.
func (v *Vault) Recovery() RecoveryProgress {
	sources, _ := v.sources()
	return v.progress(sources)
}

func (v *Vault) progress(sources []Source) RecoveryProgress {
	lost := v.Host
	if v.isNew() {
		lost = ""
	}
	return v.recovery.progress(sources, lost, v.MaxLostDisks)
}

func (v *Vault) isNew() bool { return v.IsNew != nil && v.IsNew() }

func (v *Vault) sources() (sources []Source, allKnown bool) {
	if v.Sources == nil {
		return nil, true
	}
	return v.Sources()
}

// otherLosses returns the number of disks that may be lost besides the one of this copy. A new
// host has acknowledged nothing that it could have lost.
func (v *Vault) otherLosses() int {
	if v.isNew() {
		return v.MaxLostDisks
	}
	return v.MaxLostDisks - 1
}

// CheckComplete marks the copy as certain if it has copied enough, and reports whether it is.
func (v *Vault) CheckComplete() bool {
	if v.certain.Load() {
		return true
	}
	sources, allKnown := v.sources()
	p := v.progress(sources)
	if !allKnown || !p.isComplete(v.otherLosses()) {
		return false
	}
	if v.certain.Swap(true) {
		return true
	}
	v.writeCertainMarker()
	v.recovery.mu.Lock()
	records := v.recovery.records
	v.recovery.mu.Unlock()
	v.Log.Info("ledger complete", "sources", len(sources), "excused", hostNames(p.Missing), "taken_over", hostNames(p.TakenOver), "uncertain", hostNames(p.Uncertain), "records", records,
		"new_host", v.isNew(), "took", v.Timer.Now().Sub(v.openedAt))
	return true
}

func hostNames(sources []Source) string {
	out := make([]string, len(sources))
	for i, s := range sources {
		out[i] = s.Host
	}
	return strings.Join(out, ",")
}

// missLogInterval is the least time between two log lines about chains that an incomplete copy
// lacks.
const missLogInterval = time.Second

// logMiss logs that this copy lacks a turn while it is incomplete.
func (v *Vault) logMiss(request string) {
	now := v.Timer.Now()
	v.recovery.mu.Lock()
	v.recovery.openMisses++
	misses := v.recovery.openMisses
	due := now.Sub(v.recovery.missLoggedAt) >= missLogInterval
	if due {
		v.recovery.openMisses, v.recovery.missLoggedAt = 0, now
	}
	v.recovery.mu.Unlock()
	if due {
		v.Log.Info("turn missing, ledger incomplete", "request", request, "misses", misses, "uncopied", hostNames(v.Recovery().Missing))
	}
}
