package jkroute

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"

	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jktoken"
)

const (
	// platformTimeout bounds all requests to the platform of one lookup or claim, for
	// which a caller waits.
	platformTimeout = time.Second
	// failedLookupRetention is how long a failed lookup is not repeated, so that
	// callers of one dead host cause few reads.
	failedLookupRetention = 300 * time.Millisecond
	// maxEndedRecords bounds the records cached in memory; a full cache is
	// emptied.
	maxEndedRecords = 8192
)

// LeaseKey returns the platform's key of a host's lease.
func LeaseKey(host string) string { return "lease/host/" + host }

func endedKey(i jktoken.Incarnation) string {
	return "ended/" + i.Host + "/" + strconv.FormatUint(i.Start, 36)
}

// endedRecord is the platform's record that declares an incarnation ended and
// names its successors.
type endedRecord struct {
	Successors []successor `json:"successors"`
}

type successor struct {
	Host  string `json:"host"`
	Start uint64 `json:"start"`
}

func (e endedRecord) incarnations() []jktoken.Incarnation {
	var out []jktoken.Incarnation
	for _, s := range e.Successors {
		out = append(out, jktoken.Incarnation{Host: s.Host, Start: s.Start})
	}
	return out
}

// endedTable creates the records of ended incarnations and caches them.
type endedTable struct {
	options Options
	lookups singleflight.Group

	mu       sync.Mutex
	records  map[jktoken.Incarnation][]jktoken.Incarnation
	failedAt map[jktoken.Incarnation]time.Time
}

func newEndedTable(o Options) *endedTable {
	return &endedTable{
		options:  o,
		records:  map[jktoken.Incarnation][]jktoken.Incarnation{},
		failedAt: map[jktoken.Incarnation]time.Time{},
	}
}

func (t *endedTable) has(i jktoken.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.records[i]
	return ok
}

func (t *endedTable) put(i jktoken.Incarnation, successors []jktoken.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) >= maxEndedRecords {
		t.records = map[jktoken.Incarnation][]jktoken.Incarnation{}
	}
	if len(t.failedAt) >= maxEndedRecords {
		t.failedAt = map[jktoken.Incarnation]time.Time{}
	}
	t.records[i] = successors
	delete(t.failedAt, i)
}

func (t *endedTable) get(i jktoken.Incarnation) ([]jktoken.Incarnation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.records[i]
	return s, ok
}

// successor returns the incarnation that runs a program after its home ended.
// Host is the membership table's entry of the home.
func (t *endedTable) successor(ctx context.Context, program string, ended jktoken.Incarnation, host jkmember.Host) (jktoken.Incarnation, error) {
	successors, ok := t.get(ended)
	if !ok {
		found, err := t.findOrDeclare(ctx, ended, host)
		if err != nil {
			return jktoken.Incarnation{}, err
		}
		successors = found
	}
	next, ok := jkmember.Successor(program, successors)
	if !ok {
		return next, unavailable("home " + ended.String() + " has ended without successors")
	}
	return next, nil
}

func unavailable(detail string) error {
	return jkproblem.New(jkproblem.TypeUnavailable, detail).WithRetryAfter(time.Second)
}

// findOrDeclare reads the record of an ended incarnation. Without a record it
// declares the incarnation ended if it has certainly ended or its lease has expired.
func (t *endedTable) findOrDeclare(ctx context.Context, ended jktoken.Incarnation, host jkmember.Host) ([]jktoken.Incarnation, error) {
	t.mu.Lock()
	failedAt := t.failedAt[ended]
	t.mu.Unlock()
	now := t.options.Timer.Now()
	if now.Sub(failedAt) < failedLookupRetention {
		return nil, unavailable("home " + ended.String() + " can't be reached and is not declared ended")
	}
	found, err, _ := t.lookups.Do(ended.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
		defer cancel()
		successors, ok, err := t.lookUp(ctx, ended)
		if err != nil || ok {
			return successors, err
		}
		return t.declare(ctx, ended, host)
	})
	if err != nil {
		t.mu.Lock()
		t.failedAt[ended] = now
		t.mu.Unlock()
		return nil, unavailable("home " + ended.String() + " can't be reached: " + err.Error())
	}
	return found.([]jktoken.Incarnation), nil
}

