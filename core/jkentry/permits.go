package jkentry

import (
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkquota"
	"jasmineknot.example/core/jkwire"
)

const (
	// issuerDelay is how long a storage host is in the store before it issues permits. Others
	// learn of it within about a second, and reduce their shares.
	issuerDelay = 1500 * time.Millisecond
	// firstIssuerDelay replaces issuerDelay at the first start of a system, whose hosts appear
	// within some seconds.
	firstIssuerDelay = 5 * time.Second
	// issuerStaleAfter is the age of the last news of the store after which a host that is alone
	// in being cut off stops issuing. It is below removeAfter, after which the shares of the
	// others grow.
	issuerStaleAfter = 15 * time.Second
	// issuersInterval is the interval at which the number of issuers is counted.
	issuersInterval = 100 * time.Millisecond
)

// permits answers the questions of entries for permits.
type permits struct {
	*Storage
	issuer *jkquota.Issuer

	mu sync.Mutex
	// countedAt is when the issuers were last counted, and count their number.
	countedAt time.Time
	count     int
}

// handle answers a quota_take message.
func (p *permits) handle(s *jkwire.ServerStream) error {
	var r jkquota.Request
	if err := s.Decode(&r); err != nil {
		return err
	}
	now := p.timer.Now()
	p.update(now)
	answer, ok := p.issuer.Take(now, r)
	if !ok {
		return s.Fail("no_issuer", "this host issues no permits")
	}
	return s.End(&answer)
}

// update tells the issuer how many issuers there are.
func (p *permits) update(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.countedAt.IsZero() && now.Sub(p.countedAt) < issuersInterval {
		return
	}
	p.countedAt = now
	n := p.issuers()
	if (n == 0) != (p.count == 0) {
		p.log.Info("permits issued changed", "issuing", n > 0, "issuers", n)
	}
	p.count = n
	p.issuer.SetIssuers(now, n)
}

// issuers returns the number of issuers of which this host is one, or zero if it isn't.
func (p *permits) issuers() int {
	hosts := p.members.issuers()
	isSelf := func(h HostEntry) bool { return h.Host == p.settings.Host && h.Addr == p.settings.Inner }
	delay := issuerDelay
	if p.settings.First {
		delay = firstIssuerDelay
	}
	if !p.isListed() || !slices.ContainsFunc(hosts, isSelf) || p.members.knownFor(p.settings.Host) < delay || p.isAloneCutOff(hosts) {
		return 0
	}
	return len(hosts)
}

// isAloneCutOff reports whether this host may have been removed from the store without knowing.
// Hosts of a zone that is silent as a whole aren't removed.
func (p *permits) isAloneCutOff(issuers []HostEntry) bool {
	f := p.follower.Load()
	if f == nil || p.timer.Now().Sub(f.KnownAt()) < issuerStaleAfter {
		return false
	}
	return slices.ContainsFunc(issuers, func(h HostEntry) bool {
		return h.Zone == p.settings.Zone && h.Host != p.settings.Host && !p.probes.Reachable(h.Host)
	})
}

// register registers the issuer's metrics.
func (p *permits) register(set *metrics.Set) {
	set.NewGauge(`jk_quota_issuer_permits_total{event="issued"}`, func() float64 { return float64(p.issuer.Issued()) })
	set.NewGauge(`jk_quota_issuer_permits_total{event="refused"}`, func() float64 { return float64(p.issuer.Refused()) })
	set.NewGauge("jk_quota_issuer_workspaces", func() float64 { return float64(p.issuer.Rows()) })
}
