package jkquota

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// QuestionTimeout is how long an issuer may take to answer, counted from the sending of the
	// question to the reading of the answer. A later answer gives nothing.
	QuestionTimeout = 100 * time.Millisecond
	// maxWait bounds how long a request waits for a permit.
	maxWait = 300 * time.Millisecond
	// silencePeriod is how long an issuer that didn't answer isn't asked.
	silencePeriod = time.Second
	// returnDelay is how long unused permits wait for the next question to their issuer.
	returnDelay = 200 * time.Millisecond
	// walletRowPeriod is how long a workspace is remembered that isn't used.
	walletRowPeriod = time.Minute
	// maxWalletRows bounds the memory of a wallet.
	maxWalletRows = 20_000
	// rowsCheckedInTick is the number of rows that one tick checks for their age.
	rowsCheckedInTick = 64
	// fruitlessPerSecond bounds the questions about one workspace that bring no permit.
	fruitlessPerSecond = 30
)

// Host is an issuer as an entry sees it.
type Host struct{ Name, Addr, Zone string }

// WalletOptions configures a wallet.
type WalletOptions struct {
	// Host and Zone are those of the entry.
	Host, Zone string
	// Reachable reports whether a host answers probes.
	Reachable func(host string) bool
}

// Wallet holds the permits of one entry and decides which issuer is asked for more.
type Wallet struct {
	options WalletOptions

	mu    sync.Mutex
	hosts []Host
	rows  map[string]*row
	// silentUntil holds the issuers that didn't answer.
	silentUntil map[string]time.Time
	// returning holds the rows with permits to return.
	returning map[string]*row

	asked, granted, expired, released atomic.Int64
	overCap, unknown                  atomic.Int64
}

// NewWallet returns a wallet that knows no issuers.
func NewWallet(o WalletOptions) *Wallet {
	return &Wallet{options: o, rows: map[string]*row{}, silentUntil: map[string]time.Time{}, returning: map[string]*row{}}
}

// SetIssuers sets the hosts that issue permits.
func (w *Wallet) SetIssuers(hosts []Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Equal(w.hosts, hosts) {
		w.hosts = hosts
	}
}

// Cap is the cap of a workspace in a version of the rules.
type Cap struct {
	Workspace   string
	Version     int64
	Rate, Burst float64
}

// Permit allows one request of a workspace to be sent to endpoints.
type Permit struct {
	workspace, issuer string
	askedAt           time.Time
	stamp             Stamp
}

// Refusal is why a request gets no permit.
type Refusal struct {
	RetryAfter time.Duration
	// Unknown is set if no issuer answered.
	Unknown bool
	// Starts is set if no request of the workspace was refused for a while before this one.
	Starts bool
}

// Waiter is a request that gets a permit or a refusal. Both are set once Done is closed.
type Waiter struct {
	Permit  Permit
	Refusal *Refusal

	row   *row
	first bool
	since time.Time
	// heard is set once an issuer has answered while the request waited.
	heard bool
	done  chan struct{}
}

// Done is closed once the request is decided.
func (a *Waiter) Done() <-chan struct{} { return a.done }

func (a *Waiter) isDecided() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// Question is a message to an issuer. Its sender calls Answer or Fail once.
type Question struct {
	Issuer  Host
	Request Request
	SentAt  time.Time

	row *row
	// waiting are the requests that the question is asked for.
	waiting []*Waiter
	// onlyReturns is set for a question that only returns permits.
	onlyReturns bool
}

// Take asks for a permit for a request; first is set for a first turn. If the question isn't nil,
// the caller has to send it.
func (w *Wallet) Take(now time.Time, c Cap, first bool) (*Waiter, *Question) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &Waiter{first: first, since: now, done: make(chan struct{})}
	r := w.row(now, c)
	if r == nil {
		w.refuse(now, a, &Refusal{RetryAfter: silencePeriod, Unknown: true})
		return a, nil
	}
	a.row = r
	r.demand.add(now, 1)
	w.expireSpares(now, r)
	if len(r.waiting) == 0 && r.takeSpare(a) {
		return a, nil
	}
	r.waiting = append(r.waiting, a)
	return a, w.next(now, r)
}

// row returns the row of a workspace with the cap of the newest version.
func (w *Wallet) row(now time.Time, c Cap) *row {
	r := w.rows[c.Workspace]
	if r == nil {
		if len(w.rows) >= maxWalletRows {
			return nil
		}
		r = &row{cap: c, hash: xxhash.Sum64String(w.options.Host + "\x00" + c.Workspace), issuers: map[string]*issuerRow{}, fruitless: fruitlessPerSecond, fruitlessAt: now}
		w.rows[c.Workspace] = r
	}
	if c.Version > r.cap.Version {
		r.cap = c
	}
	r.usedAt = now
	return r
}

