// Package jkvault serves one copy of the ledger on a storage host. It writes records to
// disk before it acknowledges them, and copies from other hosts the records that this one
// missed while it was down or unreachable, or lost with its disk. Which programs a copy
// holds, and how many copies have to answer, is decided by the clients in package
// jkaccount.
package jkvault

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// Options configures a vault.
type Options struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	// Host is the host of this copy.
	Host string
	// Folder is the folder of the ledger's log.
	Folder string
	// Pool connects to the vaults on other hosts.
	Pool *jkwire.Pool
	// Holds returns a function that reports whether a host keeps a program's records.
	// Nil means that every host keeps all records.
	Holds func(host string) func(program string) bool
	// AnyHolds returns a function that reports whether one of several hosts keeps a program's
	// records. Hosts that aren't known keep none. Nil means that none does.
	AnyHolds func(hosts []string) func(program string) bool
	// Neighbours returns the other copies in the zone of this one that are in reach. Nil means
	// that there are none.
	Neighbours func() []Source
	// TakesOver returns a function that reports whether a host keeps a program's records only
	// because other hosts of its zone are gone. Nil means that it keeps no others.
	TakesOver func(host string, gone []string) func(program string) bool
	// Behind reports whether this copy may lack records that others have added while it was
	// down or out of reach. Nil means never.
	Behind func() bool
	// Apart reports whether other copies may have gone on with programs without this one, which then keeps spendings beyond
	// their retention. Nil means never.
	Apart func() bool
	// Dropped is called when some of these were dropped nevertheless, since they took too much memory.
	Dropped func()
	// Losses returns the hosts of other copies that don't answer; nil means that all do.
	Losses func() jkledger.Losses
	// Silences returns the silences of other copies' hosts that this host sees; nil means that all answer.
	Silences func() []jkledger.Silence
	// Sources returns the other copies that may have records which this one lacks, and whether
	// all of them are known. Nil means that there are none.
	Sources func() (sources []Source, allKnown bool)
	// MaxLostDisks is the number of disks that may be lost at once without losing records.
	MaxLostDisks int
	// IsNew reports whether the host of this copy had none before. Nil means that it had one.
	IsNew func() bool
	// First is set when the whole system starts for the first time, so that an empty
	// folder isn't a lost disk.
	First bool
}

// Vault serves one copy of the ledger.
type Vault struct {
	Options

	openedAt time.Time
	// disk names the disk of the folder.
	disk string
	// openedCertain is set if the copy had all records that it ever acknowledged when it was
	// opened, and certain once it has. Answers read certain before the records that it vouches
	// for.
	openedCertain bool
	certain       atomic.Bool
	recovery      recovery
	takeovers     takeovers
	replication   replication
	// dropped is set once spendings were dropped while other copies were apart.
	dropped atomic.Bool
	// saving counts the writes of takeovers that no caller waits for.
	saving sync.WaitGroup
	// catchUpMu is held by the one call of CatchUp that runs.
	catchUpMu sync.Mutex
	// neighbourKeys holds the newest answers of the neighbours by host. catchUpMu guards it.
	neighbourKeys map[string]neighbourKeys

	// mu guards ledger, connected, sealed, closed, the buffer of log and syncWaiters.
	mu        sync.Mutex
	ledger    *jkledger.Ledger
	connected connectedReservations
	// sealed is set by Seal, and closed by Close.
	sealed bool
	closed bool
	log    *jkledger.Log
	// syncWaiters get the result of the next write to disk.
	syncWaiters []chan error
	wake        chan struct{}
	stopped     chan struct{}

	// writeErr is the first failure to write the log, and uncompacted the number of
	// bytes that the next compaction may free. Only commit uses them.
	writeErr    error
	uncompacted int64
}

// recentRecords is the number of records at the end of the log that other copies may
// lack after a restart. A busy host of the users' fleets writes that many in four seconds.
const recentRecords = 2500

