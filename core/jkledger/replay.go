package jkledger

import "time"

// replayExpireInterval is the time of the log after which expired records are removed.
const replayExpireInterval = 5 * time.Second

// Replay fills a ledger with the records of its log. It follows the time of the log and removes
// records once they had expired, so that it holds no more than the ledger did while the log was
// written.
type Replay struct {
	ledger *Ledger
	began  time.Time
	// at is the time of the log. It never goes back, and isn't later than began.
	at        time.Time
	expiredAt time.Time
	records   int
	// recent holds the last maxRecent records, the oldest one at records%maxRecent.
	recent    []recordID
	maxRecent int
}

// NewReplay returns a replay into an empty ledger that begins at the given time. Other copies
// may lack the last maxRecent records.
func NewReplay(now time.Time, l *Ledger, maxRecent int) *Replay {
	return &Replay{ledger: l, began: now, maxRecent: maxRecent}
}

// Add adds the next record of the log.
func (p *Replay) Add(r Record) {
	// A record without a timestamp before it may be as young as any.
	at := p.began
	if r.Time != 0 {
		p.advance(time.UnixMilli(r.Time))
		at = p.at
	}
	p.ledger.restore(at, r)
	p.note(r)
}

func (p *Replay) advance(to time.Time) {
	if to.After(p.began) {
		to = p.began
	}
	if !to.After(p.at) {
		return
	}
	p.at = to
	if to.Sub(p.expiredAt) >= replayExpireInterval {
		p.ledger.Expire(to)
		p.expiredAt = to
	}
}

// note adds a record to the recent ones.
func (p *Replay) note(r Record) {
	var id recordID
	switch {
	case r.Turn != nil:
		id = recordID{isTurn: true, request: r.Turn.Request}
	case r.Spending != nil:
		id = recordID{program: r.Spending.Program, request: r.Spending.Request}
	}
	if len(p.recent) < p.maxRecent {
		p.recent = append(p.recent, id)
	} else {
		p.recent[p.records%p.maxRecent] = id
	}
	p.records++
}

// End removes the turns that have expired since the last record, and makes Records and Keys return the
// recent records as if they had been added now. Programs that have expired since then stay, as other copies may have gone on
// with them.
func (p *Replay) End(now time.Time) {
	p.ledger.ExpireTurns(now)
	for _, id := range p.recent {
		p.ledger.markAdded(now, id)
	}
}

// Records returns the number of records that were read.
func (p *Replay) Records() int { return p.records }
