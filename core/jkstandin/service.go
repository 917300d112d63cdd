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

// ServiceFaultKind is a kind of failure of a plain service.
type ServiceFaultKind string

// Faults of a plain service.
const (
	ServiceCloseBeforeRun ServiceFaultKind = "close_before_run"
	ServiceCloseAfterRun  ServiceFaultKind = "close_after_run"
	ServiceHangBeforeRun  ServiceFaultKind = "hang_before_run"
	ServiceHangAfterRun   ServiceFaultKind = "hang_after_run"
	ServiceSlow           ServiceFaultKind = "slow" // runs after the delay
	ServiceFail           ServiceFaultKind = "fail" // answers 500 without running
)

// ServiceFault applies to every n-th action until it was applied Times times.
type ServiceFault struct {
	Kind    ServiceFaultKind `json:"kind"`
	Action  string           `json:"action,omitempty"` // name; empty for all
	Every   int              `json:"every,omitempty"`  // 0 means every action
	Times   int              `json:"times,omitempty"`  // 0 means without limit
	DelayMS int              `json:"delay_ms,omitempty"`
}

// ServiceFaults are the faults of a plain service. The first one that applies
// to an action takes effect.
type ServiceFaults struct {
	Faults []ServiceFault `json:"faults"`
}

// ServiceAction is the account of one action id.
type ServiceAction struct {
	Name     string `json:"name"`
	Runs     int    `json:"runs"`
	Answered int    `json:"answered"`
}

// ServiceAccount is what a service really did. Actions are by action id.
type ServiceAccount struct {
	Requests int                      `json:"requests"`
	Runs     int                      `json:"runs"`
	Reads    int                      `json:"reads"`
	Actions  map[string]ServiceAction `json:"actions"`
}

// Service is a stand-in of a plain service with actions that must not be
// repeated. It runs an action as often as it is asked to and counts the runs.
type Service struct {
	scale  float64
	delay  time.Duration
	timer  *jktimer.Service
	logger jklog.Logger
	mux    *http.ServeMux

	mu      sync.Mutex
	faults  ServiceFaults
	seen    []int // actions that fault i could have applied to
	used    []int // times that fault i applied
	change  chan struct{}
	account ServiceAccount
}

// ServiceOptions describe a plain service. Delay is the modelled time of an
// action; TimeScale converts it into real time.
type ServiceOptions struct {
	TimeScale float64
	Delay     time.Duration
}

// NewService returns a service that has run nothing.
func NewService(options ServiceOptions, timer *jktimer.Service, logger jklog.Logger) *Service {
	if options.TimeScale <= 0 {
		options.TimeScale = 1
	}
	s := &Service{
		scale: options.TimeScale, delay: options.Delay, timer: timer, logger: logger.Part("service"),
		mux: http.NewServeMux(), change: make(chan struct{}),
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

// SetFaults replaces the faults and ends every hang.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.seen, s.used = make([]int, len(f.Faults)), make([]int, len(f.Faults))
	close(s.change)
	s.change = make(chan struct{})
}

// Account returns what the service did so far.
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
	fault, change := s.pick(name)
	if fault.Kind == ServiceFail {
		serviceRefuse(w, http.StatusInternalServerError, "failed", "fault is switched on")
		return
	}
	s.before(r, fault, change)
	runs := s.run(name, body.ActionID)
	switch fault.Kind {
	case ServiceHangAfterRun:
		s.hang(r, change)
	case ServiceCloseAfterRun:
		panic(http.ErrAbortHandler)
	}
	s.answered(body.ActionID)
	serviceReply(w, http.StatusOK, map[string]any{
		"action_id": body.ActionID, "name": name, "runs": runs, "receipt": ServiceReceipt(name, body.ActionID),
	})
}

// ServiceReceipt is the receipt of an action in the service's answer.
func ServiceReceipt(name, actionID string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(name+"\x00"+actionID))
}

// pick returns the fault of the next action, or a zero one, and the channel
// that is closed when the faults change.
func (s *Service) pick(name string) (ServiceFault, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Requests++
	for i, f := range s.faults.Faults {
		if f.Action != "" && f.Action != name {
			continue
		}
		s.seen[i]++
		if f.Every > 1 && s.seen[i]%f.Every != 0 || f.Times > 0 && s.used[i] >= f.Times {
			continue
		}
		s.used[i]++
		return f, s.change
	}
	return ServiceFault{}, s.change
}

// before applies the part of a fault that precedes the run. It aborts the
// handler if the action is not to run.
func (s *Service) before(r *http.Request, f ServiceFault, change chan struct{}) {
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
		// The action runs even if the client goes away meanwhile, as a service
		// that has begun a transaction does.
		s.timer.Wait(time.Duration(float64(delay)*s.scale), nil)
	}
}

// hang blocks until the faults change; if the client goes away first, it
// aborts the handler.
func (s *Service) hang(r *http.Request, change chan struct{}) {
	select {
	case <-change:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) run(name, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account.Actions[id]
	a.Name = name
	a.Runs++
	s.account.Actions[id] = a
	s.account.Runs++
	if a.Runs > 1 {
		s.logger.Warn("action ran again", "action_id", id, "runs", a.Runs)
	}
	return a.Runs
}

func (s *Service) answered(id string) {
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
