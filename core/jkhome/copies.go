package jkhome

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
)

// copyTimeout bounds one write to a copy. A copy in another zone answers within a few
// milliseconds, so one that takes longer than this counts as unreachable.
const copyTimeout = 700 * time.Millisecond

// appendAll writes a record to all copies of its program. The result is CopyRecorded
// only if all of them stored it.
func (h *Home) appendAll(ctx context.Context, r jkprogram.Record) jkprogram.CopyResult {
	h.mu.Lock()
	info, ok := h.core.Info(r.Program)
	h.mu.Unlock()
	if !ok {
		return jkprogram.CopyUnreachable
	}
	return h.appendTo(ctx, info.Copies, r)
}

func (h *Home) appendTo(ctx context.Context, hosts []string, r jkprogram.Record) jkprogram.CopyResult {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	results := make([]jkmsg.CopyStatus, len(hosts))
	var group errgroup.Group
	for i, host := range hosts {
		group.Go(func() error {
			results[i] = h.appendOne(ctx, host, r)
			return nil
		})
	}
	_ = group.Wait()
	h.mu.Lock()
	for i, s := range results {
		// A fenced copy has missed nothing: another home runs the program now.
		h.missed.record(hosts[i], r, s == jkmsg.CopyStored || s == jkmsg.CopyFenced)
	}
	h.mu.Unlock()
	out := jkprogram.CopyRecorded
	for i, s := range results {
		switch s {
		case jkmsg.CopyFenced:
			return jkprogram.CopyFenced
		case jkmsg.CopyStored:
		default:
			h.options.Log.Warn("history copy did not store a record", "program", r.Program, "host", hosts[i], "status", s)
			out = jkprogram.CopyUnreachable
		}
	}
	return out
}

// appendOne writes a record to one copy. A copy that missed earlier records gets a
// snapshot instead.
func (h *Home) appendOne(ctx context.Context, host string, r jkprogram.Record) jkmsg.CopyStatus {
	if _, up := h.options.Transport.HostState(host); !up {
		// Waiting for a host that is known to be unreachable would delay each turn.
		return jkmsg.CopyFailed
	}
	status, err := h.options.Transport.AppendCopy(ctx, host, r)
	if err != nil {
		return jkmsg.CopyFailed
	}
	if status != jkmsg.CopyGap {
		return status
	}
	h.mu.Lock()
	snapshot, ok := h.core.Snapshot(r.Program)
	h.mu.Unlock()
	if !ok {
		return jkmsg.CopyFailed
	}
	// The snapshot replaces the record, so it must carry its grant and intent.
	snapshot.Snapshot.Granted = max(snapshot.Snapshot.Granted, r.Granted)
	if r.Intent != nil {
		snapshot.Snapshot.Intent = r.Intent
	}
	status, err = h.options.Transport.AppendCopy(ctx, host, snapshot)
	if err != nil {
		return jkmsg.CopyFailed
	}
	return status
}

// Adopt takes over a program whose home has ended. Copies are the hosts that the
// caller's token names; if there are none, Transport.DiskHosts are read. The host of the
// former home is read too: it may be up again and hold more turns. These replace a takeover
// by this home on which no call has run yet.
func (h *Home) Adopt(ctx context.Context, program string, former jktoken.Incarnation, copies []string, epoch uint64) error {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	if draining {
		return jkproblem.New(jkproblem.TypeUnavailable, "this host is stopping").WithRetryAfter(time.Second)
	}
	if len(copies) == 0 {
		copies = h.options.Transport.DiskHosts()
	}
	if !slices.Contains(copies, former.Host) {
		copies = append(slices.Clone(copies), former.Host)
	}
	r, err := h.readCopies(ctx, program, former, copies, epoch)
	if err != nil {
		return err
	}
	best, fence := r.best, r.fence
	// This check must follow the read of the copy set: a successor of this home may
	// have changed the set since, but only after this home was declared ended.
	if ended, err := h.options.Transport.IsEnded(ctx); err != nil || ended {
		return jkproblem.Newf(jkproblem.TypeUnavailable, "program %s can't be taken over while the platform does not confirm this host", program).WithRetryAfter(time.Second)
	}
	now := h.options.Timer.Now()
	h.mu.Lock()
	if info, ok := h.core.Info(program); ok && !h.core.IsFromFormerIncarnation(program) && (info.Epoch >= fence || info.Turn > best.Turn()) {
		h.mu.Unlock()
		return nil
	}
	record, err := h.core.Adopt(now, best, fence)
	h.mu.Unlock()
	if err != nil {
		return err
	}
	h.options.Log.Info("program taken over", "program", program, "epoch", fence, "turn", best.Turn())
	if h.appendAdopted(ctx, record, former.Host, r.readFormer) == jkprogram.CopyFenced {
		h.mu.Lock()
		h.core.Supersede(program)
		h.mu.Unlock()
	}
	return nil
}

