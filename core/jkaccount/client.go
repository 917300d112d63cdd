// Package jkaccount keeps budgets and turns on several copies of the ledger. It
// runs on the hosts that serve callers.
package jkaccount

import (
	"context"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// Copy is one copy of the ledger.
type Copy struct {
	Host string
	Addr string
	Zone string
	// New is set for a host that other hosts may not have heard of yet.
	New bool
}

// Options holds what a client needs.
type Options struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	Pool  *jkwire.Pool
	// Metrics counts how turns are kept.
	Metrics *Metrics
	// Zone is the zone of the host.
	Zone string
	// Losses is the number of disks that may be lost at once.
	Losses int
	// Zones is the number of zones in which there may be copies.
	Zones int
	// MembersSettled reports whether all copies are likely to be known. A host that
	// has just started may have listed some of them before the others were there.
	MembersSettled func() bool
	// Copies returns the known copies, Reachable whether one answers and Lost
	// whether it hasn't for so long that all hosts have noticed.
	Copies    func() []Copy
	Reachable func(host string) bool
	Lost      func(host string) bool
	// Silent returns for how long nothing was heard of a host that is out of reach,
	// and zero for one that answers.
	Silent func(host string) time.Duration
	// ZoneReachable reports whether any host of a zone answers, and ZoneSettled
	// whether it has done so for some seconds.
	ZoneReachable func(zone string) bool
	ZoneSettled   func(zone string) bool
	// Relays returns the addresses of hosts that may reach copies that this one
	// doesn't.
	Relays func() []string
}

// Client keeps budgets and turns.
type Client struct {
	Options
	outbox *outbox
	relays *relays
}

// NewClient returns a client.
func NewClient(o Options) *Client {
	c := &Client{Options: o, relays: newRelays()}
	c.outbox = newOutbox(c)
	return c
}

// Account returns the functions that a handler calls.
func (c *Client) Account() jkforward.Account {
	return jkforward.Account{Reserve: c.Reserve, Settle: c.Settle, Chain: c.Chain, Keep: c.Keep}
}

// callTimeout bounds one exchange with a copy: some round trips between zones
// and a slow sync, well within the time that a caller waits.
const callTimeout = 300 * time.Millisecond

// call sends a message to a copy, through another host if it isn't in reach.
func (c *Client) call(ctx context.Context, target Copy, messageType string, request, answer any) error {
	if !c.Reachable(target.Host) {
		return c.relay(ctx, target, messageType, request, answer)
	}
	err := c.Pool.Call(ctx, target.Addr, messageType, request, answer)
	if err != nil && ctx.Err() == nil {
		c.Log.Warn("copy didn't answer", "host", target.Host, "type", messageType, "error", err)
	}
	return err
}
