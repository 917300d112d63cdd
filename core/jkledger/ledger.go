// Package jkledger is the pure table of what outlives a host: the tokens that
// programs have spent and the turns that later turns continue from. Tables of
// several copies merge in any order to the same content.
package jkledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Spending is the part of a program's budget that one request holds or has
// used. A settled spending replaces a held one of the same request.
type Spending struct {
	_msgpack struct{} `msgpack:",as_array"`

	Program string
	Request string
	Tokens  int64
	Settled bool
	// Retention is how long the program is remembered after its last turn.
	Retention time.Duration
}

// Turn is one whole turn of a chain.
type Turn struct {
	_msgpack struct{} `msgpack:",as_array"`

	Request  string
	Previous string
	Program  string
	Input    []byte
	// Output is the data of each event, each followed by a line feed.
	Output    []byte
	Retention time.Duration
}

// Record is one change of a ledger, or a time in its log; exactly one field is set.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"`

	Spending *Spending
	Turn     *Turn
	// Time is a Unix time in milliseconds. It is never sent to other copies.
	Time int64
}

// Ledger holds spendings by program and turns by request. It does no input or
// output and is not safe for concurrent use.
type Ledger struct {
	programs map[string]*programRow
	turns    map[string]*turnRow
	bytes    int64
}

type programRow struct {
	spendings map[string]spendingRow
	total     int64
	retention time.Duration
	used      time.Time
}

type spendingRow struct {
	spending Spending
	added    time.Time
}

type turnRow struct {
	turn  Turn
	added time.Time
	used  time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{programs: map[string]*programRow{}, turns: map[string]*turnRow{}}
}

// Apply adds a record and reports whether it changed the ledger.
func (l *Ledger) Apply(now time.Time, r Record) bool { return l.apply(now, now, r) }

// Restore adds a record that this copy has had for long, after a restart.
func (l *Ledger) Restore(now time.Time, r Record) { l.apply(now, time.Time{}, r) }

func (l *Ledger) apply(now, added time.Time, r Record) bool {
	switch {
	case r.Spending != nil:
		return l.spend(now, added, *r.Spending)
	case r.Turn != nil:
		return l.keep(now, added, *r.Turn)
	}
	return false
}

func (l *Ledger) spend(now, added time.Time, s Spending) bool {
	row := l.programs[s.Program]
	if row == nil {
		row = &programRow{spendings: map[string]spendingRow{}}
		l.programs[s.Program] = row
	}
	row.used = now
	row.retention = max(row.retention, s.Retention)
	known, ok := row.spendings[s.Request]
	if ok && (known.spending.Settled || !s.Settled) {
		return false
	}
	row.total += s.Tokens - known.spending.Tokens
	row.spendings[s.Request] = spendingRow{spending: s, added: added}
	return true
}

func (l *Ledger) keep(now, added time.Time, t Turn) bool {
	if _, ok := l.turns[t.Request]; ok {
		return false
	}
	l.turns[t.Request] = &turnRow{turn: t, added: added, used: now}
	l.bytes += int64(len(t.Input) + len(t.Output))
	l.touch(now, t.Previous)
	return true
}

// touch renews the turns of a chain, since a turn is kept together with its
// chain.
func (l *Ledger) touch(now time.Time, request string) {
	for request != "" {
		row, ok := l.turns[request]
		if !ok || row.used.Equal(now) {
			return
		}
		row.used = now
		request = row.turn.Previous
	}
}

// Spendings returns what the program's requests hold and have used.
func (l *Ledger) Spendings(program string) []Spending {
	row := l.programs[program]
	if row == nil {
		return nil
	}
	out := make([]Spending, 0, len(row.spendings))
	for _, s := range row.spendings {
		out = append(out, s.spending)
	}
	return out
}

// Total returns the tokens that the program's requests hold and have used.
func (l *Ledger) Total(program string) int64 {
	if row := l.programs[program]; row != nil {
		return row.total
	}
	return 0
}

// Chain returns the turns that end with the named one, the newest first, as far
// back as they are known. Whole reports whether the first turn of the chain was
// reached; else missing names the turn that isn't known.
func (l *Ledger) Chain(request string) (turns []Turn, whole bool, missing string) {
	seen := map[string]bool{}
	for request != "" {
		row, ok := l.turns[request]
		if !ok || seen[request] {
			return turns, false, request
		}
		seen[request] = true
		turns = append(turns, row.turn)
		request = row.turn.Previous
	}
	return turns, true, ""
}

// Program returns the program that the record is about.
func (r Record) Program() string {
	if r.Turn != nil {
		return r.Turn.Program
	}
	return r.Spending.Program
}

// Key identifies a record among those of all copies. A held and a settled
// spending of one request have different keys.
func (r Record) Key() uint64 {
	if r.Turn != nil {
		return xxhash.Sum64String("turn\x00" + r.Turn.Request)
	}
	kind := "held"
	if r.Spending.Settled {
		kind = "settled"
	}
	return xxhash.Sum64String(kind + "\x00" + r.Spending.Program + "\x00" + r.Spending.Request)
}

// Keys returns the keys of the records that were added at or after a time.
func (l *Ledger) Keys(since time.Time) []uint64 {
	records := l.Records(since, nil)
	out := make([]uint64, len(records))
	for i, r := range records {
		out[i] = r.Key()
	}
	return out
}

// Records returns the records that were added at or after a time, but for those
// with the given keys. With the zero time it returns those of all times.
func (l *Ledger) Records(since time.Time, except map[uint64]bool) []Record {
	var out []Record
	add := func(added time.Time, r Record) {
		if !added.Before(since) && (len(except) == 0 || !except[r.Key()]) {
			out = append(out, r)
		}
	}
	for _, row := range l.programs {
		if row.used.Before(since) {
			continue
		}
		for _, s := range row.spendings {
			add(s.added, Record{Spending: &s.spending})
		}
	}
	for _, row := range l.turns {
		add(row.added, Record{Turn: &row.turn})
	}
	return out
}

// retentionSlack is added to the retention, since copies hear of a turn at
// slightly different times.
const retentionSlack = 5 * time.Second

// Expire forgets what was not used within its retention.
func (l *Ledger) Expire(now time.Time) {
	for name, row := range l.programs {
		if now.Sub(row.used) > row.retention+retentionSlack {
			delete(l.programs, name)
		}
	}
	for request, row := range l.turns {
		if now.Sub(row.used) > row.turn.Retention+retentionSlack {
			l.bytes -= int64(len(row.turn.Input) + len(row.turn.Output))
			delete(l.turns, request)
		}
	}
}

// Programs returns the number of programs.
func (l *Ledger) Programs() int { return len(l.programs) }

// Turns returns the number of turns.
func (l *Ledger) Turns() int { return len(l.turns) }

// Bytes returns the size of all inputs and outputs.
func (l *Ledger) Bytes() int64 { return l.bytes }
