package jkentry

import (
	"time"

	"jasmineknot.example/core/jkintake"
)

// deregistrationDelay is how long the platform may still send new connections after the
// entry stopped being ready: two readiness checks, one a second, and the time of one
// answer.
const deregistrationDelay = 2500 * time.Millisecond

// killMargin is the time of the grace period that is left unused, so that the process ends
// before the platform kills it.
const killMargin = 600 * time.Millisecond

// flushTimeout bounds how long a stopping entry still delivers pending records to reachable
// copies.
const flushTimeout = killMargin / 2

// drainInterval is how often a draining entry checks whether requests are in flight.
const drainInterval = 20 * time.Millisecond

// lastRequestTime is how long requests are still answered after the listener and the idle
// connections were closed: one that a caller has sent before it sees the close arrives within
// that time.
const lastRequestTime = 100 * time.Millisecond

// drain waits until the platform sends no new connections, then until the requests in
// flight have ended or the grace period is nearly over. Connections stay open meanwhile, and
// Shutdown of net/http isn't used: it closes those whose request arrives later without a
// response.
// Requests that may last longer than the process are refused; those that were taken before
// and last longer are answered. The platform counts the grace from when it sends the signal,
// which a process that is short of processor time handles late. It isn't known how late, so that
// new requests have what is left at least, and those in flight what is left at most, unless they
// may have been sent when the platform sent no more connections.
func (e *Entry) drain() {
	now, signalled := e.timer.Now(), e.probes.SignalledSince()
	endsAt := signalled.Add(e.settings.Grace - killMargin)
	e.stop.Begin(endsAt)
	e.relay.Leave()
	e.log.Info("entry draining", "in_flight", e.counts.InFlight(), "tunnels", e.relay.Tunnels(), "late_ms", now.Sub(signalled).Milliseconds())
	e.timer.Wait(min(deregistrationDelay, e.settings.Grace/2, max(endsAt.Sub(now), 0)), nil)
	if now.Sub(signalled) <= deregistrationDelay {
		endsAt = now.Add(e.settings.Grace - killMargin)
	}
	for (e.hasUnread() || e.counts.InFlight() > 0 || e.relay.Tunnels() > 0 || e.isAwaited()) && e.timer.Now().Before(endsAt) {
		e.turnAwayCallers()
		e.timer.Wait(drainInterval, nil)
	}
	if n := e.counts.InFlight(); n > 0 {
		e.log.Warn("drain timed out with requests in flight", "in_flight", n)
		e.stop.End()
	}
	// What arrives from now on would be cut, so that none of it is passed on.
	e.stop.Begin(e.timer.Now())
	cutAt := endsAt.Add(lastRequestTime)
	for e.hasUnread() && e.timer.Now().Before(cutAt) {
		e.timer.Wait(drainInterval, nil)
	}
	_ = e.frontListener.Close()
	e.callers.EndIdle()
	e.timer.Wait(lastRequestTime, nil)
	// A request that was taken just before has its own time limit within the grace. Its response
	// is sent only after it has left the requests in flight.
	for e.callers.Count() > 0 && e.timer.Now().Before(cutAt) {
		e.callers.EndIdle()
		e.timer.Wait(drainInterval, nil)
	}
	if n := e.callers.Count(); n > 0 {
		e.log.Warn("connections cut off by the end of the process", "connections", n)
	}
	_ = e.front.Close()
	e.account.Flush(flushTimeout)
	e.log.Info("entry stopped")
}

// turnAwayCallers closes the listener once the entry has refused a request that may outlast it. A caller whose connection
// is refused tries another host at once, while an entry that went on to listen would answer its next tries with 503.
func (e *Entry) turnAwayCallers() {
	if e.stop.HasRefused() && !jkintake.HasUnaccepted(e.frontListener) {
		_ = e.frontListener.Close()
	}
}

// isAwaited reports whether the entry has refused requests and callers still have connections to it. A request on one of them gets
// an answer until the end of the grace, where a closed connection wouldn't tell whether it has run.
func (e *Entry) isAwaited() bool { return e.stop.HasRefused() && e.callers.Count() > 0 }

// hasUnread reports whether callers have sent what the process hasn't read. The kernel resets such
// connections when they or the listener are closed.
func (e *Entry) hasUnread() bool {
	return jkintake.HasUnaccepted(e.frontListener) || e.callers.HasUnread()
}
