// Package jkrelay lets an entry that can't reach endpoints go on serving: it reaches them through
// another entry, which joins both connections byte by byte and knows nothing of the requests.
// Placement, budgets and retries stay at the entry that took the request.
package jkrelay

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

const (
	// relayDelay is how long a connection of this host's own may take before relays are asked too.
	relayDelay = 100 * time.Millisecond
	// joinTimeout bounds a request to one relay. It exceeds joinDialTimeout by some round trips.
	joinTimeout = joinDialTimeout + 60*time.Millisecond
	// parallelJoins is the number of relays that are asked at the same time.
	parallelJoins = 2
	// checkInterval is the time between two checks while an endpoint isn't reached directly,
	// checkDials the number of endpoints in a check, and checkTimeout bounds its connections.
	checkInterval = 250 * time.Millisecond
	checkDials    = 4
	checkTimeout  = 200 * time.Millisecond
)

// Host is an entry that may relay.
type Host struct {
	Name string
	Addr string
	Zone string
}

// DialerOptions holds the dependencies of a Dialer.
type DialerOptions struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	Self  jkwire.Hello
	// EndpointAt returns the id of the endpoint at an address, and Addrs the addresses of all
	// endpoints.
	EndpointAt func(addr string) (id string, ok bool)
	Addrs      func() []string
	// Relays returns the entries that may reach an endpoint, the best one first.
	Relays func(endpoint string) []Host
	// OnHang is called when this host turns out to be cut off and new connections aren't
	// answered, as then those that are open are likely dead; if nil, nothing is.
	OnHang func()
}

// Dialer opens connections to endpoints: this host's own, or through a relay where that fails. It is
// safe for concurrent use.
type Dialer struct {
	DialerOptions
	// dial opens a connection of this host's own, to an endpoint or another host.
	dial func(ctx context.Context, addr string) (net.Conn, error)
	// troubled is set while the table has anything to decide.
	troubled atomic.Bool
	checking atomic.Bool

	// stop ends the checks. relayed counts the connections through relays, slow those of this host's own for
	// which relays were asked because they took long.
	stop          func()
	relayed, slow atomic.Int64

	mu    sync.Mutex
	table *table
	// cutOff and isolated are the state that was logged last.
	cutOff, isolated bool
	// refused is set if all connections of the last check were refused.
	refused bool
}

// keepAlive ends idle connections to a host that is gone. There is no user timeout, which would end
// connections to endpoints that are silent for a moment.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// NewDialer returns a Dialer that takes all endpoints for reachable.
func NewDialer(o DialerOptions) *Dialer {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	dialer := &Dialer{
		DialerOptions: o, table: newTable(),
		dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
	}
	dialer.stop = o.Timer.Every(checkInterval, dialer.tick)
	return dialer
}

// Close ends the checks of endpoints that aren't reached directly.
func (d *Dialer) Close() { d.stop() }

// Dial opens a connection to an endpoint and reports whether it is a tunnel. A refusal that may be
// that of a cut isn't returned as one: ECONNREFUSED shows that the endpoint has ended.
func (d *Dialer) Dial(ctx context.Context, addr string) (conn net.Conn, relayed bool, err error) {
	switch d.choose(addr) {
	case wayNone:
		return nil, false, &NoWayError{Addr: addr, Relay: ResultNoWay}
	case wayRelay:
		if conn, err = d.join(ctx, addr, nil); err == nil {
			return conn, true, nil
		}
		conn, direct := d.dialDirect(ctx, addr)
		if direct == nil {
			return conn, false, nil
		}
		return nil, false, d.verdict(ctx, addr, direct, err)
	case wayEither:
	}
	return d.dialEither(ctx, addr)
}