// lookUp returns the successors from the cached or the platform's record of an
// incarnation, and whether there is a record.
func (t *endedTable) lookUp(ctx context.Context, i jktoken.Incarnation) ([]jktoken.Incarnation, bool, error) {
	if s, ok := t.get(i); ok {
		return s, true, nil
	}
	record, err := t.options.Platform.Get(ctx, endedKey(i))
	var missing *jkplatform.NotFoundError
	if errors.As(err, &missing) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	successors, err := t.cacheRecord(i, record.Value)
	return successors, true, err
}

// cacheRecord decodes a record and adds it to the cache.
func (t *endedTable) cacheRecord(i jktoken.Incarnation, value []byte) ([]jktoken.Incarnation, error) {
	var e endedRecord
	if err := json.Unmarshal(value, &e); err != nil {
		return nil, eris.Wrapf(err, "record of ended incarnation %s", i)
	}
	successors := e.incarnations()
	t.put(i, successors)
	return successors, nil
}

// declare creates the record of an ended incarnation if a newer incarnation of the
// host runs or the host's lease has expired.
func (t *endedTable) declare(ctx context.Context, ended jktoken.Incarnation, host jkmember.Host) ([]jktoken.Incarnation, error) {
	if host.Incarnation.Start <= ended.Start {
		if err := t.checkLease(ctx, ended); err != nil {
			return nil, err
		}
	}
	var candidates, successors []jktoken.Incarnation
	t.options.Gossip.WithTable(func(table *jkmember.Table) {
		candidates = table.Successors(ended, host.Zone)
	})
	for _, c := range candidates {
		// Ended incarnations are left out: records that name each other would
		// form a cycle.
		if !t.has(c) {
			successors = append(successors, c)
		}
	}
	return t.create(ctx, ended, successors)
}

// checkLease returns an error unless the host's lease shows that the incarnation
// has ended: the lease is free, or a newer incarnation holds it. A lease held by an
// older incarnation is no proof, because a restarted host waits for its expiry.
func (t *endedTable) checkLease(ctx context.Context, ended jktoken.Incarnation) error {
	lease, err := t.options.Platform.ReadLease(ctx, LeaseKey(ended.Host))
	var missing *jkplatform.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	holder, err := jktoken.ParseIncarnation(lease.Holder)
	if err != nil {
		return err
	}
	if holder.Start <= ended.Start {
		return eris.Errorf("the lease of %s has not expired", holder)
	}
	return nil
}

// create writes the record and returns the successors that it names. The first
// writer wins. If the response to the write is lost, it reads the record back.
func (t *endedTable) create(ctx context.Context, i jktoken.Incarnation, successors []jktoken.Incarnation) ([]jktoken.Incarnation, error) {
	if len(successors) == 0 {
		// The record is never changed, so without successors the programs of the
		// incarnation could not continue.
		return nil, eris.New("no host is known that could succeed it")
	}
	var e endedRecord
	for _, s := range successors {
		e.Successors = append(e.Successors, successor{Host: s.Host, Start: s.Start})
	}
	value, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	_, err = t.options.Platform.Create(ctx, endedKey(i), value)
	var exists *jkplatform.ExistsError
	var uncertain *jkplatform.UncertainError
	switch {
	case errors.As(err, &exists):
		return t.cacheRecord(i, exists.Present.Value)
	case errors.As(err, &uncertain):
		found, ok, err := t.lookUp(ctx, i)
		if err == nil && !ok {
			err = uncertain
		}
		return found, err
	case err != nil:
		return nil, err
	}
	t.options.Log.Warn("incarnation declared ended", "incarnation", i, "successors", len(successors))
	return t.cacheRecord(i, value)
}
