package jkcontrol

import (
	"time"

	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jkorder"
)

// Status is the state of one zone's control as this host sees it. The rollouts
// are only known to the controller.
type Status struct {
	Zone       string `json:"zone"`
	Controller bool   `json:"controller"`
	// Holder is the host that held the lease when this one last tried to acquire it.
	Holder        string            `json:"holder,omitempty"`
	Token         uint64            `json:"fencing_token,omitempty"`
	Remaining     int64             `json:"lease_remaining_ms,omitempty"`
	UncheckedWait int64             `json:"wait_for_unchecked_ms,omitempty"`
	Loading       int               `json:"loading"`
	Rollouts      []jkorder.Rollout `json:"rollouts"`
}

// Status returns the present state.
func (c *Controller) Status() Status {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Zone: c.options.Limits.Zone, Holder: c.holder, Rollouts: []jkorder.Rollout{}}
	if !c.holdsLease(now) {
		return s
	}
	s.Controller, s.Holder, s.Token = true, c.term.lease.Holder, c.term.lease.Token
	s.Remaining = c.term.expiresAt.Sub(now).Milliseconds()
	s.UncheckedWait = max(0, c.term.barrier.Sub(now).Milliseconds())
	s.Loading, s.Rollouts = c.core.Loading(), c.core.Rollouts()
	return s
}

func (c *Controller) holdsLease(now time.Time) bool {
	return c.term != nil && now.Before(c.term.expiresAt)
}

// NotControllerError is returned by a host that doesn't control the zone's engines.
type NotControllerError struct {
	// Holder is the host that held the lease when this one last tried to acquire it,
	// or "".
	Holder string
}

func (e *NotControllerError) Error() string {
	if e.Holder == "" {
		return "no host is known to control the zone's engines"
	}
	return "the zone's engines are controlled by " + e.Holder
}

// Request accepts an operator's order. It fails with *NotControllerError or
// *jkorder.RequestError.
func (c *Controller) Request(engine string, o jkendpoint.Order, force bool) error {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holdsLease(now) {
		return &NotControllerError{Holder: c.holder}
	}
	c.options.Log.Info("operator's order received", "endpoint", engine, "kind", o.Kind, "model", o.Model, "force", force)
	return c.core.Request(now, engine, o, force)
}

// Resume continues a halted rollout. The platform's record is cleared first, so
// that a later controller doesn't halt it again. It fails with
// *NotControllerError, *jkorder.RequestError or an error of the platform.
func (c *Controller) Resume(model string) error {
	now := c.options.Timer.Now()
	c.mu.Lock()
	holds, holder := c.holdsLease(now), c.holder
	halted := c.core.IsHalted(model)
	c.mu.Unlock()
	if !holds {
		return &NotControllerError{Holder: holder}
	}
	if halted {
		if err := c.writeHalt(model, jkorder.Halt{}); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unsavedHalts, model)
	return c.core.Resume(model)
}
