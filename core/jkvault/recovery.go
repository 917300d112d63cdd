package jkvault

import (
	"strings"
	"sync"
	"time"
)

// Source is another copy of the ledger that may have records which this one lacks.
type Source struct {
	Host string
	Addr string
	// TakenOverBy are the addresses of the copies that have taken over the programs of a host
	// that is gone. Its records aren't missing once all of these were copied.
	TakenOverBy []string
}

// recovery tracks of which other copies a vault has copied all records since it opened
// without those that it ever acknowledged.
type recovery struct {
	mu sync.Mutex
	// copied reports by address whether the copy was certain.
	copied  map[string]bool
	records int
	// openMisses is the number of chains that the copy lacked and that weren't logged yet.
	openMisses   int
	missLoggedAt time.Time
}

// RecoveryProgress is what an incomplete copy has copied from the known sources.
type RecoveryProgress struct {
	// Missing are the sources of which not all records were copied.
	Missing []Source
	// Uncertain are those that were copied and lacked records themselves.
	Uncertain []Source
	// foundCertain is set once the records of a certain copy were copied.
	foundCertain bool
}

// noteCopied records that all records of the copy at an address were copied.
func (r *recovery) noteCopied(addr string, records int, certain bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copied[addr] = r.copied[addr] || certain
	r.records += records
}

func (r *recovery) progress(sources []Source) RecoveryProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out RecoveryProgress
	for _, certain := range r.copied {
		out.foundCertain = out.foundCertain || certain
	}
	for _, s := range sources {
		certain, copied := r.copied[s.Addr]
		switch {
		case !copied && r.isTakenOver(s):
		case !copied:
			out.Missing = append(out.Missing, s)
		case !certain:
			out.Uncertain = append(out.Uncertain, s)
		}
	}
	return out
}

// isTakenOver reports whether the copies that have taken over from a source were certain when
// their records were copied. The caller holds the lock.
func (r *recovery) isTakenOver(s Source) bool {
	for _, addr := range s.TakenOverBy {
		if !r.copied[addr] {
			return false
		}
	}
	return len(s.TakenOverBy) > 0
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
	return v.recovery.progress(sources)
}

func (v *Vault) sources() (sources []Source, allKnown bool) {
	if v.Sources == nil {
		return nil, true
	}
	return v.Sources()
}

// otherLosses returns the number of disks that may be lost besides the one of this copy. A new
// host has acknowledged nothing that it could have lost.
func (v *Vault) otherLosses() int {
	if v.IsNew != nil && v.IsNew() {
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
	p := v.recovery.progress(sources)
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
	v.Log.Info("ledger complete", "sources", len(sources), "excused", hostNames(p.Missing), "uncertain", hostNames(p.Uncertain), "records", records,
		"new_host", v.IsNew != nil && v.IsNew(), "took", v.Timer.Now().Sub(v.openedAt))
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
