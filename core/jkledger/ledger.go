// Package jkledger holds the replicated state that must survive the loss of a host:
// the tokens that programs have spent, and the turns that later turns continue from.
// It contains the table in memory, its log on disk and the messages between copies.
// It opens no connections and runs no goroutines: package jkvault serves a copy of the
// ledger, and package jkaccount is its client.
//
// Adding records is idempotent and independent of their order, so that copies that
// exchange all their records end with the same content.
package jkledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Spending is the part of a program's budget that one request has reserved or used.
// A settled spending replaces a reserved one of the same request.
type Spending struct {
	_msgpack struct{} `msgpack:",as_array"`

	Program string
	Request string
	Tokens  int64
	// Settled is set once Tokens is what the request used, and not what it reserved.
	Settled bool
	// Retention is how long the program's spendings are kept after its last turn.
	Retention time.Duration
}

// Turn is one complete turn of a conversation. The turns that are linked by Previous
// form a chain.
type Turn struct {
	_msgpack struct{} `msgpack:",as_array"`

	Request string
	// Previous is the request of the turn that this one continues, or empty.
	Previous string
	Program  string
	Input    []byte
	// Output is the data of each event, each followed by a line feed.
	Output []byte
	// Retention is how long the turn is kept after it or a later one was added.
	Retention time.Duration
}

// Record is one change of a ledger, or a timestamp in its log. Exactly one field is set.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"`

	Spending *Spending
	Turn     *Turn
	// Time is a Unix time in milliseconds. It is written to the log only and never sent
	// to other copies. OpenLog sets it on each record to that of the last timestamp before.
	Time int64
}

// Ledger holds spendings by program and turns by request, in memory. It is not safe for
// concurrent use.
type Ledger struct {
	programs map[string]*programRow
	turns    map[string]*turnRow
	// bytes is the size of the inputs and outputs of all turns.
	bytes int64
}

// programRow holds the spendings of one program by request.
type programRow struct {
	spendings map[string]spendingRow
	// total is the sum of the tokens of all spendings.
	total     int64
	retention time.Duration
	lastUse   use
	// loggedUse is the last use that the log has.
	loggedUse time.Time
	// lastAdded is the latest time in spendings.
	lastAdded time.Time
}

type spendingRow struct {
	spending Spending
	added    time.Time
}

type turnRow struct {
	turn    Turn
	added   time.Time
	lastUse use
}

// use is the last use of a program or a turn.
type use struct {
	at time.Time
	// fromLog is set if the time was read from the log. The clock may have been set since.
	fromLog bool
}

func (u use) isExpired(now time.Time, retention time.Duration) bool {
	if u.fromLog {
		retention += clockSlack
	}
	return now.Sub(u.at) > retention+retentionSlack
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{programs: map[string]*programRow{}, turns: map[string]*turnRow{}}
}

// Apply adds a record and reports whether the log has to hold it: it changed the ledger, or renewed a program for which
// nothing was logged within renewalInterval.
func (l *Ledger) Apply(now time.Time, r Record) bool { return l.apply(use{at: now}, now, r) }

// restore adds a record that was read from the log, with the time of its last use. Records and
// Keys return it only without a time limit, unless markAdded is called for it.
func (l *Ledger) restore(at time.Time, r Record) {
	l.apply(use{at: at, fromLog: true}, time.Time{}, r)
}

func (l *Ledger) apply(u use, added time.Time, r Record) bool {
	switch {
	case r.Spending != nil:
		return l.addSpending(u, added, *r.Spending)
	case r.Turn != nil:
		return l.addTurn(u, added, *r.Turn)
	}
	return false
}

// renewalInterval is how much older the last use of a program in the log may be than in memory.
const renewalInterval = time.Second

// addSpending reports whether the spending is new, settles a reserved one or is a renewal that has to be logged.
func (l *Ledger) addSpending(u use, added time.Time, s Spending) bool {
	row := l.programs[s.Program]
	if row == nil {
		row = &programRow{spendings: map[string]spendingRow{}}
		l.programs[s.Program] = row
	}
	if u.at.After(row.lastUse.at) {
		row.lastUse = u
	}
	row.retention = max(row.retention, s.Retention)
	existing, ok := row.spendings[s.Request]
	if ok && (existing.spending.Settled || !s.Settled) {
		if u.at.Sub(row.loggedUse) < renewalInterval {
			return false
		}
		row.loggedUse = u.at
		return true
	}
	row.loggedUse = u.at
	row.total += s.Tokens - existing.spending.Tokens
	row.add(spendingRow{spending: s, added: added})
	return true
}

