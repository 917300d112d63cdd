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

// PlatformFaults are the injected faults of the platform, set by POST /faults. A
// request replaces only the fields that it contains.
type PlatformFaults struct {
	// Down rejects every call with status 503 before it takes effect.
	Down bool `json:"down"`
	// DropConnections closes the connection of every call before it takes effect,
	// without a response.
	DropConnections bool `json:"cut"`
	// DelayMS delays every call before it takes effect.
	DelayMS int64 `json:"slow_ms"`
	// LoseAnswers is the number of further writes that take effect, but whose
	// connection is closed without a response.
	LoseAnswers int `json:"lose_answers"`
	// HostListLagMS is how far the returned host list lags behind.
	HostListLagMS int64 `json:"host_list_lag_ms"`
}

// PlatformCounts holds the number of received calls by kind. A watch counts as one
// call, however long it waits.
type PlatformCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Leases  int64 `json:"leases"`
	Hosts   int64 `json:"hosts"`
	// Limited is the number of calls rejected by the rate limits.
	Limited int64 `json:"limited"`
	// Waiting is the number of watches that are waiting now.
	Waiting int64 `json:"waiting"`
}

// PlatformLimits are rate limits in calls per second; zero means no limit.
type PlatformLimits struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// Platform is an in-memory stand-in of the operators' platform: the key-value service
// with leases and watches, and the host list, which may lag behind. It is an
// http.Handler.
type Platform struct {
	timer        *jktimer.Service
	mux          *http.ServeMux
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu        sync.Mutex
	faults    PlatformFaults
	counts    PlatformCounts
	store     platformStore
	leases    map[string]platformLease
	hostLists []platformHostList
	// changed is closed and replaced whenever waiting watches have to check again.
	changed chan struct{}
}

// NewPlatform returns an empty platform.
func NewPlatform(timer *jktimer.Service, limits PlatformLimits) *Platform {
	p := &Platform{
		timer:        timer,
		mux:          http.NewServeMux(),
		readLimiter:  platformLimiter(limits.Reads),
		writeLimiter: platformLimiter(limits.Writes),
		store:        platformStore{records: map[string]jkplatform.Record{}},
		leases:       map[string]platformLease{},
		changed:      make(chan struct{}),
	}
	p.registerRoutes()
	return p
}

func platformLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (p *Platform) registerRoutes() {
	p.mux.HandleFunc("GET "+jkplatform.PathGet, p.withFaults(p.countRead, p.get))
	p.mux.HandleFunc("GET "+jkplatform.PathList, p.withFaults(p.countRead, p.list))
	p.mux.HandleFunc("GET "+jkplatform.PathWatch, p.withFaults(p.countWatch, p.watch))
	p.mux.HandleFunc("GET "+jkplatform.PathLease, p.withFaults(p.countRead, p.readLease))
	p.mux.HandleFunc("GET "+jkplatform.PathHosts, p.withFaults(p.countHosts, p.hosts))
	p.mux.HandleFunc("POST "+jkplatform.PathCreate, p.withFaults(p.countWrite, p.create))
	p.mux.HandleFunc("POST "+jkplatform.PathSwap, p.withFaults(p.countWrite, p.swap))
	p.mux.HandleFunc("POST "+jkplatform.PathAcquire, p.withFaults(p.countLease, p.acquire))
	p.mux.HandleFunc("POST "+jkplatform.PathRenew, p.withFaults(p.countLease, p.renew))
	p.mux.HandleFunc("POST "+jkplatform.PathRelease, p.withFaults(p.countLease, p.release))
	p.mux.HandleFunc("POST /faults", p.postFaults)
	p.mux.HandleFunc("POST /hosts", p.postHosts)
	p.mux.HandleFunc("GET /counts", p.getCounts)
}

// ServeHTTP serves the platform.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Faults returns the current faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces all faults and wakes the waiting watches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wakeWatches()
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
	p.hostLists = append(p.hostLists, entry)
}

// wakeWatches makes the waiting watches check for changes. The caller holds mu.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) countRead()  { p.counts.Reads++ }
func (p *Platform) countWrite() { p.counts.Writes++ }
func (p *Platform) countWatch() { p.counts.Watches++ }
func (p *Platform) countLease() { p.counts.Leases++ }
func (p *Platform) countHosts() { p.counts.Hosts++ }

// withFaults wraps a handler: it counts the call, applies the faults and the rate
// limits, and then runs the handler.
func (p *Platform) withFaults(count func(), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		count()
		slow := time.Duration(p.faults.DelayMS) * time.Millisecond
		p.mu.Unlock()
		if slow > 0 && !p.timer.Wait(slow, r.Context().Done()) {
			return
		}
		if p.refuseByFault(w) {
			return
		}
		if !p.allow(r.Method) {
			platformError(w, http.StatusTooManyRequests, jkplatform.CodeRateLimited, "too many calls", jkplatform.Record{})
			return
		}
		next(w, r)
	}
}

func (p *Platform) allow(method string) bool {
	limiter := p.readLimiter
	if method == http.MethodPost {
		limiter = p.writeLimiter
	}
	if limiter.AllowN(p.timer.Now(), 1) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Limited++
	return false
}

// refuseByFault applies the faults Down and DropConnections and reports whether the
// call is done.
func (p *Platform) refuseByFault(w http.ResponseWriter) bool {
	f := p.Faults()
	if f.DropConnections {
		platformDropConnection()
		return true
	}
	if f.Down {
		platformError(w, http.StatusServiceUnavailable, jkplatform.CodeUnavailable, "platform is down", jkplatform.Record{})
		return true
	}
	return false
}

// answerWrite sends the result of a write that took effect. If LoseAnswers applies, it
// closes the connection instead.
func (p *Platform) answerWrite(w http.ResponseWriter, answer any) {
	p.mu.Lock()
	lose := p.faults.LoseAnswers > 0
	if lose {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lose {
		platformDropConnection()
		return
	}
	platformReply(w, answer)
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	f := p.Faults()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		platformError(w, http.StatusBadRequest, jkplatform.CodeInvalid, err.Error(), jkplatform.Record{})
		return
	}
	p.SetFaults(f)
	platformReply(w, f)
}

func (p *Platform) postHosts(w http.ResponseWriter, r *http.Request) {
	var body jkplatform.HostsResponse
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		platformError(w, http.StatusBadRequest, jkplatform.CodeInvalid, err.Error(), jkplatform.Record{})
		return
	}
	p.SetHosts(body.Hosts)
	platformReply(w, body)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	platformReply(w, p.Counts())
}

func platformReply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func platformError(w http.ResponseWriter, status int, code jkplatform.Code, detail string, present jkplatform.Record) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(jkplatform.ErrorResponse{Code: code, Detail: detail, Present: present})
}

// platformDropConnection closes the connection without a response.
func platformDropConnection() {
	// net/http closes the connection on a panic with this value and doesn't log it.
	panic(http.ErrAbortHandler)
}
