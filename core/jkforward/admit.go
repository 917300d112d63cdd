package jkforward

import (
	"context"
	"slices"
	"time"
)

// admissionShare is the part of a request's time limit within which it is admitted: one half, so
// that its endpoint has the other.
const admissionShare = 2

// minAdmissionTime is the least time for the admission of a turn with a short time limit: some round
// trips between zones and a sync.
const minAdmissionTime = 300 * time.Millisecond

// chainHeadStart is how long a chain may take before the turn's tokens are reserved beside it. Copies
// in time answer within it, so that a turn that can't go on usually reserves nothing.
const chainHeadStart = 50 * time.Millisecond

// admissionContext returns the context for the admission of a turn by the Account.
func (h *Handler) admissionContext(c *call) (context.Context, func()) {
	ends := c.receivedAt.Add(max(c.deadline.Sub(c.receivedAt)/admissionShare, minAdmissionTime))
	return h.deadlineContext(c, ends.Sub(h.Timer.Now()))
}

// checkCopies refuses a turn that couldn't be stored at its end.
func (h *Handler) checkCopies(c *call) *refusal {
	if !c.route.Retain() {
		return nil
	}
	ctx, cancel := h.admissionContext(c)
	defer cancel()
	if err := h.Account.CanKeep(ctx, c.scoped(c.info.Program)); err != nil {
		h.Log.Info("turn not admitted", "request", c.info.Request, "program", c.info.Program, "error", err)
		return h.accountRefusal(err)
	}
	return nil
}

// admit reads the earlier turns of a chain and reserves tokens. Both have the whole time for the
// admission, since copies that answer late do so for either.
func (h *Handler) admit(c *call) *refusal {
	ctx, cancel := h.admissionContext(c)
	defer cancel()
	if !c.route.Retain() || c.info.Previous == "" {
		return h.reserve(ctx, c)
	}
	chain := h.readChain(ctx, c, cancel)
	h.Timer.Wait(chainHeadStart, chain.read)
	if !chain.hasFailed() {
		if refused := h.reserve(ctx, c); refused != nil && !chain.hasFailed() {
			return refused
		}
	}
	<-chain.read
	if chain.err != nil {
		h.Log.Warn("turn not continued", "request", c.info.Request, "previous", c.info.Previous, "error", chain.err)
		h.release(c)
		return h.accountRefusal(chain.err)
	}
	c.body, c.chainPrograms = slices.Concat(chain.earlier.Content, c.input), chain.earlier.Programs
	return nil
}

// chainReading reads the earlier turns of a chain. The result is set once read is closed.
type chainReading struct {
	read    chan struct{}
	earlier Chain
	err     error
}

// readChain starts to read the chain that a turn continues. If that fails, it ends the admission.
func (h *Handler) readChain(ctx context.Context, c *call, endAdmission func()) *chainReading {
	r := &chainReading{read: make(chan struct{})}
	program, previous := c.scoped(c.info.Program), c.scoped(c.info.Previous)
	go func() {
		r.earlier, r.err = h.Account.Chain(ctx, program, previous)
		close(r.read)
		if r.err != nil {
			endAdmission()
		}
	}()
	return r
}

// hasFailed reports whether the chain is known not to be found.
func (r *chainReading) hasFailed() bool {
	select {
	case <-r.read:
		return r.err != nil
	default:
		return false
	}
}