func (p *programRow) add(s spendingRow) {
	p.spendings[s.spending.Request] = s
	if s.added.After(p.lastAdded) {
		p.lastAdded = s.added
	}
}

// addTurn adds a turn unless it is known, and reports whether it did.
func (l *Ledger) addTurn(u use, added time.Time, t Turn) bool {
	if _, ok := l.turns[t.Request]; ok {
		return false
	}
	l.turns[t.Request] = &turnRow{turn: t, added: added, lastUse: u}
	l.bytes += int64(len(t.Input) + len(t.Output))
	l.touch(u, t.Previous)
	return true
}

// touch renews the retention of a turn and of all turns before it, since a turn is
// of use only together with its chain.
func (l *Ledger) touch(u use, request string) {
	for request != "" {
		row, ok := l.turns[request]
		if !ok || !u.at.After(row.lastUse.at) {
			return
		}
		row.lastUse = u
		request = row.turn.Previous
	}
}

// Late returns the records that a new one uses after their retention, the oldest turn first. They
// stay in the ledger for a while, but a start that reads the log may have removed them before it
// reaches the new record. So the log must hold them once more, before it.
func (l *Ledger) Late(now time.Time, r Record) []Record {
	var out []Record
	switch {
	case r.Turn != nil && l.turns[r.Turn.Request] == nil:
		seen := map[string]bool{}
		for request := r.Turn.Previous; !seen[request]; {
			seen[request] = true
			row, ok := l.turns[request]
			if !ok || !now.After(row.lastUse.at) {
				break
			}
			if now.Sub(row.lastUse.at) > row.turn.Retention {
				out = append(out, Record{Turn: &row.turn})
			}
			request = row.turn.Previous
		}
		slices.Reverse(out)
	case r.Spending != nil:
		row := l.programs[r.Spending.Program]
		if row == nil || now.Sub(row.lastUse.at) <= row.retention {
			return nil
		}
		for _, s := range row.spendings {
			out = append(out, Record{Spending: &s.spending})
		}
	}
	return out
}

// recordID identifies a record without holding its content.
type recordID struct {
	isTurn           bool
	program, request string
}

// markAdded makes Records and Keys return a record as one that was added at a time.
func (l *Ledger) markAdded(added time.Time, id recordID) {
	if id.isTurn {
		if row := l.turns[id.request]; row != nil {
			row.added = added
		}
		return
	}
	row := l.programs[id.program]
	if row == nil {
		return
	}
	if s, ok := row.spendings[id.request]; ok {
		s.added = added
		row.add(s)
	}
}

// Spendings returns what the program's requests have reserved or used.
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

// IsReserved reports whether a program's request has reserved tokens that aren't settled.
func (l *Ledger) IsReserved(program, request string) bool {
	row := l.programs[program]
	if row == nil {
		return false
	}
	s, ok := row.spendings[request]
	return ok && !s.spending.Settled
}

// SpendingAdded returns when the spending of a program's request was added, and whether it is known.
func (l *Ledger) SpendingAdded(program, request string) (at time.Time, ok bool) {
	row := l.programs[program]
	if row == nil {
		return time.Time{}, false
	}
	s, ok := row.spendings[request]
	return s.added, ok
}

// Total returns the number of tokens that the program's requests have reserved or used.
func (l *Ledger) Total(program string) int64 {
	if row := l.programs[program]; row != nil {
		return row.total
	}
	return 0
}