// Reach reports whether an endpoint accepts connections, of this host or of a relay.
func (d *Dialer) Reach(ctx context.Context, addr string) error {
	conn, _, err := d.Dial(ctx, addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Heard records that an endpoint has answered on a connection of this host's own. That says nothing of
// new connections where these are refused; where they aren't answered, this host may only be slow.
func (d *Dialer) Heard() {
	if !d.troubled.Load() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.refused {
		d.table.isolated, d.table.lostChecks = false, 0
	}
}

// Forget drops what is known of an address whose endpoint was removed.
func (d *Dialer) Forget(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.forget(addr)
	d.troubled.Store(d.table.isTroubled())
}

// IsIsolated reports whether there is no way to any endpoint.
func (d *Dialer) IsIsolated() bool {
	if !d.troubled.Load() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.isolated
}

// Relayed returns the number of connections that were opened through relays.
func (d *Dialer) Relayed() int64 { return d.relayed.Load() }

// Slow returns the number of connections of this host's own that took so long that relays were asked.
func (d *Dialer) Slow() int64 { return d.slow.Load() }

func (d *Dialer) choose(addr string) way {
	if !d.troubled.Load() {
		return wayEither
	}
	n := len(d.Addrs())
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.choose(addr, n)
}

// prospect returns what is known without a connection of this host's own to an endpoint:
// ResultNoWay if this host is cut off, ResultUnanswered if it reaches the endpoint through others itself,
// and ResultJoined if nothing speaks against one.
func (d *Dialer) prospect(addr string) Result {
	if !d.troubled.Load() {
		return ResultJoined
	}
	n := len(d.Addrs())
	d.mu.Lock()
	defer d.mu.Unlock()
	_, relayed := d.table.relayed[addr]
	switch {
	case d.table.isCutOff(n):
		return ResultNoWay
	case relayed:
		return ResultUnanswered
	}
	return ResultJoined
}

// dialDirect opens a connection of this host's own and records the outcome. Without time left nothing is tried, so
// that there is none.
func (d *Dialer) dialDirect(ctx context.Context, addr string) (net.Conn, error) {
	if !d.hasTime(ctx, minDialTime) {
		return nil, cmp.Or(ctx.Err(), context.DeadlineExceeded)
	}
	isShort := !d.hasTime(ctx, relayDelay)
	began := d.Timer.Now()
	conn, err := d.dial(ctx, addr)
	_, known := d.EndpointAt(addr)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch now := d.Timer.Now(); {
	case err == nil:
		d.table.reached(now, addr)
		if known && now.Sub(began) >= relayDelay {
			d.table.cameLate(now, addr)
		}
	case isShort && ranOut(ctx, err):
		// It had little time, which tells nothing.
	case known && !errors.Is(ctx.Err(), context.Canceled):
		d.table.missed(now, addr)
	}
	d.troubled.Store(d.table.isTroubled())
	return conn, err
}

// minDialTime is the time in which a connection can be expected to come.
const minDialTime = 10 * time.Millisecond

// hasTime reports whether a context leaves at least a time. A connection that isn't answered may return a little
// before its end.
func (d *Dialer) hasTime(ctx context.Context, least time.Duration) bool {
	at, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || at.Sub(d.Timer.Now()) >= least)
}

// ranOut reports whether a connection failed because its time was over. It may fail a little before its context ends.
func ranOut(ctx context.Context, err error) bool {
	var timeout net.Error
	return ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout()
}

// dialed is the outcome of one way.
type dialed struct {
	conn    net.Conn
	relayed bool
	err     error
}

// dialEither opens a connection of this host's own, and asks relays if that fails or takes long.
func (d *Dialer) dialEither(ctx context.Context, addr string) (net.Conn, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	own, cancelOwn := context.WithDeadline(context.WithoutCancel(ctx), d.deadline(ctx))
	keepOwn := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancelOwn()
		}
	})
	done := make(chan dialed, 2)
	go func() {
		defer cancelOwn()
		conn, err := d.dialDirect(own, addr)
		done <- dialed{conn: conn, err: err}
	}()
	slow, stop := d.after(relayDelay)
	defer stop()
	slower, stop := d.after(2 * relayDelay)
	defer stop()
	var direct, relay error
	asked, waiting := false, 1
	ask := func(direct error) {
		if asked || !d.mayRelay(addr) {
			return
		}
		asked = true
		waiting++
		go func() {
			conn, err := d.join(ctx, addr, direct)
			done <- dialed{conn: conn, relayed: true, err: err}
		}()
	}
	askSlow := func() {
		d.slow.Add(1)
		d.Log.Debug("endpoint connects slowly", "addr", addr)
		ask(nil)
	}
	for waiting > 0 {
		select {
		case one := <-done:
			waiting--
			switch {
			case one.err == nil:
				if one.relayed {
					// Whether the own connection comes tells how to reach the endpoint next.
					keepOwn()
					d.preferRelay(addr)
				}
				d.closeLater(done, waiting)
				return one.conn, one.relayed, nil
			case one.relayed:
				relay = one.err
			case !asked && errors.Is(one.err, syscall.ECONNREFUSED) && d.hasEndedSoon(ctx, addr):
				return d.confirmEnd(ctx, addr)
			default:
				direct = one.err
				ask(direct)
			}
		case <-slow:
			slow = nil
			if d.mayBeCut(addr) {
				slower = nil
				askSlow()
			}
		case <-slower:
			slower = nil
			askSlow()
		}
	}
	return nil, false, d.verdict(ctx, addr, direct, relay)
}

// after returns a channel that is closed after a delay, unless it is stopped.
func (d *Dialer) after(delay time.Duration) (over <-chan struct{}, stop func() bool) {
	c := make(chan struct{})
	return c, d.Timer.After(delay, func() { close(c) })
}

// deadline returns that of a context, or one after retryAfter.
func (d *Dialer) deadline(ctx context.Context) time.Time {
	if at, ok := ctx.Deadline(); ok {
		return at
	}
	return d.Timer.Now().Add(retryAfter)
}

// preferRelay records that a relay was faster than a connection of this host's own, unless that has come
// meanwhile.
func (d *Dialer) preferRelay(addr string) {
	_, known := d.EndpointAt(addr)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Timer.Now()
	if !known || !d.table.mayBeCut(now, addr) {
		return
	}
	if _, ok := d.table.relayed[addr]; !ok {
		d.table.missed(now, addr)
	}
	d.table.joined(now, addr)
	d.troubled.Store(true)
}

// closeLater closes the connections of the ways that were slower.
func (d *Dialer) closeLater(done chan dialed, waiting int) {
	if waiting == 0 {
		return
	}
	go func() {
		for range waiting {
			if one := <-done; one.err == nil {
				_ = one.conn.Close()
			}
		}
	}()
}

// mayBeCut reports whether an endpoint that doesn't accept a connection yet may be behind a cut.
func (d *Dialer) mayBeCut(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.mayBeCut(d.Timer.Now(), addr)
}

func (d *Dialer) mayRelay(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.mayRelay(d.Timer.Now(), addr)
}
