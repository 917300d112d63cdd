// Package jkvault is a copy of the ledger on a host with a disk.
package jkvault

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// Options holds what a vault needs.
type Options struct {
	Timer  *jktimer.Service
	Log    jklog.Logger
	Folder string
	Pool   *jkwire.Pool
	// Holds returns a function that reports whether another host keeps a program's
	// records; nil means that it keeps all.
	Holds func(host string) func(program string) bool
	// First is set where the whole system starts for the first time, so that an
	// empty folder is all there is.
	First bool
}

// Vault serves one copy of the ledger.
type Vault struct {
	Options

	opened   time.Time
	certain  atomic.Bool
	catching sync.Mutex

	mu      sync.Mutex
	ledger  *jkledger.Ledger
	log     *jkledger.Log
	waiting []chan error
	wake    chan struct{}
	stopped chan struct{}
	failed  error
	written int64
}

// lastRecords is the number of records at the end of the log that other copies may
// lack after a restart: what a busy host of the users' fleets writes in four seconds.
const lastRecords = 2500

// expireEvery is the interval at which old records are forgotten.
const expireEvery = 5 * time.Second

// Open reads the folder and starts the vault.
func Open(o Options) (*Vault, error) {
	v := &Vault{Options: o, ledger: jkledger.New(), wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	records := 0
	var last []jkledger.Record
	log, err := jkledger.OpenLog(o.Folder, func(r jkledger.Record) {
		records++
		if last = append(last, r); len(last) > lastRecords {
			v.ledger.Restore(o.Timer.Now(), last[0])
			last = last[1:]
		}
	})
	if err != nil {
		return nil, err
	}
	v.log, v.opened = log, o.Timer.Now()
	for _, r := range last {
		v.ledger.Apply(o.Timer.Now(), r)
	}
	if o.First || v.isMarked() {
		v.setCertain()
	}
	o.Log.Info("ledger opened", "records", records, "first", o.First, "certain", v.certain.Load())
	o.Timer.Every(expireEvery, v.expire)
	go v.commit()
	return v, nil
}

// marker is the file that tells after a restart that the folder holds all that
// the copy ever acknowledged. A lost disk has lost it as well.
const marker = "certain"

func (v *Vault) isMarked() bool {
	_, err := os.Stat(filepath.Join(v.Folder, marker))
	return err == nil
}

func (v *Vault) setCertain() {
	v.certain.Store(true)
	if err := v.log.Mark(marker); err != nil {
		// The copy asks the others again after its next start.
		v.Log.Error("marker not written", err)
	}
}

// Certain reports whether the copy has all that it ever acknowledged.
func (v *Vault) Certain() bool { return v.certain.Load() }

// missedMargin is added to the time since the log was last in use, for clocks that
// were set back and for writes that were under way.
const missedMargin = 10 * time.Second

// Missed returns the time for which other copies may have added records that this one
// lacks since it was closed; zero means since ever.
func (v *Vault) Missed() time.Duration {
	written := v.log.Written()
	down := v.opened.Sub(written)
	if !v.certain.Load() || written.IsZero() || down < 0 {
		return 0
	}
	return v.Timer.Now().Sub(v.opened) + down + missedMargin
}

// Size returns the number of programs, turns and bytes of turns.
func (v *Vault) Size() (programs, turns int, bytes int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ledger.Programs(), v.ledger.Turns(), v.ledger.Bytes()
}

func (v *Vault) expire() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ledger.Expire(v.Timer.Now())
}

// add applies records. The returned channel gets the result of the sync; it is
// nil if no record changed the ledger and none waits for the disk.
func (v *Vault) add(records []jkledger.Record) (chan error, error) {
	now := v.Timer.Now()
	if err := v.log.Stamp(now); err != nil {
		return nil, err
	}
	for _, r := range records {
		if !v.ledger.Apply(now, r) {
			continue
		}
		if err := v.log.Append(r); err != nil {
			return nil, err
		}
	}
	done := make(chan error, 1)
	v.waiting = append(v.waiting, done)
	select {
	case v.wake <- struct{}{}:
	default:
	}
	return done, nil
}

// commit writes what has been added since the last write with one sync.
func (v *Vault) commit() {
	defer close(v.stopped)
	for range v.wake {
		v.mu.Lock()
		data, waiting := v.log.Take(), v.waiting
		v.waiting = nil
		v.mu.Unlock()
		err := v.write(data)
		for _, done := range waiting {
			done <- err
		}
	}
}

