package jkentry

import (
	"context"
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
	// issuersInterval is the interval at which the issuers are determined.
	issuersInterval = 100 * time.Millisecond
)

// permits answers the questions of entries for permits.
type permits struct {
	*Storage
	issuer *jkquota.Issuer

	mu sync.Mutex
	// updatedAt is when the issuers were last determined, and issuing is set if there were any.
	updatedAt time.Time
	issuing   bool
}

// newPermits returns the permits of a storage host.
func newPermits(t *Storage) *permits {
	return &permits{Storage: t, issuer: jkquota.NewIssuer(t.timer.Now(), t.settings.Host)}
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
	if !p.updatedAt.IsZero() && now.Sub(p.updatedAt) < issuersInterval {
		return
	}
	p.updatedAt = now
	hosts := p.issuers()
	if issuing := len(hosts) > 0; issuing != p.issuing {
		p.issuing = issuing
		p.log.Info("issuing of permits changed", "issuing", issuing, "issuers", len(hosts))
	}
	p.issuer.SetIssuers(now, hosts)
}

// handlePull answers a quota_pull message.
func (p *permits) handlePull(s *jkwire.ServerStream) error {
	var r jkquota.PullRequest
	if err := s.Decode(&r); err != nil {
		return err
	}
	now := p.timer.Now()
	p.update(now)
	answer := p.issuer.Give(now, r)
	return s.End(&answer)
}

// pull asks the other issuers for what they have collected for workspaces that this one holds.
func (p *permits) pull() {
	now := p.timer.Now()
	p.update(now)
	for _, pull := range p.issuer.Pulls(now) {
		if p.probes.Reachable(pull.To.Name) {
			go p.sendPull(pull)
		}
	}
}

// sendPull sends one message of pull. Another issuer that doesn't answer keeps what it has.
func (p *permits) sendPull(pull jkquota.Pull) {
	ctx, cancel := context.WithCancelCause(p.running)
	stop := p.timer.After(jkquota.QuestionTimeout, func() { cancel(context.DeadlineExceeded) })
	defer stop()
	defer cancel(nil)
	var answer jkquota.PullAnswer
	if err := p.peers.Call(ctx, pull.To.Addr, jkquota.TypePull, &pull.Request, &answer); err == nil {
		p.issuer.Collect(p.timer.Now(), pull, answer)
	}
}

// issuers returns the issuers if this host is one of them, else none.
func (p *permits) issuers() []jkquota.Host {
	hosts := p.members.issuers()
	delay := issuerDelay
	if p.settings.First {
		delay = firstIssuerDelay
	}
	if !p.isListed() || !slices.ContainsFunc(hosts, p.isSelf) || p.members.knownFor(p.settings.Host) < delay || p.isAloneCutOff(hosts) {
		return nil
	}
	return hosts
}

// isSelf reports whether an issuer is this host and not another one that has replaced it under its name.
// The store may name an address at which the others reach this host through a translation.
func (p *permits) isSelf(h jkquota.Host) bool {
	listed := p.listedAs.Load()
	return h.Name == p.settings.Host && (h.Addr == p.settings.Inner || listed != nil && h.Addr == *listed)
}

// isAloneCutOff reports whether this host may have been removed from the store without knowing.
func (p *permits) isAloneCutOff(issuers []jkquota.Host) bool {
	f := p.follower.Load()
	return f != nil && mayBeRemoved(p.timer.Now().Sub(f.KnownAt()), p.settings, issuers, p.probes.Reachable)
}

// mayBeRemoved reports whether a host may have been removed from the store, given the age of its last
// news of it. Hosts of a zone that is silent as a whole aren't removed, and those that are in reach
// of all others of their zone are silent only together with them.
func mayBeRemoved(newsAge time.Duration, self Settings, issuers []jkquota.Host, reachable func(host string) bool) bool {
	return newsAge >= issuerStaleAfter && slices.ContainsFunc(issuers, func(h jkquota.Host) bool {
		return h.Zone == self.Zone && h.Name != self.Host && !reachable(h.Name)
	})
}

// register registers the issuer's metrics.
func (p *permits) register(set *metrics.Set) {
	set.NewGauge(`jk_quota_issuer_permits_total{event="issued"}`, func() float64 { return float64(p.issuer.Issued()) })
	set.NewGauge(`jk_quota_issuer_permits_total{event="refused"}`, func() float64 { return float64(p.issuer.Refused()) })
	set.NewGauge("jk_quota_issuer_workspaces", func() float64 { return float64(p.issuer.Rows()) })
}