// appendAdopted writes the record of a takeover to the program's copies. A copy at the former
// home's host that wasn't read may hold more turns, so that it isn't overwritten.
func (h *Home) appendAdopted(ctx context.Context, r jkprogram.Record, formerHost string, readFormer bool) jkprogram.CopyResult {
	hosts := r.Snapshot.Copies
	if !readFormer && slices.Contains(hosts, formerHost) {
		hosts = slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == formerHost })
		h.mu.Lock()
		h.missed.record(formerHost, r, false)
		h.mu.Unlock()
	}
	return h.appendTo(ctx, hosts, r)
}

// copyRead is what the copies of a program hold.
type copyRead struct {
	// best is the newest state, and fence the fence of all copies that were read.
	best  jkprogram.State
	fence uint64
	// readFormer is set if the copy at the former home's host was read.
	readFormer bool
}

// readCopies raises the fence at every copy that can be reached and returns the newest
// state and the fence. It fails unless at least one copy is certain to be complete; one
// that may have lost records can then still have the newest state.
func (h *Home) readCopies(ctx context.Context, program string, former jktoken.Incarnation, copies []string, epoch uint64) (copyRead, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*copyTimeout)
	defer cancel()
	answers := make([]jkmsg.CopyReadResult, len(copies))
	self := h.Self()
	read := func(epoch uint64) {
		var group errgroup.Group
		for i, host := range copies {
			group.Go(func() error {
				a, err := h.options.Transport.ReadCopy(ctx, host, jkmsg.CopyRead{Program: program, TakeOver: true, Reader: self, Epoch: epoch})
				if err == nil {
					answers[i] = a
				}
				return nil
			})
		}
		_ = group.Wait()
		h.discardRemovedHosts(ctx, former, answers)
	}
	read(epoch)
	best, fence, certain := newestState(answers)
	if !certain {
		return copyRead{}, jkproblem.Newf(jkproblem.TypeUnavailable, "no copy of program %s can be reached that is certain to be complete", program).WithRetryAfter(time.Second)
	}
	// A longer history of the former home replaces the takeover under an epoch of its own.
	if h.longerHistory(best, former, answers) != nil {
		fence = max(fence, best.Epoch+1)
	}
	if slices.ContainsFunc(answers, func(a jkmsg.CopyReadResult) bool { return a.Held && a.Fence < fence }) {
		// Give all copies the same fence, so that a later reader finds it at any of them.
		read(fence)
		best, fence, _ = newestState(answers)
	}
	if longer := h.longerHistory(best, former, answers); longer != nil && fence > best.Epoch {
		longer.Granted, longer.Spent = max(longer.Granted, best.Granted), max(longer.Spent, best.Spent)
		best = *longer
	}
	readFormer := slices.ContainsFunc(answers, func(a jkmsg.CopyReadResult) bool { return a.Held && a.Host.Host == former.Host })
	return copyRead{best: best, fence: fence, readFormer: readFormer}, nil
}

// longerHistory returns the former home's state if it continues the best one, which this home has
// taken over and on which no call has run since; else nil.
func (h *Home) longerHistory(best jkprogram.State, former jktoken.Incarnation, answers []jkmsg.CopyReadResult) *jkprogram.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	if best.Home != h.self || !h.core.IsUnusedSinceAdoption(best.Program) {
		return nil
	}
	var longer *jkprogram.State
	for i := range answers {
		state := &answers[i].State
		if answers[i].Held && state.Home == former && state.Turn() > best.Turn() && continues(*state, best) && (longer == nil || state.Seq > longer.Seq) {
			longer = state
		}
	}
	return longer
}

// continues reports whether the turns of a state begin with those of another one.
func continues(longer, shorter jkprogram.State) bool {
	n := shorter.Turn()
	return n == 0 || longer.Turns[n-1].Digest == shorter.Digest()
}