// Chain returns the turns that end with the named one, the newest first, as far back
// as they are known. The result complete reports whether the first turn of the chain
// was reached; otherwise missing names the turn that isn't known.
func (l *Ledger) Chain(request string) (turns []Turn, complete bool, missing string) {
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

// Program returns the program that the record belongs to. The record must hold a
// spending or a turn.
func (r Record) Program() string {
	if r.Turn != nil {
		return r.Turn.Program
	}
	return r.Spending.Program
}

// Key returns a hash that identifies the record on all copies. A reserved and a settled
// spending of one request have different keys. The record must hold a spending or a turn.
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

// Keys returns the keys of the records that were added at or after since.
func (l *Ledger) Keys(since time.Time) []uint64 {
	records := l.Records(since, nil)
	out := make([]uint64, len(records))
	for i, r := range records {
		out[i] = r.Key()
	}
	return out
}

// Records returns the records that were added at or after since, except those with the
// given keys. A zero time selects all records.
func (l *Ledger) Records(since time.Time, except map[uint64]bool) []Record {
	var out []Record
	add := func(added time.Time, r Record) {
		if !added.Before(since) && (len(except) == 0 || !except[r.Key()]) {
			out = append(out, r)
		}
	}
	for _, row := range l.programs {
		if row.lastAdded.Before(since) {
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

// Snapshot returns all records in the order of their last uses, each after its timestamp, and
// ends with the timestamp of now. A Replay of it gives a ledger with the same content.
func (l *Ledger) Snapshot(now time.Time) []Record {
	type used struct {
		at int64
		r  Record
	}
	var rows []used
	for _, row := range l.programs {
		for _, s := range row.spendings {
			rows = append(rows, used{row.lastUse.at.UnixMilli(), Record{Spending: &s.spending}})
		}
	}
	for _, row := range l.turns {
		rows = append(rows, used{row.lastUse.at.UnixMilli(), Record{Turn: &row.turn}})
	}
	slices.SortFunc(rows, func(a, b used) int { return cmp.Compare(a.at, b.at) })
	var out []Record
	last := int64(0)
	for _, u := range rows {
		if u.at != last {
			out = append(out, Record{Time: u.at})
			last = u.at
		}
		out = append(out, u.r)
	}
	return append(out, Record{Time: now.UnixMilli()})
}

// retentionSlack is added to the retention, since copies receive a turn at slightly
// different times.
const retentionSlack = 5 * time.Second

// clockSlack is added to the retention of what was read from the log, to cover clocks that were
// set.
const clockSlack = 10 * time.Second

// Expire removes the programs and turns that were not used within their retention.
func (l *Ledger) Expire(now time.Time) {
	l.ExpirePrograms(now, 0)
	l.ExpireTurns(now)
}

// ExpirePrograms removes the programs that were not used within their retention, the ones that were used first at first,
// until the others of them take maxBytes at most. It reports whether it removed any.
func (l *Ledger) ExpirePrograms(now time.Time, maxBytes int64) (removed bool) {
	var expired []string
	size := int64(0)
	for name, row := range l.programs {
		if row.lastUse.isExpired(now, row.retention) {
			expired = append(expired, name)
			size += row.bytes()
		}
	}
	slices.SortFunc(expired, func(a, b string) int { return l.programs[a].lastUse.at.Compare(l.programs[b].lastUse.at) })
	for _, name := range expired {
		if size <= maxBytes {
			break
		}
		size -= l.programs[name].bytes()
		delete(l.programs, name)
		removed = true
	}
	return removed
}

// About what a program and a spending take in memory beside their names.
const (
	programBytes  = 1000
	spendingBytes = 150
)

func (p *programRow) bytes() int64 {
	size := int64(programBytes)
	for _, s := range p.spendings {
		size += int64(spendingBytes + len(s.spending.Program) + len(s.spending.Request))
	}
	return size
}

// ExpireTurns removes the turns that were not used within their retention.
func (l *Ledger) ExpireTurns(now time.Time) {
	for request, row := range l.turns {
		if row.lastUse.isExpired(now, row.turn.Retention) {
			l.bytes -= int64(len(row.turn.Input) + len(row.turn.Output))
			delete(l.turns, request)
		}
	}
}

// Programs returns the number of programs with spendings.
func (l *Ledger) Programs() int { return len(l.programs) }

// Turns returns the number of turns.
func (l *Ledger) Turns() int { return len(l.turns) }

// Bytes returns the size of the inputs and outputs of all turns.
func (l *Ledger) Bytes() int64 { return l.bytes }
