package jkforward

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkadmission"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// ProgramAdmission admits the programs of callers that state when they should end. It is safe
// for concurrent use. Nil admits all programs.
type ProgramAdmission struct {
	timer *jktimer.Service
	fleet *Fleet

	admitted *metrics.Counter
	refused  *metrics.Counter

	mu         sync.Mutex
	controller *jkadmission.Controller
}

// NewProgramAdmission returns an admission that has learned nothing yet.
func NewProgramAdmission(timer *jktimer.Service, fleet *Fleet, set *metrics.Set) *ProgramAdmission {
	p := &ProgramAdmission{
		timer: timer, fleet: fleet, controller: jkadmission.NewController(),
		admitted: set.NewCounter(`jk_programs_total{decision="admitted"}`),
		refused:  set.NewCounter(`jk_programs_total{decision="refused"}`),
	}
	set.NewGauge("jk_programs_tracked", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(p.controller.Programs())
	})
	return p
}

// admitProgram refuses the first turn of a program that can't be expected to end in time.
func (h *Handler) admitProgram(c *call) *refusal {
	if h.Programs == nil || !c.hasStatedTime() || !h.Programs.beginsProgram(c) {
		return nil
	}
	c.beginsProgram = true
	predicted, err := h.Fleet.predict(c.schedulerCall())
	if err != nil {
		// The same reason will refuse the turn when it is placed, unless it has passed by then.
		return nil
	}
	decision := h.Programs.decide(c, predicted)
	if decision.Admitted {
		h.Programs.admitted.Inc()
		return nil
	}
	h.Programs.refused.Inc()
	return &refusal{status: http.StatusServiceUnavailable, reason: "program_late", retryAfter: decision.RetryAfter}
}

// hasStatedTime reports whether the call is a turn of a program whose caller states when it
// should end.
func (c *call) hasStatedTime() bool {
	return c.isStream() && c.service.Model() && c.info.Program != "" && c.info.ProgramLeft > 0
}

// beginsProgram reports whether a turn begins a program. On routes that don't retain turns, the
// prompt of a later turn begins with that of an earlier one, whose endpoint is usually known.
func (p *ProgramAdmission) beginsProgram(c *call) bool {
	if c.isContinued() {
		return false
	}
	if c.route.Retain() {
		return c.info.Previous == ""
	}
	parts := c.info.Parts
	if len(parts) < 2 {
		return false
	}
	for _, part := range parts[1:] {
		if p.fleet.knowsPart(part.Hash) {
			return false
		}
	}
	return true
}

func (p *ProgramAdmission) decide(c *call, o jksched.Prediction) jkadmission.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controller.Decide(p.timer.Now(), c.admissionRequest(), admissionOutlook(o))
}

// admissionRequest describes the program of a first turn. A caller that was refused before has
// less time left than the route allows.
func (c *call) admissionRequest() jkadmission.Request {
	r := jkadmission.Request{ID: c.info.Request, Route: c.route.Name(), Left: c.info.ProgramLeft}
	if timeout := c.route.Timeout(); c.info.Wait > 0 && c.info.Wait < timeout {
		r.Waited = timeout - c.info.Wait
	}
	return r
}

func admissionOutlook(o jksched.Prediction) jkadmission.Outlook {
	return jkadmission.Outlook{Wait: o.Wait, Run: o.Run, Alone: o.Alone}
}

// begin records that a turn is sent to an endpoint.
func (p *ProgramAdmission) begin(c *call, o jksched.Prediction) {
	if p == nil || c.tracked || !c.hasStatedTime() {
		return
	}
	c.tracked, c.prediction = true, o
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller.Begin(p.timer.Now(), c.programKey(), c.beginsProgram, c.admissionRequest(), admissionOutlook(o))
}

// end records that a turn has ended.
func (p *ProgramAdmission) end(c *call) {
	if p == nil || !c.tracked {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller.End(p.timer.Now(), c.programKey(), c.status != http.StatusOK)
}

// programKey names the call's program; workspaces may use the same names.
func (c *call) programKey() string {
	if c.workspace == nil {
		return c.info.Program
	}
	return c.workspace.Name() + "\x1f" + c.info.Program
}

// firstEvent records how long a turn waited, from the time that its first event took.
func (p *ProgramAdmission) firstEvent(c *call, took time.Duration) {
	if p == nil || !c.tracked || c.prediction.Alone == 0 {
		return
	}
	output := max(c.schedulerCall().MaxTokens, 1)
	firstTokens := min(max(c.service.EventTokens(), 1), output)
	alone := c.prediction.Prefill + (c.prediction.Alone-c.prediction.Prefill)*time.Duration(firstTokens)/time.Duration(output)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller.Waited(p.timer.Now(), c.route.Name(), c.prediction.Wait, took-alone)
}
