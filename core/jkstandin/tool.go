package jkstandin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// ToolOptions configure a tool service. Pause is the simulated time of a call that
// doesn't set its own; TimeScale converts it into real time.
type ToolOptions struct {
	TimeScale float64
	Pause     time.Duration
}

// ToolFaults are the injected faults of a tool service.
type ToolFaults struct {
	Hang    bool `json:"hang"`     // calls get no response
	PauseMS int  `json:"pause_ms"` // added to every call
	Fail    int  `json:"fail"`     // HTTP status of every call; 0 means none
}

// ToolAccount counts the calls of a tool service.
type ToolAccount struct {
	Calls     int            `json:"calls"`
	Waiting   int            `json:"waiting"` // calls in flight: pausing or hanging
	Abandoned int            `json:"gone"`    // calls abandoned by the client
	ByName    map[string]int `json:"by_name"`
}

// ToolCall is the request body of a call. PauseMS overrides the pause of the options.
type ToolCall struct {
	PauseMS   *int            `json:"pause_ms,omitempty"`
	Arguments json.RawMessage `json:"arguments,omitempty"`
}

// Tool is a stand-in of a tool service: each call waits for its pause, then responds.
type Tool struct {
	options ToolOptions
	timer   *jktimer.Service
	logger  jklog.Logger
	mux     *http.ServeMux

	mu            sync.Mutex
	faults        ToolFaults
	faultsChanged chan struct{} // closed and replaced by SetFaults
	account       ToolAccount
}

// NewTool returns a tool service without faults.
func NewTool(options ToolOptions, timer *jktimer.Service, logger jklog.Logger) *Tool {
	if options.TimeScale <= 0 {
		options.TimeScale = 1
	}
	t := &Tool{
		options: options, timer: timer, logger: logger.Part("tool"), mux: http.NewServeMux(),
		faultsChanged: make(chan struct{}), account: ToolAccount{ByName: map[string]int{}},
	}
	t.mux.HandleFunc("POST /tools/{name}", t.serveCall)
	t.mux.HandleFunc("GET /account", t.serveAccount)
	t.mux.HandleFunc("POST /faults", t.serveSetFaults)
	return t
}

// ServeHTTP serves the tool service.
func (t *Tool) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults and releases all hanging calls.
func (t *Tool) SetFaults(f ToolFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
}

// Account returns a copy of the counts so far.
func (t *Tool) Account() ToolAccount {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.account
	out.ByName = map[string]int{}
	for name, n := range t.account.ByName {
		out.ByName[name] = n
	}
	return out
}

// ToolResult returns the result of a tool for its arguments.
func ToolResult(name string, arguments []byte) string {
	return ServiceReceipt("tool "+name, string(arguments))
}

func (t *Tool) serveCall(w http.ResponseWriter, r *http.Request) {
	var call ToolCall
	if !serviceDecode(w, r, &call) {
		return
	}
	name := r.PathValue("name")
	faults, change := t.beginCall(name)
	done := t.pause(r, call, faults, change)
	t.endCall(done)
	if !done {
		return
	}
	if faults.Fail != 0 {
		serviceRefuse(w, faults.Fail, "failed", "fault is switched on")
		return
	}
	serviceReply(w, http.StatusOK, map[string]string{"name": name, "result": ToolResult(name, call.Arguments)})
}

// beginCall counts a call and returns the faults that apply to it, and the channel that
// is closed when the faults change.
func (t *Tool) beginCall(name string) (ToolFaults, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.account.Calls++
	t.account.Waiting++
	t.account.ByName[name]++
	return t.faults, t.faultsChanged
}

// pause waits for the duration of the call. It returns false if the client closed the
// connection meanwhile.
func (t *Tool) pause(r *http.Request, call ToolCall, f ToolFaults, change chan struct{}) bool {
	if f.Hang {
		select {
		case <-change:
		case <-r.Context().Done():
			return false
		}
	}
	pause := t.options.Pause
	if call.PauseMS != nil {
		pause = time.Duration(*call.PauseMS) * time.Millisecond
	}
	pause += time.Duration(f.PauseMS) * time.Millisecond
	return t.timer.Wait(time.Duration(float64(pause)*t.options.TimeScale), r.Context().Done())
}

func (t *Tool) endCall(done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.account.Waiting--
	if !done {
		t.account.Abandoned++
	}
}

func (t *Tool) serveAccount(w http.ResponseWriter, _ *http.Request) {
	serviceReply(w, http.StatusOK, t.Account())
}

func (t *Tool) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f ToolFaults
	if !serviceDecode(w, r, &f) {
		return
	}
	t.SetFaults(f)
	serviceReply(w, http.StatusOK, f)
}