// expireInterval is the interval at which expired records are removed from memory.
const expireInterval = 5 * time.Second

// Open reads the log in the folder and starts the vault.
func Open(o Options) (*Vault, error) {
	v := &Vault{Options: o, recovery: recovery{copied: map[string]copiedSource{}}, neighbourKeys: map[string]neighbourKeys{}, ledger: jkledger.New(), connected: connectedReservations{}, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	replay := jkledger.NewReplay(o.Timer.Now(), v.ledger, recentRecords)
	log, err := jkledger.OpenLog(o.Folder, replay.Add)
	if err != nil {
		return nil, err
	}
	v.log, v.openedAt = log, o.Timer.Now()
	v.takeovers.answers, v.takeovers.save = Answers{}, func(data []byte) error { return log.WriteFile(takeoversFile, data) }
	v.takeovers.read(log.ReadFile(takeoversFile))
	if err := v.openReplication(); err != nil {
		return nil, err
	}
	replay.End(v.openedAt)
	v.disk = v.openDisk()
	v.uncompacted = max(log.ReadBytes()-v.ledger.Bytes(), 0)
	v.sealed = v.hasMarker(sealedMarker)
	if o.First || v.hasMarker(certainMarker) {
		v.openedCertain = true
		v.certain.Store(true)
		v.writeCertainMarker()
	}
	o.Log.Info("ledger opened", "records", replay.Records(), "turns", v.ledger.Turns(), "first", o.First, "certain", v.certain.Load(), "sealed", v.sealed)
	o.Timer.Every(expireInterval, v.expire)
	go v.commit()
	return v, nil
}

// certainMarker is the file that shows after a restart that the folder holds all records
// that the copy ever acknowledged. A lost or replaced disk doesn't have it.
const certainMarker = "certain"

func (v *Vault) hasMarker(name string) bool {
	_, err := os.Stat(filepath.Join(v.Folder, name))
	return err == nil
}

func (v *Vault) writeCertainMarker() {
	if err := v.log.WriteMarker(certainMarker); err != nil {
		// Without the marker, the copy copies all records again after its next start.
		v.Log.Error("ledger not marked as certain", err)
	}
}

// diskFile holds the name of the disk, which a lost or replaced one doesn't have.
const diskFile = "disk"

// openDisk reads the name of the disk, and names one that has none.
func (v *Vault) openDisk() string {
	if name := v.log.ReadFile(diskFile); len(name) > 0 {
		return string(name)
	}
	name := fmt.Sprintf("%08x", rand.Uint32())
	if err := v.log.WriteFile(diskFile, []byte(name)); err != nil {
		// Without the file, the disk has another name after the next start, as if it was another one.
		v.Log.Error("name of the disk not written", err)
	}
	return name
}

// Disk names the disk of the copy: no two of one host have the same name.
func (v *Vault) Disk() string { return v.disk }

// Certain reports whether the copy has all records that it ever acknowledged. A copy
// that lost its disk isn't certain until it has copied those of enough others.
func (v *Vault) Certain() bool { return v.certain.Load() }

// catchUpMargin is added to the time since the last use of the log, to cover clocks that
// were set back and writes that were in flight.
const catchUpMargin = 10 * time.Second

// CatchUpWindow returns how far back other copies may have added records that this one
// lacks because it was down, for use with CatchUp. Zero means that there is no limit.
func (v *Vault) CatchUpWindow() time.Duration {
	lastUsed := v.log.LastUsed()
	down := v.openedAt.Sub(lastUsed)
	if !v.openedCertain || lastUsed.IsZero() || down < 0 || v.dropped.Load() {
		return 0
	}
	return v.Timer.Now().Sub(v.openedAt) + down + catchUpMargin
}

// Size returns the number of programs, the number of turns and the bytes of all turns.
func (v *Vault) Size() (programs, turns int, bytes int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ledger.Programs(), v.ledger.Turns(), v.ledger.Bytes()
}

// maxExpiredBytes bounds the memory for spendings that are kept beyond their retention.
const maxExpiredBytes = 8 << 20

// expire removes what has expired. Spendings stay while copies are apart: a copy that has forgotten what it counted would
// grant half of the budget again.
func (v *Vault) expire() {
	isApart := v.Apart != nil && v.Apart()
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Timer.Now()
	v.connected.expire(v.ledger)
	if !isApart {
		v.ledger.Expire(now)
		return
	}
	v.ledger.ExpireTurns(now)
	if !v.ledger.ExpirePrograms(now, maxExpiredBytes) {
		return
	}
	if !v.dropped.Swap(true) {
		v.Log.Warn("spendings dropped while other copies are apart")
	}
	v.Dropped()
}

// errClosed is returned for records that arrive after Close, as those that CatchUp is still
// copying do.
var errClosed = errors.New("the vault is closed")

// add applies records to the ledger and appends those that changed it to the log. The
// returned channel gets the result of the next write to disk. The caller holds mu.
func (v *Vault) add(records []jkledger.Record) (chan error, error) {
	if v.closed {
		return nil, errClosed
	}
	now := v.Timer.Now()
	if err := v.log.Stamp(now); err != nil {
		return nil, err
	}
	for _, r := range records {
		added := v.ledger.Late(now, r)
		if v.ledger.Apply(now, r) {
			added = append(added, r)
		}
		if err := v.log.AppendAll(added); err != nil {
			return nil, err
		}
	}
	done := make(chan error, 1)
	v.syncWaiters = append(v.syncWaiters, done)
	select {
	case v.wake <- struct{}{}:
	default:
	}
	return done, nil
}

// addForEntry is add for the message of an entry, which a sealed copy refuses. The caller holds
// mu.
func (v *Vault) addForEntry(records []jkledger.Record) (chan error, error) {
	if v.sealed {
		return nil, errSealed
	}
	return v.add(records)
}

// commit is the group commit: it writes all records that were added since the last write
// with one sync and reports the result to all that wait for it, until wake is closed.
func (v *Vault) commit() {
	defer close(v.stopped)
	for range v.wake {
		v.mu.Lock()
		data, syncWaiters := v.log.TakeBuffer(), v.syncWaiters
		v.syncWaiters = nil
		v.mu.Unlock()
		err := v.writeLog(data)
		for _, done := range syncWaiters {
			done <- err
		}
	}
}

// compactThreshold is the number of bytes that were written, or had expired at the start,
// after which the log is compacted to the records that are still kept.
const compactThreshold = 64 << 20

// writeLog writes and syncs buffered bytes, and compacts the log when it is due.
func (v *Vault) writeLog(data []byte) error {
	if v.writeErr != nil {
		return v.writeErr
	}
	began := v.Timer.Now()
	err := v.log.Write(data)
	if took := v.Timer.Now().Sub(began); took >= slowAnswer {
		v.Log.Info("slow write to disk", "bytes", len(data), "took", took)
	}
	if err != nil {
		// It isn't known whether the bytes are on disk, so that nothing more is
		// acknowledged until a restart has read the log again.
		v.writeErr = err
		v.Log.Error("ledger can't be written", err)
		return err
	}
	v.uncompacted += int64(len(data))
	if v.uncompacted < compactThreshold {
		return nil
	}
	v.uncompacted = 0
	v.mu.Lock()
	defer v.mu.Unlock()
	pending := v.log.TakeBuffer()
	if err := v.log.Write(pending); err != nil {
		v.writeErr = err
		return err
	}
	if err := v.log.Compact(v.ledger.Snapshot(v.Timer.Now())); err != nil {
		v.writeErr = err
		v.Log.Error("ledger can't be compacted", err)
	}
	return nil
}

// Handle answers one message from another host.
func (v *Vault) Handle(ctx context.Context, s *jkwire.ServerStream) {
	began := v.Timer.Now()
	var err error
	switch s.Type() {
	case jkledger.TypeReserve:
		err = v.handleReserve(s)
	case jkledger.TypeWrite:
		err = v.handleWrite(s)
	case jkledger.TypeChain:
		err = v.handleChain(s)
	case jkledger.TypeSync:
		err = v.handleSync(s)
	case jkledger.TypeAdopt:
		err = v.handleAdopt(ctx, s)
	case jkledger.TypeKeys:
		err = v.handleKeys(s)
	case jkledger.TypeLosses:
		err = v.handleLosses(s)
	default:
		err = s.Fail("unknown_type", "the message type is not known")
	}
	if err != nil {
		v.Log.Warn("message not answered", "type", s.Type(), "host", s.Peer().Host, "error", err)
		_ = s.Fail("failed", err.Error())
	}
	v.logSlow(s, v.Timer.Now().Sub(began))
}

// slowAnswer is the time after which the answer to a message of an entry is logged as slow.
const slowAnswer = 100 * time.Millisecond

// logSlow logs a message of an entry whose answer took long.
func (v *Vault) logSlow(s *jkwire.ServerStream, took time.Duration) {
	switch s.Type() {
	case jkledger.TypeReserve, jkledger.TypeWrite, jkledger.TypeChain:
		if took >= slowAnswer {
			v.Log.Info("message answered late", "type", s.Type(), "host", s.Peer().Host, "took", took)
		}
	}
}

func (v *Vault) handleReserve(s *jkwire.ServerStream) error {
	var m jkledger.ReserveRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	if m.Unreplicated || !m.Marks {
		if err := v.replication.mark(v.reservedAt(&m.Spending)); err != nil {
			return err
		}
	}
	certain := v.certain.Load()
	v.mu.Lock()
	done, err := v.addForEntry([]jkledger.Record{{Spending: &m.Spending}})
	v.connected.add(&m.Spending, s.Disconnected())
	answer := jkledger.ReserveAnswer{Spendings: v.ledger.Spendings(m.Spending.Program), Certain: certain, Behind: v.Behind != nil && v.Behind(), Disk: v.disk}
	answer.Abandoned = v.connected.abandoned(answer.Spendings)
	v.mu.Unlock()
	if err != nil {
		return err
	}
	if err := <-done; err != nil {
		return err
	}
	answer.Losses = v.losses()
	return s.End(&answer)
}

func (v *Vault) losses() jkledger.Losses {
	if v.Losses == nil {
		return jkledger.Losses{}
	}
	return v.Losses()
}

func (v *Vault) handleWrite(s *jkwire.ServerStream) error {
	var m jkledger.WriteRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	v.mu.Lock()
	done, err := v.addForEntry(m.Records)
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

func (v *Vault) handleChain(s *jkwire.ServerStream) error {
	var m jkledger.ChainRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	certain := v.certain.Load()
	v.mu.Lock()
	turns, _, missing := v.ledger.Chain(m.Request)
	v.mu.Unlock()
	if missing != "" && !certain {
		v.logMiss(missing)
	}
	return s.End(&jkledger.ChainAnswer{Turns: turns, Missing: missing, Certain: certain, Losses: v.losses()})
}

// handleAdopt copies all records of the copy at the requested address.
func (v *Vault) handleAdopt(ctx context.Context, s *jkwire.ServerStream) error {
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

// since returns the time that lies a duration before now, or the zero time if the
// duration is zero, which stands for no limit.
func (v *Vault) since(within time.Duration) time.Time {
	if within <= 0 {
		return time.Time{}
	}
	return v.Timer.Now().Add(-within)
}

// Close writes the buffered records to disk and stops the vault. No message may be
// handled any more.
func (v *Vault) Close() error {
	v.mu.Lock()
	v.closed = true
	close(v.wake)
	v.mu.Unlock()
	<-v.stopped
	v.saving.Wait()
	return v.log.Close()
}