// compactAfter is the number of bytes written after which the log is replaced by
// what is still kept.
const compactAfter = 64 << 20

func (v *Vault) write(data []byte) error {
	if v.failed != nil {
		return v.failed
	}
	if err := v.log.Write(data); err != nil {
		// Whether the bytes are on disk isn't known, so that nothing more is
		// acknowledged until a restart has read the log again.
		v.failed = err
		v.Log.Error("ledger can't be written", err)
		return err
	}
	v.written += int64(len(data))
	if v.written < compactAfter {
		return nil
	}
	v.written = 0
	v.mu.Lock()
	defer v.mu.Unlock()
	pending := v.log.Take()
	if err := v.log.Write(pending); err != nil {
		v.failed = err
		return err
	}
	if err := v.log.Compact(v.ledger.Records(time.Time{}, nil)); err != nil {
		v.failed = err
		v.Log.Error("ledger can't be compacted", err)
	}
	return nil
}

// Handle answers one message of another host.
func (v *Vault) Handle(ctx context.Context, s *jkwire.Incoming) {
	var err error
	switch s.Type() {
	case jkledger.TypeReserve:
		err = v.reserve(s)
	case jkledger.TypeWrite:
		err = v.put(s)
	case jkledger.TypeChain:
		err = v.chain(s)
	case jkledger.TypeSync:
		err = v.sync(s)
	case jkledger.TypeAdopt:
		err = v.adopt(ctx, s)
	default:
		err = s.Fail("unknown_type", "the message type is not known")
	}
	if err != nil {
		v.Log.Warn("message not answered", "type", s.Type(), "host", s.Peer().Host, "error", err)
		_ = s.Fail("failed", err.Error())
	}
}

func (v *Vault) reserve(s *jkwire.Incoming) error {
	var m jkledger.ReserveRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	v.mu.Lock()
	done, err := v.add([]jkledger.Record{{Spending: &m.Spending}})
	answer := jkledger.ReserveAnswer{Spendings: v.ledger.Spendings(m.Spending.Program), Certain: v.certain.Load()}
	v.mu.Unlock()
	if err != nil {
		return err
	}
	if err := <-done; err != nil {
		return err
	}
	return s.End(&answer)
}

func (v *Vault) put(s *jkwire.Incoming) error {
	var m jkledger.WriteRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	v.mu.Lock()
	done, err := v.add(m.Records)
	v.mu.Unlock()
	if err != nil {
		return err
	}
	if m.Sync {
		if err := <-done; err != nil {
			return err
		}
	}
	return s.End(&jkledger.WriteAnswer{})
}

func (v *Vault) chain(s *jkwire.Incoming) error {
	var m jkledger.ChainRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	v.mu.Lock()
	turns, _, missing := v.ledger.Chain(m.Request)
	v.mu.Unlock()
	return s.End(&jkledger.ChainAnswer{Turns: turns, Missing: missing, Certain: v.certain.Load()})
}

// partRecords and partBytes bound one message of a sync.
const (
	partRecords = 500
	partBytes   = 512 << 10
)

func (v *Vault) sync(s *jkwire.Incoming) error {
	var m jkledger.SyncRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	have := make(map[uint64]bool, len(m.Have))
	for _, key := range m.Have {
		have[key] = true
	}
	v.mu.Lock()
	records := v.ledger.Records(v.since(m.Within), have)
	v.mu.Unlock()
	if v.Holds != nil {
		records = held(records, v.Holds(s.Peer().Host))
	}
	certain := v.certain.Load()
	part, size := 0, 0
	for i, r := range records {
		if r.Turn != nil {
			size += len(r.Turn.Input) + len(r.Turn.Output)
		}
		if i-part < partRecords && size < partBytes {
			continue
		}
		if err := s.Send(&jkledger.SyncPart{Records: records[part:i], Certain: certain}); err != nil {
			return err
		}
		part, size = i, 0
	}
	return s.End(&jkledger.SyncPart{Records: records[part:], Certain: certain})
}

// held returns the records whose programs a host keeps. Each program is looked up
// once, as it has several records.
func held(records []jkledger.Record, holds func(program string) bool) []jkledger.Record {
	known := map[string]bool{}
	return slices.DeleteFunc(records, func(r jkledger.Record) bool {
		program := r.Program()
		keeps, ok := known[program]
		if !ok {
			keeps = holds(program)
			known[program] = keeps
		}
		return !keeps
	})
}