// Answer takes the answer to a question and returns the next one to send.
func (w *Wallet) Answer(now time.Time, q *Question, a Answer) *Question {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := q.row
	delete(w.silentUntil, q.Issuer.Name)
	if q.onlyReturns {
		return nil
	}
	r.asking, r.answeredAt = false, now
	// An answer is late only if this process didn't read it in time.
	if now.Sub(q.SentAt) > QuestionTimeout {
		return w.next(now, r)
	}
	w.granted.Add(int64(a.Granted + a.GrantedFirst + a.Spare))
	i := r.issuer(q.Issuer.Name)
	if a.Retry > 0 {
		i.emptyUntil = now.Add(a.Retry)
	}
	if a.RetryFirst > 0 {
		i.emptyFirstUntil = now.Add(a.RetryFirst)
	}
	if a.Granted+a.GrantedFirst+a.Spare == 0 {
		r.fruitless--
	}
	r.gained.add(now, float64(a.Granted+a.GrantedFirst+a.Spare))
	permit := Permit{workspace: r.cap.Workspace, issuer: q.Issuer.Name, askedAt: q.SentAt, stamp: a.Stamp}
	for _, waiter := range q.waiting {
		left := &a.Granted
		if waiter.first {
			left = &a.GrantedFirst
		}
		waiter.heard = true
		if *left > 0 && !waiter.isDecided() {
			*left--
			waiter.grant(permit)
		}
	}
	r.spares = append(r.spares, spare{permit: permit, count: a.Spare})
	// Permits are left over if callers have gone meanwhile.
	if unused := a.Granted + a.GrantedFirst; unused > 0 {
		w.giveBack(now, r, permit, unused)
	}
	return w.next(now, r)
}

// Fail records that a question wasn't answered and returns the next one to send.
func (w *Wallet) Fail(now time.Time, q *Question) *Question {
	w.mu.Lock()
	defer w.mu.Unlock()
	// If more than the timeout has passed, this process was paused and nothing is known.
	if now.Sub(q.SentAt) <= 2*QuestionTimeout {
		w.silentUntil[q.Issuer.Name] = now.Add(silencePeriod)
	}
	if q.onlyReturns {
		return nil
	}
	q.row.asking = false
	return w.next(now, q.row)
}

// Leave ends the wait of a request whose caller has gone. A permit that it got is released.
func (w *Wallet) Leave(now time.Time, a *Waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.isDecided() {
		if a.Refusal == nil {
			w.giveBack(now, a.row, a.Permit, 1)
		}
		return
	}
	w.refuse(now, a, &Refusal{})
	a.row.dropDecided()
}

// Release gives back the permit of a request that wasn't sent to an endpoint.
func (w *Wallet) Release(now time.Time, p Permit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.released.Add(1)
	w.giveBack(now, w.rows[p.workspace], p, 1)
}

// giveBack keeps permits for their issuer. Those that can't be returned any more are lost.
func (w *Wallet) giveBack(now time.Time, r *row, p Permit, n int) {
	if r == nil {
		return
	}
	i := r.issuer(p.issuer)
	switch {
	case i.returned == 0:
		i.returnedAt, i.oldest = now, p.stamp
	case i.oldest.Start != p.stamp.Start:
		// The issuer has started again: it takes back only its own permits.
		i.returned, i.oldest = 0, p.stamp
	}
	i.oldest.Step = min(i.oldest.Step, p.stamp.Step)
	i.returned += n
	// The issuer has a permit once it gets this one back.
	i.emptyUntil = now
	w.returning[p.workspace] = r
}

// expireSpares returns the spare permits that are too old to be used.
func (w *Wallet) expireSpares(now time.Time, r *row) {
	kept := r.spares[:0]
	for _, s := range r.spares {
		switch {
		case s.count == 0:
		case now.Sub(s.permit.askedAt) >= spareValidity:
			w.expired.Add(int64(s.count))
			w.giveBack(now, r, s.permit, s.count)
		default:
			kept = append(kept, s)
		}
	}
	r.spares = kept
}

// Tick returns questions that return unused permits, and drops rows that aren't used.
func (w *Wallet) Tick(now time.Time) []*Question {
	w.mu.Lock()
	defer w.mu.Unlock()
	checked := 0
	for name, r := range w.rows {
		w.dropGone(r)
		if now.Sub(r.usedAt) >= walletRowPeriod && !r.asking && len(r.waiting) == 0 {
			delete(w.rows, name)
			delete(w.returning, name)
		}
		if checked++; checked == rowsCheckedInTick {
			break
		}
	}
	var out []*Question
	for name, r := range w.returning {
		w.expireSpares(now, r)
		w.dropGone(r)
		if q := w.returnQuestion(now, r); q != nil {
			out = append(out, q)
		}
		if !r.hasReturns() && len(r.spares) == 0 {
			delete(w.returning, name)
		}
	}
	return out
}

// dropGone forgets hosts that don't issue permits any more, with the permits to return to them.
func (w *Wallet) dropGone(r *row) {
	maps.DeleteFunc(r.issuers, func(name string, _ *issuerRow) bool {
		return !slices.ContainsFunc(w.hosts, func(h Host) bool { return h.Name == name })
	})
}

// returnQuestion returns a question that returns the permits of one issuer that have waited for
// returnDelay.
func (w *Wallet) returnQuestion(now time.Time, r *row) *Question {
	for _, h := range w.hosts {
		i := r.issuers[h.Name]
		if i == nil || i.returned == 0 || now.Sub(i.returnedAt) < returnDelay {
			continue
		}
		q := &Question{Issuer: h, SentAt: now, row: r, onlyReturns: true, Request: r.request()}
		i.fillReturns(&q.Request)
		if w.isUsable(now, h) {
			return q
		}
	}
	return nil
}

// isUsable reports whether an issuer is expected to answer.
func (w *Wallet) isUsable(now time.Time, h Host) bool {
	return w.options.Reachable(h.Name) && !now.Before(w.silentUntil[h.Name])
}
