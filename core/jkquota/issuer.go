package jkquota

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shrinkDelay is how long a smaller number of issuers takes to count. Other issuers may not
	// have learned of the change for about a second.
	shrinkDelay = 2 * time.Second
	// maxIssuerRows bounds the memory of an issuer: 20,000 buckets are about 6 MB.
	maxIssuerRows = 20_000
	// issuerRowPeriod is how long a bucket is kept that isn't asked. It exceeds the time in which
	// all entries get new rules, so that the newest version isn't forgotten.
	issuerRowPeriod = 10 * time.Minute
	// rowsChecked is the number of rows that each decision checks for their age.
	rowsChecked = 2
)

// Issuer grants permits for one of several equal shares of the caps of workspaces.
type Issuer struct {
	mu   sync.Mutex
	rows map[string]*bucket
	// issuers is the number of issuers that counts. If a smaller one is known since shrinksSince,
	// smaller is the largest that was known since then.
	issuers, smaller int
	shrinksSince     time.Time
	// startedAt is when this issuer began to issue. Buckets fill from then on.
	startedAt time.Time

	issued, refused atomic.Int64
}

// NewIssuer returns an issuer that grants nothing until it knows the number of issuers.
func NewIssuer() *Issuer { return &Issuer{rows: map[string]*bucket{}} }

// Issued returns the number of permits that were granted.
func (i *Issuer) Issued() int64 { return i.issued.Load() }

// Refused returns the number of permits that were asked for by waiting requests and not granted.
func (i *Issuer) Refused() int64 { return i.refused.Load() }

// Rows returns the number of workspaces that have a bucket.
func (i *Issuer) Rows() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.rows)
}

// SetIssuers sets the number of issuers; zero stops this one at once. A larger number counts at
// once and a smaller one after shrinkDelay, so that the shares of issuers that learn of a change
// at different times don't exceed the cap.
func (i *Issuer) SetIssuers(now time.Time, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case n >= i.issuers || n == 0:
		if i.issuers == 0 {
			i.startedAt = now
		}
		i.issuers, i.shrinksSince = n, time.Time{}
	case i.shrinksSince.IsZero():
		i.smaller, i.shrinksSince = n, now
	default:
		i.smaller = max(i.smaller, n)
	}
	if !i.shrinksSince.IsZero() && now.Sub(i.shrinksSince) >= shrinkDelay {
		i.issuers, i.shrinksSince = i.smaller, time.Time{}
	}
}

// Take answers a request. It returns false if this issuer can't tell, because it doesn't know the
// issuers, the request has no cap, or it has no room for another workspace.
func (i *Issuer) Take(now time.Time, r Request) (Answer, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.dropRows(now)
	if i.issuers <= 0 || !(r.Rate > 0) || !(r.Burst >= 0) {
		return Answer{}, false
	}
	b := i.row(now, r)
	if b == nil {
		return Answer{}, false
	}
	s := b.share(i.issuers)
	b.advance(now, s)
	b.takeBack(now, s, r)
	a := b.grant(now, s, r)
	i.issued.Add(int64(a.Granted + a.GrantedFirst + a.Spare))
	i.refused.Add(int64(max(r.Count, 0) - a.Granted + max(r.First, 0) - a.GrantedFirst))
	return a, true
}

// row returns the bucket of a request's workspace with the cap of the newest version.
func (i *Issuer) row(now time.Time, r Request) *bucket {
	b := i.rows[r.Workspace]
	if b == nil {
		if len(i.rows) >= maxIssuerRows {
			return nil
		}
		// The workspace has been granted nothing since the start, or not for issuerRowPeriod.
		b = &bucket{version: r.Version, rate: r.Rate, burst: r.Burst, filledAt: i.startedAt, fullAt: now}
		i.rows[r.Workspace] = b
	}
	if r.Version > b.version {
		b.advance(now, b.share(i.issuers))
		b.version, b.rate, b.burst = r.Version, r.Rate, r.Burst
	}
	b.usedAt = now
	return b
}

// dropRows drops buckets that weren't used for issuerRowPeriod. It checks a few rows that the
// map's order picks at random. A dropped bucket would be full by then.
func (i *Issuer) dropRows(now time.Time) {
	checked := 0
	for name, b := range i.rows {
		if now.Sub(b.usedAt) >= issuerRowPeriod {
			delete(i.rows, name)
		}
		if checked++; checked == rowsChecked {
			return
		}
	}
}
