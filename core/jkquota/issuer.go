package jkquota

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shrinkDelay is how long a smaller number of issuers takes to count. Other issuers may not
	// have learned of the change for about a second.
	shrinkDelay = 2 * time.Second
	// maxIssuerRows bounds the memory of an issuer: 10,000 buckets of up to 1.2 KB are 12 MB.
	maxIssuerRows = 10_000
	// issuerRowPeriod is how long a bucket is kept that isn't asked. It exceeds the time in which
	// all entries get new rules, so that the newest version isn't forgotten.
	issuerRowPeriod = 10 * time.Minute
	// rowsChecked is the number of rows that each decision checks for their age.
	rowsChecked = 2
)

// Issuer grants permits for one of several equal shares of the caps of workspaces.
type Issuer struct {
	host      string
	startedAt time.Time
	// issuesSince is when this issuer began to issue. Buckets fill from then on.
	issuesSince time.Time

	mu   sync.Mutex
	rows map[string]*bucket
	// active are the workspaces that an entry asked for recently and for which others collect.
	active map[string]*bucket
	// hosts are the issuers that are known, and issuers is their number that counts. If a smaller
	// one is known since shrinksSince, smaller is the largest that was known since then.
	hosts            []Host
	issuers, smaller int
	shrinksSince     time.Time
	// steps counts the steps that changed a bucket.
	steps uint64

	issued, refused atomic.Int64
}

// NewIssuer returns an issuer that grants nothing until it knows the issuers.
func NewIssuer(now time.Time, host string) *Issuer {
	return &Issuer{host: host, startedAt: now, rows: map[string]*bucket{}, active: map[string]*bucket{}}
}

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

