package jkstandin

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// ServiceFaultKind is a kind of injected fault of a plain service.
type ServiceFaultKind string

// The faults of a plain service. Close faults close the connection and hang faults
// block, each before or after the action runs.
const (
	ServiceCloseBeforeRun ServiceFaultKind = "close_before_run"
	ServiceCloseAfterRun  ServiceFaultKind = "close_after_run"
	ServiceHangBeforeRun  ServiceFaultKind = "hang_before_run"
	ServiceHangAfterRun   ServiceFaultKind = "hang_after_run"
	ServiceSlow           ServiceFaultKind = "slow" // runs after an additional delay
	ServiceFail           ServiceFaultKind = "fail" // responds with status 500 and doesn't run
)

// ServiceFault applies to every n-th matching action (Every), at most Times times.
type ServiceFault struct {
	Kind    ServiceFaultKind `json:"kind"`
	Action  string           `json:"action,omitempty"` // name of the action; empty matches all
	Every   int              `json:"every,omitempty"`  // 0 matches every action
	Times   int              `json:"times,omitempty"`  // 0 means no limit
	DelayMS int              `json:"delay_ms,omitempty"`
}

// ServiceFaults are the injected faults of a plain service. The first one that applies
// to an action takes effect.
type ServiceFaults struct {
	Faults []ServiceFault `json:"faults"`
}

// ServiceAction counts the runs and responses of one action id.
type ServiceAction struct {
	Name     string `json:"name"`
	Runs     int    `json:"runs"`
	Answered int    `json:"answered"`
}

// ServiceAccount counts the work of a service. Actions is indexed by action id.
type ServiceAccount struct {
	Requests int                      `json:"requests"`
	Runs     int                      `json:"runs"`
	Reads    int                      `json:"reads"`
	Actions  map[string]ServiceAction `json:"actions"`
}

// Service is a stand-in of a plain service with actions that must not be repeated. It
// doesn't deduplicate: it runs an action for each request and counts the runs, so that
// a test detects a repeated action.
type Service struct {
	timeScale float64
	delay     time.Duration
	timer     *jktimer.Service
	logger    jklog.Logger
	mux       *http.ServeMux

	mu            sync.Mutex
	faults        ServiceFaults
	matches       []int         // by fault: number of actions that match its name
	applied       []int         // by fault: number of times it was applied
	faultsChanged chan struct{} // closed and replaced by SetFaults
	account       ServiceAccount
}

// ServiceOptions configure a plain service. Delay is the simulated time of an action;
// TimeScale converts it into real time.
type ServiceOptions struct {
	TimeScale float64
	Delay     time.Duration
}

// NewService returns a service without faults that has run no action.
func NewService(options ServiceOptions, timer *jktimer.Service, logger jklog.Logger) *Service {
	if options.TimeScale <= 0 {
		options.TimeScale = 1
	}
	s := &Service{
		timeScale: options.TimeScale, delay: options.Delay, timer: timer, logger: logger.Part("service"),
		mux: http.NewServeMux(), faultsChanged: make(chan struct{}),
		account: ServiceAccount{Actions: map[string]ServiceAction{}},
	}
	s.mux.HandleFunc("POST /actions/{name}", s.serveAction)
	s.mux.HandleFunc("GET /items/{name}", s.serveItem)
	s.mux.HandleFunc("GET /account", s.serveAccount)
	s.mux.HandleFunc("POST /faults", s.serveSetFaults)
	return s
}

// ServeHTTP serves the service.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults and releases all hanging requests.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.matches, s.applied = make([]int, len(f.Faults)), make([]int, len(f.Faults))
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Account returns a copy of the counts so far.
func (s *Service) Account() ServiceAccount {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.account
	out.Actions = map[string]ServiceAction{}
	for id, a := range s.account.Actions {
		out.Actions[id] = a
	}
	return out
}

func (s *Service) serveAction(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var body struct {
		ActionID string `json:"action_id"`
	}
	if !serviceDecode(w, r, &body) {
		return
	}
	if body.ActionID == "" {
		serviceRefuse(w, http.StatusBadRequest, "invalid_request", "action_id: got nothing, allowed: an id")
		return
	}
	fault, change := s.nextFault(name)
	if fault.Kind == ServiceFail {
		serviceRefuse(w, http.StatusInternalServerError, "failed", "fault is switched on")
		return
	}
	s.applyBeforeRun(r, fault, change)
	runs := s.recordRun(name, body.ActionID)
	switch fault.Kind {
	case ServiceHangAfterRun:
		s.hang(r, change)
	case ServiceCloseAfterRun:
		panic(http.ErrAbortHandler)
	}
	s.recordAnswer(body.ActionID)
	serviceReply(w, http.StatusOK, map[string]any{
		"action_id": body.ActionID, "name": name, "runs": runs, "receipt": ServiceReceipt(name, body.ActionID),
	})
}

// ServiceReceipt returns the receipt of an action, which the service's response contains.
func ServiceReceipt(name, actionID string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(name+"\x00"+actionID))
}

// nextFault returns the fault to apply to an action, zero for none, and the channel that
// is closed when the faults change.
func (s *Service) nextFault(name string) (ServiceFault, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Requests++
	for i, f := range s.faults.Faults {
		if f.Action != "" && f.Action != name {
			continue
		}
		s.matches[i]++
		if f.Every > 1 && s.matches[i]%f.Every != 0 || f.Times > 0 && s.applied[i] >= f.Times {
			continue
		}
		s.applied[i]++
		return f, s.faultsChanged
	}
	return ServiceFault{}, s.faultsChanged
}

// applyBeforeRun applies the faults that take effect before the action runs, and waits
// for the delay of the action. It aborts the handler if the action must not run.
func (s *Service) applyBeforeRun(r *http.Request, f ServiceFault, change chan struct{}) {
	delay := s.delay
	switch f.Kind {
	case ServiceCloseBeforeRun:
		panic(http.ErrAbortHandler)
	case ServiceHangBeforeRun:
		s.hang(r, change)
	case ServiceSlow:
		delay += time.Duration(f.DelayMS) * time.Millisecond
	}
	if delay > 0 {
		// The action runs even if the client closes the connection meanwhile, like a
		// service that has begun a transaction.
		s.timer.Wait(time.Duration(float64(delay)*s.timeScale), nil)
	}
}

// hang blocks until the faults change. It aborts the handler if the client closes the
// connection first.
func (s *Service) hang(r *http.Request, change chan struct{}) {
	select {
	case <-change:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) recordRun(name, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account.Actions[id]
	a.Name = name
	a.Runs++
	s.account.Actions[id] = a
	s.account.Runs++
	if a.Runs > 1 {
		s.logger.Warn("action ran more than once", "action_id", id, "runs", a.Runs)
	}
	return a.Runs
}

func (s *Service) recordAnswer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account.Actions[id]
	a.Answered++
	s.account.Actions[id] = a
}

func (s *Service) serveItem(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.account.Reads++
	s.mu.Unlock()
	name := r.PathValue("name")
	serviceReply(w, http.StatusOK, map[string]string{"name": name, "digest": ServiceReceipt("item", name)})
}

func (s *Service) serveAccount(w http.ResponseWriter, _ *http.Request) {
	serviceReply(w, http.StatusOK, s.Account())
}

func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if !serviceDecode(w, r, &f) {
		return
	}
	s.SetFaults(f)
	serviceReply(w, http.StatusOK, f)
}
