package jkstandin

import (
	"net/http"
	"time"

	"jasmineknot.example/core/jkplatform"
)

// platformLease is a granted lease. It expires at its deadline, but an expired lease
// stays in the table until the key is acquired again.
type platformLease struct {
	answer   jkplatform.LeaseResponse
	deadline time.Time
}

// platformHostList is a version of the host list, valid from the time at.
type platformHostList struct {
	at    time.Time
	hosts []jkplatform.HostEntry
}

// activeLease returns the lease of a key unless it has expired. The caller holds mu.
func (p *Platform) activeLease(key string) (jkplatform.LeaseResponse, bool) {
	l, ok := p.leases[key]
	if !ok || !p.timer.Now().Before(l.deadline) {
		return jkplatform.LeaseResponse{}, false
	}
	return l.answer, true
}

// putLease stores a lease that starts now. The caller holds mu.
func (p *Platform) putLease(body jkplatform.LeaseRequest, token uint64) jkplatform.LeaseResponse {
	a := jkplatform.LeaseResponse{
		Key: body.Key, Holder: body.Holder, Token: token, TTLMillisecond: body.TTLMillisecond,
	}
	ttl := time.Duration(body.TTLMillisecond) * time.Millisecond
	p.leases[body.Key] = platformLease{answer: a, deadline: p.timer.Now().Add(ttl)}
	return a
}

func (p *Platform) readLease(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	lease, ok := p.activeLease(key)
	p.mu.Unlock()
	if !ok {
		platformError(w, http.StatusNotFound, jkplatform.CodeNotFound, key, jkplatform.Record{})
		return
	}
	platformReply(w, lease)
}

func (p *Platform) acquire(w http.ResponseWriter, r *http.Request) {
	var body jkplatform.LeaseRequest
	if !platformReadBody(w, r, &body) {
		return
	}
	p.mu.Lock()
	present, held := p.activeLease(body.Key)
	refuse := held && present.Holder != body.Holder
	var granted jkplatform.LeaseResponse
	if !refuse {
		p.store.version++
		granted = p.putLease(body, p.store.version)
	}
	p.mu.Unlock()
	if refuse {
		platformError(w, http.StatusConflict, jkplatform.CodeExists, body.Key, platformLeaseRecord(present))
		return
	}
	p.answerWrite(w, granted)
}

func (p *Platform) renew(w http.ResponseWriter, r *http.Request) {
	p.withLease(w, r, func(body jkplatform.LeaseRequest) jkplatform.LeaseResponse {
		return p.putLease(body, body.Token)
	})
}

func (p *Platform) release(w http.ResponseWriter, r *http.Request) {
	p.withLease(w, r, func(body jkplatform.LeaseRequest) jkplatform.LeaseResponse {
		delete(p.leases, body.Key)
		return jkplatform.LeaseResponse{Key: body.Key, Holder: body.Holder, Token: body.Token}
	})
}

// withLease applies a change under mu if the request has the fencing token of the
// active lease.
func (p *Platform) withLease(w http.ResponseWriter, r *http.Request, change func(jkplatform.LeaseRequest) jkplatform.LeaseResponse) {
	var body jkplatform.LeaseRequest
	if !platformReadBody(w, r, &body) {
		return
	}
	p.mu.Lock()
	present, held := p.activeLease(body.Key)
	current := held && present.Token == body.Token
	var answer jkplatform.LeaseResponse
	if current {
		answer = change(body)
	}
	p.mu.Unlock()
	if !current {
		platformError(w, http.StatusConflict, jkplatform.CodeConflict, body.Key, platformLeaseRecord(present))
		return
	}
	p.answerWrite(w, answer)
}

func (p *Platform) hosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	lag := time.Duration(p.faults.HostListLagMS) * time.Millisecond
	latest := p.timer.Now().Add(-lag)
	answer := jkplatform.HostsResponse{}
	for _, list := range p.hostLists {
		if !list.at.After(latest) {
			answer.Hosts = list.hosts
		}
	}
	p.mu.Unlock()
	platformReply(w, answer)
}

func platformLeaseRecord(l jkplatform.LeaseResponse) jkplatform.Record {
	return jkplatform.Record{Key: l.Key, Value: []byte(l.Holder), Version: l.Token}
}