func (v *Vault) adopt(ctx context.Context, s *jkwire.Incoming) error {
	var m jkledger.AdoptRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	n, _, err := v.pull(ctx, m.Addr, 0)
	if err != nil {
		return err
	}
	return s.End(&jkledger.AdoptAnswer{Records: n})
}

// since returns the time that lies a duration before now, or the zero time for no
// limit.
func (v *Vault) since(within time.Duration) time.Time {
	if within <= 0 {
		return time.Time{}
	}
	return v.Timer.Now().Add(-within)
}

// haveSlack extends the time for which the asking copy names its records, as the
// other copy may have added the same ones somewhat later.
const haveSlack = time.Second

// pull takes the records of another copy that this one lacks, and reports whether
// that copy was certain of having all of its own. Within limits it to what the
// other copy has added lately; zero means no limit.
func (v *Vault) pull(ctx context.Context, addr string, within time.Duration) (records int, certain bool, err error) {
	named := within
	if within > 0 {
		named += haveSlack
	}
	v.mu.Lock()
	have := v.ledger.Keys(v.since(named))
	v.mu.Unlock()
	stream, err := v.Pool.Open(ctx, addr, jkledger.TypeSync, &jkledger.SyncRequest{Within: within, Have: have})
	if err != nil {
		return 0, false, err
	}
	defer stream.Close()
	for {
		m, err := stream.Receive(ctx)
		if err != nil {
			return records, false, err
		}
		var part jkledger.SyncPart
		if err := m.Decode(&part); err != nil {
			return records, false, err
		}
		v.mu.Lock()
		done, err := v.add(part.Records)
		v.mu.Unlock()
		if err != nil {
			return records, false, err
		}
		if err := <-done; err != nil {
			return records, false, err
		}
		records += len(part.Records)
		if m.Last {
			return records, part.Certain, nil
		}
	}
}

// pullTimeout bounds the copying from one other vault: the largest ledger of
// today takes two seconds over a 130 Mbit/s link.
const pullTimeout = 6 * time.Second

// restShare is how long a copy that has lost nothing rests after it has asked
// another one, relative to the time that took. With maxRest, ten copies are asked
// within the four seconds after which entries rely on it.
const (
	restShare = 2
	maxRest   = 300 * time.Millisecond
)

// Catch copies what the vaults at the addresses have added within a time, or all
// that they have if it is zero, and reports whether one of them was certain. One
// call runs at a time, which leaves the host's processor to its entries.
func (v *Vault) Catch(ctx context.Context, addrs []string, within time.Duration) bool {
	asked := v.Timer.Now()
	v.catching.Lock()
	defer v.catching.Unlock()
	found := false
	for _, addr := range addrs {
		window := within
		if window > 0 {
			window += v.Timer.Now().Sub(asked)
		}
		began := v.Timer.Now()
		try, cancel := context.WithTimeout(ctx, pullTimeout)
		n, certain, err := v.pull(try, addr, window)
		cancel()
		if err != nil {
			v.Log.Warn("ledger not copied", "from", addr, "error", err)
			continue
		}
		found = found || certain
		if v.certain.Load() {
			// Entries wait for this host while it is busy with other copies.
			v.Timer.Wait(min(restShare*v.Timer.Now().Sub(began), maxRest), ctx.Done())
		}
		v.Log.Info("ledger copied", "from", addr, "records", n, "certain", certain, "within", window)
	}
	if found && !v.certain.Load() {
		v.setCertain()
	}
	return found
}

// errNoTaker is returned where too few other vaults could take the records.
var errNoTaker = errors.New("too few other copies took the records")

// HandOver has other vaults copy this one and returns once enough of them have.
func (v *Vault) HandOver(ctx context.Context, self string, addrs []string, needed int) error {
	taken := 0
	for _, addr := range addrs {
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		var answer jkledger.AdoptAnswer
		err := v.Pool.Call(ctx, addr, jkledger.TypeAdopt, &jkledger.AdoptRequest{Addr: self}, &answer)
		cancel()
		if err != nil {
			v.Log.Warn("records not handed over", "to", addr, "error", err)
			continue
		}
		taken++
		v.Log.Info("records handed over", "to", addr, "records", answer.Records)
	}
	if taken < needed {
		return eris.Wrapf(errNoTaker, "%d of %d", taken, needed)
	}
	return nil
}

// Close writes what was added and stops the vault.
func (v *Vault) Close() error {
	v.mu.Lock()
	close(v.wake)
	v.mu.Unlock()
	<-v.stopped
	return v.log.Close()
}
