// Package jkstandin holds the stand-ins for everything outside the system: the
// platform, model engines, services and tools. Each has fault switches that
// tests set by a request.
package jkstandin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jktimer"
)

// PlatformFaults are the fault switches of the stand-in platform, set by POST
// /faults. A request replaces only the fields it names.
type PlatformFaults struct {
	// Down answers every call with 503 and without effect.
	Down bool `json:"down"`
	// Cut closes every connection without an answer and without effect.
	Cut bool `json:"cut"`
	// SlowMillisecond delays every call before it takes effect.
	SlowMillisecond int64 `json:"slow_ms"`
	// LoseAnswers is the number of next writes that take effect but whose
	// connection is closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// HostListLagMillisecond is the age of the host list that is answered.
	HostListLagMillisecond int64 `json:"host_list_lag_ms"`
}

// PlatformCounts holds the number of calls received by kind. A watch counts as
// one, however long it waits.
type PlatformCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Leases  int64 `json:"leases"`
	Hosts   int64 `json:"hosts"`
	// Limited is the number of calls refused by the rate limits.
	Limited int64 `json:"limited"`
	// Waiting is the number of watches that wait at present.
	Waiting int64 `json:"waiting"`
}

// PlatformLimits are calls a second; zero stands for no limit.
type PlatformLimits struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// Platform stands in for the operators' platform: the key-value service, its
// leases and watches, and the lagging host list. It is an http.Handler.
type Platform struct {
	timer *jktimer.Service
	mux   *http.ServeMux
	reads *rate.Limiter
	write *rate.Limiter

	mu     sync.Mutex
	faults PlatformFaults
	counts PlatformCounts
	store  platformStore
	leases map[string]platformLease
	lists  []platformHostList
	// changed is closed and replaced whenever a waiting watch has to look
	// again.
	changed chan struct{}
}

// NewPlatform returns an empty platform.
func NewPlatform(timer *jktimer.Service, limits PlatformLimits) *Platform {
	p := &Platform{
		timer:   timer,
		mux:     http.NewServeMux(),
		reads:   platformLimiter(limits.Reads),
		write:   platformLimiter(limits.Writes),
		store:   platformStore{records: map[string]jkplatform.Record{}},
		leases:  map[string]platformLease{},
		changed: make(chan struct{}),
	}
	p.route()
	return p
}

func platformLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (p *Platform) route() {
	p.mux.HandleFunc("GET "+jkplatform.PathGet, p.guard(p.countRead, p.get))
	p.mux.HandleFunc("GET "+jkplatform.PathList, p.guard(p.countRead, p.list))
	p.mux.HandleFunc("GET "+jkplatform.PathWatch, p.guard(p.countWatch, p.watch))
	p.mux.HandleFunc("GET "+jkplatform.PathLease, p.guard(p.countRead, p.readLease))
	p.mux.HandleFunc("GET "+jkplatform.PathHosts, p.guard(p.countHosts, p.hosts))
	p.mux.HandleFunc("POST "+jkplatform.PathCreate, p.guard(p.countWrite, p.create))
	p.mux.HandleFunc("POST "+jkplatform.PathSwap, p.guard(p.countWrite, p.swap))
	p.mux.HandleFunc("POST "+jkplatform.PathAcquire, p.guard(p.countLease, p.acquire))
	p.mux.HandleFunc("POST "+jkplatform.PathRenew, p.guard(p.countLease, p.renew))
	p.mux.HandleFunc("POST "+jkplatform.PathRelease, p.guard(p.countLease, p.release))
	p.mux.HandleFunc("POST /faults", p.postFaults)
	p.mux.HandleFunc("POST /hosts", p.postHosts)
	p.mux.HandleFunc("GET /counts", p.getCounts)
}

// ServeHTTP answers one request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Faults returns the fault switches.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces all fault switches and wakes the waiting watches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// Counts returns the number of calls received so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetHosts replaces the host list; callers see it after the lag.
func (p *Platform) SetHosts(hosts []jkplatform.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := platformHostList{at: p.timer.Now(), hosts: append([]jkplatform.HostEntry{}, hosts...)}
	p.lists = append(p.lists, entry)
}

// wake makes the waiting watches look again. The lock is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) countRead()  { p.counts.Reads++ }
func (p *Platform) countWrite() { p.counts.Writes++ }
func (p *Platform) countWatch() { p.counts.Watches++ }
func (p *Platform) countLease() { p.counts.Leases++ }
func (p *Platform) countHosts() { p.counts.Hosts++ }

// guard counts a call, applies the rate limits and the fault switches, and
// passes it on.
func (p *Platform) guard(count func(), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		count()
		slow := time.Duration(p.faults.SlowMillisecond) * time.Millisecond
		p.mu.Unlock()
		if slow > 0 && !p.timer.Wait(slow, r.Context().Done()) {
			return
		}
		if p.refused(w) {
			return
		}
		if !p.admit(r.Method) {
			platformFail(w, http.StatusTooManyRequests, jkplatform.CodeRateLimited, "too many calls", jkplatform.Record{})
			return
		}
		next(w, r)
	}
}

func (p *Platform) admit(method string) bool {
	limiter := p.reads
	if method == http.MethodPost {
		limiter = p.write
	}
	if limiter.AllowN(p.timer.Now(), 1) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Limited++
	return false
}

// refused applies the switches down and cut and reports whether it answered.
func (p *Platform) refused(w http.ResponseWriter) bool {
	f := p.Faults()
	if f.Cut {
		platformCut()
		return true
	}
	if f.Down {
		platformFail(w, http.StatusServiceUnavailable, jkplatform.CodeUnavailable, "platform is down", jkplatform.Record{})
		return true
	}
	return false
}

// answerWrite sends the result of a write that took effect, unless its answer
// is to be lost.
func (p *Platform) answerWrite(w http.ResponseWriter, answer any) {
	p.mu.Lock()
	lose := p.faults.LoseAnswers > 0
	if lose {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lose {
		platformCut()
		return
	}
	platformAnswer(w, answer)
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	f := p.Faults()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		platformFail(w, http.StatusBadRequest, jkplatform.CodeInvalid, err.Error(), jkplatform.Record{})
		return
	}
	p.SetFaults(f)
	platformAnswer(w, f)
}

func (p *Platform) postHosts(w http.ResponseWriter, r *http.Request) {
	var body jkplatform.HostsResponse
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		platformFail(w, http.StatusBadRequest, jkplatform.CodeInvalid, err.Error(), jkplatform.Record{})
		return
	}
	p.SetHosts(body.Hosts)
	platformAnswer(w, body)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	platformAnswer(w, p.Counts())
}

func platformAnswer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone; nothing is left to tell it.
	_ = json.NewEncoder(w).Encode(body)
}

func platformFail(w http.ResponseWriter, status int, code jkplatform.Code, detail string, present jkplatform.Record) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(jkplatform.ErrorResponse{Code: code, Detail: detail, Present: present})
}

// platformCut closes the connection without an answer.
func platformCut() {
	// net/http takes this value as a request to drop the connection.
	panic(http.ErrAbortHandler)
}
