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
	// platformTimeout bounds one request to the platform on a caller's path.
	platformTimeout = time.Second
	// missRetention is how long a missing record is not asked for again, so
	// that callers of one dead host cause few reads.
	missRetention = 300 * time.Millisecond
	// endedLimit bounds the records kept in memory.
	endedLimit = 8192
)

// LeaseKey is the platform's key of a host's lease.
func LeaseKey(host string) string { return "lease/host/" + host }

func endedKey(i jktoken.Incarnation) string {
	return "ended/" + i.Host + "/" + strconv.FormatUint(i.Start, 36)
}

// endedRecord is the platform's record of an ended incarnation.
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

// endedTable caches the records of ended incarnations and creates them.
type endedTable struct {
	options Options
	flight  singleflight.Group

	mu     sync.Mutex
	rows   map[jktoken.Incarnation][]jktoken.Incarnation
	missed map[jktoken.Incarnation]time.Time
}

func newEndedTable(o Options) *endedTable {
	return &endedTable{
		options: o,
		rows:    map[jktoken.Incarnation][]jktoken.Incarnation{},
		missed:  map[jktoken.Incarnation]time.Time{},
	}
}

func (t *endedTable) has(i jktoken.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.rows[i]
	return ok
}

func (t *endedTable) put(i jktoken.Incarnation, successors []jktoken.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.rows) >= endedLimit {
		t.rows = map[jktoken.Incarnation][]jktoken.Incarnation{}
	}
	if len(t.missed) >= endedLimit {
		t.missed = map[jktoken.Incarnation]time.Time{}
	}
	t.rows[i] = successors
	delete(t.missed, i)
}

func (t *endedTable) get(i jktoken.Incarnation) ([]jktoken.Incarnation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.rows[i]
	return s, ok
}

// successor returns the incarnation that runs a program after its home ended.
// Host is what membership knows of the home.
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

// findOrDeclare reads the record of an ended incarnation, or creates it if the
// incarnation has certainly ended or its lease has expired.
func (t *endedTable) findOrDeclare(ctx context.Context, ended jktoken.Incarnation, host jkmember.Host) ([]jktoken.Incarnation, error) {
	t.mu.Lock()
	missed := t.missed[ended]
	t.mu.Unlock()
	now := t.options.Timer.Now()
	if now.Sub(missed) < missRetention {
		return nil, unavailable("home " + ended.String() + " can't be reached and is not declared ended")
	}
	found, err, _ := t.flight.Do(ended.String(), func() (any, error) {
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
		t.missed[ended] = now
		t.mu.Unlock()
		return nil, unavailable("home " + ended.String() + " can't be reached: " + err.Error())
	}
	return found.([]jktoken.Incarnation), nil
}

// lookUp reads the platform's record.
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
	successors, err := t.accept(i, record.Value)
	return successors, true, err
}

func (t *endedTable) accept(i jktoken.Incarnation, value []byte) ([]jktoken.Incarnation, error) {
	var e endedRecord
	if err := json.Unmarshal(value, &e); err != nil {
		return nil, eris.Wrapf(err, "record of ended incarnation %s", i)
	}
	successors := e.incarnations()
	t.put(i, successors)
	return successors, nil
}

// declare creates the record if a newer incarnation of the host runs or the
// host's lease has expired.
func (t *endedTable) declare(ctx context.Context, ended jktoken.Incarnation, host jkmember.Host) ([]jktoken.Incarnation, error) {
	if host.Incarnation.Start <= ended.Start {
		if err := t.checkLease(ctx, ended); err != nil {
			return nil, err
		}
	}
	var candidates, successors []jktoken.Incarnation
	t.options.Gossip.Read(func(table *jkmember.Table) {
		candidates = table.Successors(ended, host.Zone)
	})
	for _, c := range candidates {
		// Records that name each other would lead in a circle.
		if !t.has(c) {
			successors = append(successors, c)
		}
	}
	return t.create(ctx, ended, successors)
}

// checkLease returns an error unless the host's lease shows that the incarnation
// is over: nobody holds it, or a newer incarnation does. A lease that an older
// one holds says nothing: a restarted host waits for its expiry.
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

// create writes the record. The first writer wins; an answer that is lost is
// settled by reading the record back.
func (t *endedTable) create(ctx context.Context, i jktoken.Incarnation, successors []jktoken.Incarnation) ([]jktoken.Incarnation, error) {
	if len(successors) == 0 {
		// The record is final, so one without successors would end the programs.
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
		return t.accept(i, exists.Present.Value)
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
	return t.accept(i, value)
}
