package jkvault

import (
	"context"
	"slices"

	"jasmineknot.example/core/jkledger"
)

// TakeOver copies the records of the programs that this host has taken over from hosts of its
// zone that are gone, and remembers that for the silent ones if the vault at the address was certain. It reports
// whether that one sent all that it has. Without hosts that are gone, it copies the records of all programs that
// this host holds. Like CatchUp, it waits for other calls to end.
func (v *Vault) TakeOver(ctx context.Context, addr string, gone []string, silent Silent) (sent bool) {
	v.catchUpMu.Lock()
	defer v.catchUpMu.Unlock()
	request := &jkledger.SyncRequest{Gone: gone}
	if len(gone) == 0 {
		request.Have = v.keys(0)
	} else {
		request.Have = v.takenOverKeys(gone)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	began := v.Timer.Now()
	r, err := v.receive(ctx, addr, request)
	if err != nil {
		v.Log.Warn("programs not taken over", "from", addr, "error", err)
		return false
	}
	if r.last.Certain {
		if err := v.takeovers.end(silent, r.host); err != nil {
			v.Log.Warn("takeovers not written", "error", err)
		}
	}
	v.Timer.Wait(min(pauseRatio*v.Timer.Now().Sub(began), maxPause), ctx.Done())
	v.Log.Info("programs taken over", "from", addr, "records", r.records, "certain", r.last.Certain)
	return true
}

// takenOverKeys returns the keys of the records of the programs that this host has taken over.
func (v *Vault) takenOverKeys(gone []string) []uint64 {
	v.mu.Lock()
	known := v.ledger.Records(v.since(0), nil)
	v.mu.Unlock()
	var out []uint64
	for _, record := range v.takenOver(known, v.Host, gone) {
		out = append(out, record.Key())
	}
	return out
}

// HasTakenOver reports whether TakeOver has copied from a host since others were silent.
func (v *Vault) HasTakenOver(silent []jkledger.GoneHost, from string) bool {
	return slices.ContainsFunc(v.Takeovers(), func(t jkledger.Takeover) bool { return t.Covers(silent, from) })
}

// takenOver returns the records of the programs that a host keeps only because others of its
// zone are gone.
func (v *Vault) takenOver(records []jkledger.Record, host string, gone []string) []jkledger.Record {
	if v.TakesOver == nil {
		return nil
	}
	return filterRecords(records, v.TakesOver(host, gone))
}
