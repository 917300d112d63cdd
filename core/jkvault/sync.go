package jkvault

import (
	"slices"
	"strings"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkwire"
)

// Bounds of one SyncPart message.
const (
	maxPartRecords = 500
	maxPartBytes   = 512 << 10
)

// handleSync sends the records that the requesting copy lacks, out of those whose
// programs its host keeps.
func (v *Vault) handleSync(s *jkwire.ServerStream) error {
	var m jkledger.SyncRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	// The records include what both say.
	certain, takeovers := v.certain.Load(), v.takeovers.all()
	since, begin := v.since(m.Within), v.replication.begin()
	v.mu.Lock()
	records := v.ledger.Records(since, keySet(m.Have))
	v.mu.Unlock()
	missing := len(records)
	if len(m.Gone) > 0 {
		records = v.takenOver(records, s.Peer().Host, m.Gone)
	} else {
		records = v.requested(records, s.Peer().Host, &m)
	}
	v.Log.Info("ledger sent", "to", s.Peer().Host, "records", len(records), "withheld", missing-len(records), "gone", strings.Join(m.Gone, ","))
	partStart, size := 0, 0
	for i, r := range records {
		if r.Turn != nil {
			size += len(r.Turn.Input) + len(r.Turn.Output)
		}
		if i-partStart < maxPartRecords && size < maxPartBytes {
			continue
		}
		if err := s.Send(&jkledger.SyncPart{Records: records[partStart:i], Certain: certain}); err != nil {
			return err
		}
		partStart, size = i, 0
	}
	lost, silences := v.takeovers.confirmed()
	err := s.End(&jkledger.SyncPart{
		Records: records[partStart:], Certain: certain, Recovered: !v.openedCertain, Takeovers: takeovers, LostHosts: lost, Silences: silences,
	})
	if err == nil {
		v.noteCopied(s.Peer().Host, begin, &m, since)
	}
	return err
}

func keySet(keys []uint64) map[uint64]bool {
	out := make(map[uint64]bool, len(keys))
	for _, key := range keys {
		out[key] = true
	}
	return out
}

// requested returns the records that another copy asks for: those of the programs that its host
// holds, and those of its neighbours' programs that these lack.
func (v *Vault) requested(records []jkledger.Record, host string, m *jkledger.SyncRequest) []jkledger.Record {
	if v.Holds == nil {
		return records
	}
	if v.AnyHolds == nil || len(m.Neighbours) == 0 {
		return filterRecords(records, v.Holds(host))
	}
	isHeld, isNeighbours := oncePerProgram(v.Holds(host)), oncePerProgram(v.AnyHolds(m.Neighbours))
	have := keySet(m.NeighboursHave)
	return slices.DeleteFunc(records, func(r jkledger.Record) bool {
		program := r.Program()
		return !isHeld(program) && (!isNeighbours(program) || have[r.Key()])
	})
}

// filterRecords returns the records whose programs are held.
func filterRecords(records []jkledger.Record, isHeld func(program string) bool) []jkledger.Record {
	isHeld = oncePerProgram(isHeld)
	return slices.DeleteFunc(records, func(r jkledger.Record) bool { return !isHeld(r.Program()) })
}

// oncePerProgram returns a function that calls isHeld once for each program, since a program has
// several records.
func oncePerProgram(isHeld func(program string) bool) func(program string) bool {
	known := map[string]bool{}
	return func(program string) bool {
		held, ok := known[program]
		if !ok {
			held = isHeld(program)
			known[program] = held
		}
		return held
	}
}
