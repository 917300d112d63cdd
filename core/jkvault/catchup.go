package jkvault

import (
	"context"
	"time"

	"jasmineknot.example/core/jkledger"
)

// keyWindowSlack extends the time for which the requesting copy sends the keys of its
// records, since the other copy may have added the same records somewhat later.
const keyWindowSlack = time.Second

// pull copies the records that this copy lacks from the one at an address, and reports
// whether that copy is certain. It is limited to records that the other copy has added
// within a duration; zero means no limit.
func (v *Vault) pull(ctx context.Context, addr string, within time.Duration) (records int, certain bool, err error) {
	keyWindow := within
	if within > 0 {
		keyWindow += keyWindowSlack
	}
	r, err := v.receive(ctx, addr, &jkledger.SyncRequest{Within: within, Have: v.keys(keyWindow)})
	return r.records, r.last.Certain, err
}

// keys returns the keys of the records that this copy has added within a duration, or of all of
// them if it is zero.
func (v *Vault) keys(within time.Duration) []uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ledger.Keys(v.since(within))
}

// received is the answer of another copy.
type received struct {
	// host is the host that answered.
	host    string
	records int
	// last is the last part, which says what the copy vouches for.
	last jkledger.SyncPart
}

// receive adds the records that the copy at an address sends in answer to a request.
func (v *Vault) receive(ctx context.Context, addr string, request *jkledger.SyncRequest) (r received, err error) {
	stream, err := v.Pool.Open(ctx, addr, jkledger.TypeSync, request)
	if err != nil {
		return r, err
	}
	defer stream.Close()
	r.host = stream.Peer().Host
	for {
		m, err := stream.Receive(ctx)
		if err != nil {
			return r, err
		}
		var part jkledger.SyncPart
		if err := m.Decode(&part); err != nil {
			return r, err
		}
		v.mu.Lock()
		done, err := v.add(part.Records)
		v.mu.Unlock()
		if err != nil {
			return r, err
		}
		if err := <-done; err != nil {
			return r, err
		}
		r.records += len(part.Records)
		if m.Last {
			r.last = part
			return r, nil
		}
	}
}

// pullTimeout bounds the copying from one other vault. The largest ledger takes two
// seconds over a link of 130 Mbit/s.
const pullTimeout = 6 * time.Second

// Pause of a certain copy after each pull, which leaves the processor to the requests of
// entries: pauseRatio is relative to the time that the pull took, and maxPause bounds it.
// With these, a copy pulls from ten others within the four seconds after which entries
// rely on it.
const (
	pauseRatio = 2
	maxPause   = 300 * time.Millisecond
)

// CatchUp copies the records that the vaults at the addresses have added within a
// duration, or all their records if it is zero, and reports whether one of the vaults was
// certain. The copy becomes certain once it has copied all records of enough vaults. Only one
// call runs at a time, which leaves the processor to the requests of entries.
func (v *Vault) CatchUp(ctx context.Context, addrs []string, within time.Duration) bool {
	requested := v.Timer.Now()
	v.catchUpMu.Lock()
	defer v.catchUpMu.Unlock()
	foundCertain := false
	for _, addr := range addrs {
		window := within
		if window > 0 {
			window += v.Timer.Now().Sub(requested)
		}
		began := v.Timer.Now()
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		pull := v.pull
		if within == 0 && !v.openedCertain {
			pull = v.pullLost
		}
		n, certain, err := pull(pullCtx, addr, window)
		cancel()
		if err != nil {
			v.Log.Warn("ledger not copied", "from", addr, "error", err)
			continue
		}
		foundCertain = foundCertain || certain
		if v.certain.Load() {
			// Requests of entries wait while this host is busy copying.
			v.Timer.Wait(min(pauseRatio*v.Timer.Now().Sub(began), maxPause), ctx.Done())
		}
		v.Log.Info("ledger copied", "from", addr, "records", n, "certain", certain, "within", window)
	}
	return foundCertain
}
