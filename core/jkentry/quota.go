package jkentry

import (
	"context"
	"fmt"

	"jasmineknot.example/core/jkaccount"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkquota"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jktimer"
)

// quota asks the issuers for permits for the requests of workspaces with a cap.
type quota struct {
	wallet  *jkquota.Wallet
	timer   *jktimer.Service
	log     jklog.Logger
	account *jkaccount.Client
	members *members
}

// newQuota returns the quota of an entry and registers its metrics.
func newQuota(e *Entry) *quota {
	q := &quota{
		wallet: jkquota.NewWallet(jkquota.WalletOptions{Host: e.settings.Host, Zone: e.settings.Zone, Reachable: e.mayReachIssuer}),
		timer:  e.timer, log: e.log.Part("quota"), account: e.account, members: e.members,
	}
	for event, count := range map[string]func(jkquota.Counts) int64{
		"asked":    func(c jkquota.Counts) int64 { return c.Asked },
		"granted":  func(c jkquota.Counts) int64 { return c.Granted },
		"expired":  func(c jkquota.Counts) int64 { return c.Expired },
		"released": func(c jkquota.Counts) int64 { return c.Released },
	} {
		e.metrics.NewGauge(fmt.Sprintf(`jk_quota_permits_total{event=%q}`, event), func() float64 { return float64(count(q.wallet.Counts())) })
	}
	e.metrics.NewGauge(`jk_quota_refused_total{reason="over_cap"}`, func() float64 { return float64(q.wallet.Counts().OverCap) })
	e.metrics.NewGauge(`jk_quota_refused_total{reason="cap_unknown"}`, func() float64 { return float64(q.wallet.Counts().Unknown) })
	return q
}

// mayReachIssuer reports whether an issuer may answer, to this host or through another one: entries
// that are cut off from the storage hosts can go on serving in this way. To them these look as if they
// were down, however long the cut lasts.
func (e *Entry) mayReachIssuer(host string) bool {
	return e.probes.Reachable(host) || len(e.probes.AnsweringAddrs()) > 0
}

// take takes a permit for one request, see jkforward.Quota.
func (q *quota) take(ctx context.Context, w *jkruleset.Workspace, version int64, first bool) (release func(), err error) {
	c := jkquota.Cap{Workspace: w.Name(), Version: version, Rate: w.Rate(), Burst: w.Burst()}
	waiter, question := q.wallet.Take(q.timer.Now(), c, first)
	if question != nil {
		go q.send(question)
	}
	select {
	case <-waiter.Done():
	case <-ctx.Done():
		q.wallet.Leave(q.timer.Now(), waiter)
		return nil, &jkforward.QuotaError{Workspace: w.Name(), Unknown: true}
	}
	if waiter.Refusal == nil {
		return func() { q.wallet.Release(q.timer.Now(), waiter.Permit) }, nil
	}
	q.logStart(w, waiter.Refusal)
	return nil, &jkforward.QuotaError{Workspace: w.Name(), RetryAfter: waiter.Refusal.RetryAfter, Unknown: waiter.Refusal.Unknown}
}

// logStart logs the first refusal of a workspace after a while without any.
func (q *quota) logStart(w *jkruleset.Workspace, r *jkquota.Refusal) {
	switch {
	case !r.Starts:
	case r.Unknown:
		q.log.Warn("cap unknown, no issuer answers", "workspace", w.Name(), "issuers", len(q.members.issuers()))
	default:
		q.log.Info("workspace at its cap", "workspace", w.Name(), "rate", w.Rate(), "burst", w.Burst())
	}
}

// send sends a question, and those that follow from its answer.
func (q *quota) send(question *jkquota.Question) {
	for question != nil {
		answer, err := q.call(question)
		if err != nil {
			question = q.wallet.Fail(q.timer.Now(), question)
			continue
		}
		question = q.wallet.Answer(q.timer.Now(), question, answer)
	}
}

func (q *quota) call(question *jkquota.Question) (answer jkquota.Answer, err error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	stop := q.timer.After(jkquota.QuestionTimeout, func() { cancel(context.DeadlineExceeded) })
	defer stop()
	defer cancel(nil)
	issuer := jkaccount.Copy{Host: question.Issuer.Name, Addr: question.Issuer.Addr, Zone: question.Issuer.Zone}
	err = q.account.Call(ctx, issuer, jkquota.TypeTake, &question.Request, &answer)
	return answer, err
}

// tick returns unused permits and updates the issuers.
func (q *quota) tick() {
	q.updateIssuers()
	for _, question := range q.wallet.Tick(q.timer.Now()) {
		go q.send(question)
	}
}

// updateIssuers tells the wallet which hosts issue permits.
func (q *quota) updateIssuers() {
	q.wallet.SetIssuers(q.members.issuers())
}
