// Package jkaccount is the client of the replicated ledger. It runs on the hosts that
// serve callers, where it reserves and settles tokens of programs' budgets and writes and
// reads turns on copies in several zones. It stores nothing itself: package jkvault serves
// the copies, and the functions in Options report which of them exist and answer.
package jkaccount

import (
	"context"
	"errors"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// Copy is a host with one copy of the ledger.
type Copy struct {
	Host string
	Addr string
	Zone string
	// Disk names the disk that the host has at present, and is empty if it doesn't say that.
	Disk string
	// New is set while other hosts may not know this host yet.
	New bool
}

// Options configures a client.
type Options struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	Pool  *jkwire.Pool
	// Metrics counts how turns are kept and written to copies.
	Metrics *Metrics
	// Zone is the zone of the host.
	Zone string
	// MaxLostDisks is the number of disks that may be lost at once without losing records.
	MaxLostDisks int
	// ZoneCount is the number of zones that may have copies.
	ZoneCount int
	// MembersSettled reports whether all copies are likely to be known. A host that has
	// just started may have listed some of them before the others were there.
	MembersSettled func() bool
	// Copies returns the known copies, Reachable whether a host answers, and Lost whether
	// it hasn't answered for so long that all hosts have noticed.
	Copies    func() []Copy
	Reachable func(host string) bool
	Lost      func(host string) bool
	// Paused reports whether this process was paused just now, so that Reachable may be out of
	// date.
	Paused func() bool
	// UnreachableFor returns the time since the last answer of an unreachable host, and zero
	// for a reachable one.
	UnreachableFor func(host string) time.Duration
	// ZoneReachable reports whether any host of a zone answers, or did so until just now, so
	// that other hosts may not have noticed that it is cut off. ZoneSettled reports whether
	// one has answered for some seconds.
	ZoneReachable func(zone string) bool
	ZoneSettled   func(zone string) bool
	// LossConfirmed reports whether an unreachable host fell silent alone, while its zone went
	// on answering this host. The other copies then have what it admitted.
	LossConfirmed func(host string) bool
	// LostReplicated reports whether a silent host has said that others have all reservations that it has admitted, and
	// can't have admitted more without them since. IsReplicated reports whether a host that answers says so.
	LostReplicated func(host string) bool
	IsReplicated   func(host string) bool
	// LossConfirmedAfter is the silence after which LossConfirmed is true at the earliest.
	LossConfirmedAfter time.Duration
	// Observed describes what this host has observed of another one, for log lines.
	Observed func(host string) string
	// RelayAddrs returns the addresses of hosts that may reach copies that this host can't
	// reach.
	RelayAddrs func() []string
	// RelayedTypes are further types of messages to storage hosts that this host forwards for others.
	RelayedTypes []string
}

// Client reserves and settles budgets and writes and reads turns.
type Client struct {
	Options
	outbox        *outbox
	relayBackoffs *relayBackoffs
	recent        recentCopies
	recordings    recordings
}

// NewClient returns a client.
func NewClient(o Options) *Client {
	c := &Client{Options: o, relayBackoffs: newRelayBackoffs()}
	c.outbox = newOutbox(c)
	return c
}

// Account returns the client's functions for a request handler.
func (c *Client) Account() jkforward.Account {
	return jkforward.Account{Reserve: c.Reserve, Continue: c.Continue, Settle: c.Settle, Release: c.Release, Chain: c.Chain, CanKeep: c.CanKeep, Keep: c.Keep}
}

// callTimeout is how long copies are waited for before an operation is decided by the answers
// so far. It covers some round trips between zones and a slow sync.
const callTimeout = 300 * time.Millisecond

// answerTimeout bounds how long an operation waits for copies that are in reach and may still
// answer. It covers a stalled disk, and leaves a caller the time to ask again.
const answerTimeout = time.Second

// timeoutStep is the step in which withTimeout counts.
const timeoutStep = 50 * time.Millisecond

// withTimeout returns a context that ends with context.DeadlineExceeded as its cause. It counts
// steps of the timer, so that a pause of this process, during which answers can't be read, takes
// one of them at most.
func (c *Client) withTimeout(parent context.Context, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	left := d
	stop := c.Timer.Every(min(timeoutStep, d), func() {
		if left -= timeoutStep; left <= 0 {
			cancel(context.DeadlineExceeded)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// call sends a message to a copy, through another host if this one can't reach the copy.
func (c *Client) call(ctx context.Context, target Copy, messageType string, request, answer any) error {
	if !c.Reachable(target.Host) && !c.Paused() {
		return c.relay(ctx, target, messageType, request, answer)
	}
	err := c.Pool.Call(ctx, target.Addr, messageType, request, answer)
	if err != nil && ctx.Err() == nil {
		c.Log.Warn("copy didn't answer", "host", target.Host, "type", messageType, "error", err)
	}
	return err
}

// Call sends a message that isn't about the ledger to a storage host, through another host if this
// one can't reach it.
func (c *Client) Call(ctx context.Context, target Copy, messageType string, request, answer any) error {
	return c.call(ctx, target, messageType, request, answer)
}

// mayAnswer reports whether a copy that hasn't answered may still do so.
func (c *Client) mayAnswer(target Copy) bool { return c.Reachable(target.Host) || c.Paused() }

// callRetryPause is the time between two calls of a copy whose connection broke.
const callRetryPause = 100 * time.Millisecond

// callUntilAnswered calls a copy until it answers, and again while it is in reach and its
// connection breaks.
func (c *Client) callUntilAnswered(ctx context.Context, target Copy, messageType string, request, answer any) error {
	for {
		err := c.call(ctx, target, messageType, request, answer)
		var refused *jkwire.RemoteError
		if err == nil || ctx.Err() != nil || errors.As(err, &refused) || !c.mayAnswer(target) {
			return err
		}
		if !c.Timer.Wait(callRetryPause, ctx.Done()) {
			return err
		}
	}
}

// isNoQuorum reports whether an operation failed since too few copies answered.
func isNoQuorum(err error) bool {
	var noQuorum *jkforward.NoQuorumError
	return errors.As(err, &noQuorum)
}