// discardRemovedHosts discards the answers of hosts that the former home removed from
// its copy set. The former home checks whether it was declared ended after it removes a
// host, and this check follows that declaration, so at least one of the two sees the
// other.
func (h *Home) discardRemovedHosts(ctx context.Context, former jktoken.Incarnation, answers []jkmsg.CopyReadResult) {
	for i := range answers {
		if !answers[i].Held || answers[i].Host.Host == former.Host {
			continue
		}
		left, err := h.options.Transport.IsCopyHostRemoved(ctx, former, answers[i].Host)
		if err != nil {
			answers[i].Uncertain = true
		}
		if left {
			answers[i] = jkmsg.CopyReadResult{}
		}
	}
}

// newestState returns the state with the highest epoch and sequence number, the highest
// fence, and whether any copy is certain to be complete.
func newestState(answers []jkmsg.CopyReadResult) (best jkprogram.State, fence uint64, certain bool) {
	for _, a := range answers {
		if !a.Held {
			continue
		}
		certain = certain || !a.Uncertain
		fence = max(fence, a.Fence)
		if best.Program == "" || a.State.Epoch > best.Epoch || (a.State.Epoch == best.Epoch && a.State.Seq > best.Seq) {
			best = a.State
		}
	}
	return best, fence, certain
}

// AcceptHandover takes over a program that its former home hands over at a planned stop.
func (h *Home) AcceptHandover(ctx context.Context, s jkprogram.State) error {
	now := h.options.Timer.Now()
	h.mu.Lock()
	if h.draining {
		h.mu.Unlock()
		return jkproblem.New(jkproblem.TypeUnavailable, "this host is stopping too")
	}
	record, err := h.core.AcceptHandover(now, s)
	h.mu.Unlock()
	if err != nil {
		return err
	}
	// A copy that can't be reached gets a snapshot when it is next written.
	h.appendAll(ctx, record)
	return nil
}

// Drain hands every program over as soon as none of its calls is in flight, until none
// is left or ctx ends. Send passes a state to the successor and reports whether the
// successor accepted it.
func (h *Home) Drain(ctx context.Context, successor func(program string) (jktoken.Incarnation, bool), send func(ctx context.Context, to jktoken.Incarnation, s jkprogram.State) bool) {
	h.mu.Lock()
	h.draining = true
	h.successor = successor
	h.mu.Unlock()
	for ctx.Err() == nil {
		left := h.handOverIdle(ctx, successor, send)
		if left == 0 {
			return
		}
		h.options.Timer.Wait(drainInterval, ctx.Done())
	}
}

// drainInterval is how often Drain checks the programs that still run a call.
const drainInterval = 20 * time.Millisecond

// handOverIdle hands over all idle programs and returns how many are left.
func (h *Home) handOverIdle(ctx context.Context, successor func(program string) (jktoken.Incarnation, bool), send func(ctx context.Context, to jktoken.Incarnation, s jkprogram.State) bool) int {
	h.mu.Lock()
	ids := h.core.IDs()
	h.mu.Unlock()
	left := 0
	for _, id := range ids {
		if !h.handOverProgram(ctx, id, successor, send) {
			left++
		}
	}
	return left
}

// handOverProgram hands one program over if it is idle. It reports whether nothing is
// left to do, which includes a program without a successor.
func (h *Home) handOverProgram(ctx context.Context, id string, successor func(program string) (jktoken.Incarnation, bool), send func(ctx context.Context, to jktoken.Incarnation, s jkprogram.State) bool) bool {
	h.mu.Lock()
	if _, done := h.movedTo[id]; done {
		h.mu.Unlock()
		return true
	}
	state, ok := h.core.State(id)
	if !ok {
		h.mu.Unlock()
		return true
	}
	to, found := successor(id)
	// A call leaves inFlight only after its turn is at the copies. Before that, the
	// successor's first record would fence the turn off.
	if !found || h.core.IsRunning(id) || h.inFlight[id] != nil {
		h.mu.Unlock()
		return !found
	}
	// From here on, this home dispatches nothing for the program, whether or not the
	// successor's answer arrives.
	h.core.Supersede(id)
	h.movedTo[id] = to
	h.mu.Unlock()
	if !send(ctx, to, state) {
		h.options.Log.Warn("handover was not confirmed", "program", id, "to", to)
	}
	return true
}