// SetIssuers sets the issuers; none stops this one at once. A larger number counts at once and a
// smaller one after shrinkDelay, so that the shares of issuers that learn of a change at different
// times don't exceed the cap.
func (i *Issuer) SetIssuers(now time.Time, hosts []Host) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !slices.Equal(i.hosts, hosts) {
		i.hosts = hosts
	}
	n := len(hosts)
	switch {
	case n >= i.issuers || n == 0:
		if i.issuers == 0 {
			i.issuesSince = now
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
	b, s := i.row(now, Cap{Workspace: r.Workspace, Version: r.Version, Rate: r.Rate, Burst: r.Burst})
	if b == nil {
		return Answer{}, false
	}
	b.askedAt = now
	if i.isPooled(b) {
		i.active[r.Workspace] = b
	}
	if r.ReturnedStamp.Start == i.startedAt.UnixNano() {
		b.takeBack(r.Returned, r.ReturnedStamp.Step)
	}
	a := b.grant(now, s, r)
	a.Stamp = Stamp{Start: i.startedAt.UnixNano(), Step: b.step}
	i.issued.Add(int64(a.Granted + a.GrantedFirst + a.Spare))
	i.refused.Add(int64(max(r.Count, 0) - a.Granted + max(r.First, 0) - a.GrantedFirst))
	return a, true
}

// row returns the filled bucket of a workspace and this issuer's share of its cap in the newest
// version. The bucket is nil if there is none and none can be made.
func (i *Issuer) row(now time.Time, c Cap) (*bucket, share) {
	if i.issuers <= 0 || !(c.Rate > 0) || !(c.Burst >= 0) {
		return nil, share{}
	}
	b := i.rows[c.Workspace]
	if b == nil {
		if len(i.rows) >= maxIssuerRows {
			return nil, share{}
		}
		// It was granted nothing since this issuer began to issue, or not for issuerRowPeriod.
		b = &bucket{version: c.Version, rate: c.Rate, burst: c.Burst, filledAt: i.issuesSince}
		for n := range b.lows {
			b.lows[n].add(i.steps, 0)
		}
		i.rows[c.Workspace] = b
	}
	if c.Version > b.version {
		i.begin(b)
		b.advance(now, i.share(b, c.Workspace))
		b.version, b.rate, b.burst = c.Version, c.Rate, c.Burst
	}
	b.usedAt = now
	s := i.share(b, c.Workspace)
	i.begin(b)
	b.advance(now, s)
	return b, s
}

// begin begins a step on a bucket.
func (i *Issuer) begin(b *bucket) {
	i.steps++
	b.step = i.steps
}

// share returns this issuer's share of a workspace's cap.
func (i *Issuer) share(b *bucket, workspace string) share {
	chosen := b.chosen.choose(i.hosts, workspace, b.rate, b.burst)
	k := len(chosen)
	if k == len(i.hosts) {
		k = i.issuers
	}
	return shareOf(b.rate, b.burst, i.issuers, k, i.isHolder(b))
}

// isPooled reports whether some issuers collect permits of a bucket for others.
func (i *Issuer) isPooled(b *bucket) bool { return len(b.chosen.holders) < len(i.hosts) }

func (i *Issuer) isHolder(b *bucket) bool {
	return slices.ContainsFunc(b.chosen.holders, func(h Host) bool { return h.Name == i.host })
}

// Pull is a message to another issuer.
type Pull struct {
	To      Host
	Request PullRequest
	SentAt  time.Time
}

// Pulls returns the messages to the other issuers for the workspaces that this one holds and that
// entries ask for.
func (i *Issuer) Pulls(now time.Time) []Pull {
	i.mu.Lock()
	defer i.mu.Unlock()
	byHost := map[string][]PullItem{}
	for name, b := range i.active {
		if now.Sub(b.askedAt) > window || i.issuers <= 0 {
			delete(i.active, name)
			continue
		}
		s := i.share(b, name)
		if !i.isPooled(b) || !i.isHolder(b) {
			continue
		}
		i.begin(b)
		b.advance(now, s)
		// Together the others mustn't give more than the bucket can take.
		others := float64(len(i.hosts) - len(b.chosen.holders))
		item := PullItem{Workspace: name, Version: b.version, Rate: b.rate, Burst: b.burst, Room: b.room(now, s) / others}
		if item.Room <= 0 {
			continue
		}
		for _, h := range i.hosts {
			if !slices.Contains(b.chosen.holders, h) {
				byHost[h.Name] = append(byHost[h.Name], item)
			}
		}
	}
	var out []Pull
	for _, h := range i.hosts {
		if items := byHost[h.Name]; len(items) > 0 {
			out = append(out, Pull{To: h, Request: PullRequest{Items: items}, SentAt: now})
		}
	}
	return out
}

// Give answers a message of a holder. Holders give nothing to each other.
func (i *Issuer) Give(now time.Time, r PullRequest) PullAnswer {
	i.mu.Lock()
	defer i.mu.Unlock()
	moved := make([]float64, len(r.Items))
	for n, item := range r.Items {
		b, _ := i.row(now, Cap{Workspace: item.Workspace, Version: item.Version, Rate: item.Rate, Burst: item.Burst})
		if b == nil || i.isHolder(b) {
			continue
		}
		moved[n] = max(min(item.Room, b.levels[0]), 0)
		b.removeAll(moved[n])
	}
	return PullAnswer{Moved: moved}
}

// Collect takes the answer to a pull. What comes after the timeout is lost, as it may be from
// before a window.
func (i *Issuer) Collect(now time.Time, p Pull, a PullAnswer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(p.SentAt) > QuestionTimeout || len(a.Moved) != len(p.Request.Items) || i.issuers <= 0 {
		return
	}
	for n, item := range p.Request.Items {
		b := i.rows[item.Workspace]
		if b == nil || !(a.Moved[n] > 0) {
			continue
		}
		s := i.share(b, item.Workspace)
		i.begin(b)
		b.advance(now, s)
		b.add(min(a.Moved[n], item.Room), s)
	}
}

// dropRows drops buckets that weren't used for issuerRowPeriod. It checks a few rows that the
// map's order picks at random. A dropped bucket would be full.
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
