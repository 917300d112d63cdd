package jksched

import (
	"container/heap"
	"slices"
	"time"
)

// Queue holds the waiting and running calls of the endpoints that one dispatcher owns.
// Its events change the state; Tick returns the commands that follow from them.
type Queue struct {
	opt       Options
	endpoints map[string]*queueRow
	// order lists the endpoints by id, so that Tick is deterministic.
	order []*queueRow
	calls map[callKey]*callRow
	// peers holds the load digests of other dispatchers' endpoints by model and id.
	peers   map[string]map[string]Load
	outputs outputMeans
	// meanTurns is the mean number of turns of ended programs per workspace.
	meanTurns map[string]float64
	commands  []Command

	// toolPauses are the pauses after answers with tool calls, stopPauses the others.
	toolPauses pauseModel
	stopPauses pauseModel
	// totalTokens counts the tokens of all work, secondDispatchTokens the expected
	// tokens of second dispatches.
	totalTokens          float64
	secondDispatchTokens float64
	paceScratch          []time.Duration
}

// callKey identifies a call on an endpoint: both copies of a second dispatch may be in
// one queue.
type callKey struct {
	call     string
	endpoint string
}

// callRow is a waiting or running call.
type callRow struct {
	call Call
	row  *queueRow
	// virtualStart is the time by which waiting calls are ordered.
	virtualStart time.Time
	pushed       time.Time
	dispatched   time.Time
	firstToken   time.Time
	tokens       int64
	// expectedPrefill is the expected number of prompt tokens to prefill.
	expectedPrefill  int64
	index            int
	short            bool
	secondDispatched bool
	cancelled        bool
}

// NewQueue returns an empty queue.
func NewQueue(opt Options) *Queue {
	return &Queue{
		opt:       opt,
		endpoints: map[string]*queueRow{},
		calls:     map[callKey]*callRow{},
		peers:     map[string]map[string]Load{},
		outputs:   outputMeans{},
		meanTurns: map[string]float64{},

		toolPauses: newPauseModel(),
		stopPauses: newPauseModel(),
	}
}

// SetOptions replaces the settings; they apply from the next decision on.
func (q *Queue) SetOptions(opt Options) { q.opt = opt }

// SetEndpoint adds an endpoint or changes its description or state.
func (q *Queue) SetEndpoint(e Endpoint) {
	if row, ok := q.endpoints[e.ID]; ok {
		if row.endpoint.Slots != e.Slots {
			row.limit = e.Slots
		}
		row.endpoint, row.removed = e, false
		return
	}
	row := newQueueRow(e, q.opt)
	q.endpoints[e.ID] = row
	at, _ := slices.BinarySearchFunc(q.order, e.ID, func(r *queueRow, id string) int {
		return compareStrings(r.endpoint.ID, id)
	})
	q.order = slices.Insert(q.order, at, row)
}

// RemoveEndpoint removes an endpoint. The next Tick returns a CommandMove for each of
// its waiting calls; the endpoint itself is kept until its last running call has finished.
func (q *Queue) RemoveEndpoint(id string) {
	if row, ok := q.endpoints[id]; ok {
		row.endpoint.State = StateDown
		row.removed = true
	}
}

// SetLoad records the load digest of another dispatcher's endpoint. Its time per token
// is compared with those of the owned endpoints. An outdated digest is ignored.
func (q *Queue) SetLoad(l Load) {
	if _, own := q.endpoints[l.Endpoint]; own || isOutdated(l, q.peers[l.Model][l.Endpoint]) {
		return
	}
	if q.peers[l.Model] == nil {
		q.peers[l.Model] = map[string]Load{}
	}
	l.HotPrefixes = nil
	q.peers[l.Model][l.Endpoint] = l
}

// RemoveLoad removes the load digest of another dispatcher's endpoint.
func (q *Queue) RemoveLoad(endpoint string) {
	for _, loads := range q.peers {
		delete(loads, endpoint)
	}
}

// Push adds a call to the queue of the endpoint. The error is a *RefusedError;
// a refused call isn't in the queue.
func (q *Queue) Push(now time.Time, c Call, endpoint string) error {
	row, ok := q.endpoints[endpoint]
	if !ok {
		return &RefusedError{Reason: ReasonUnknown}
	}
	key := callKey{c.ID, endpoint}
	if _, ok := q.calls[key]; ok {
		return &RefusedError{Reason: ReasonDuplicate}
	}
	if err := q.admit(now, row, c); err != nil {
		return err
	}
	cr := &callRow{call: c, row: row, pushed: now, virtualStart: q.virtualStart(now, c), short: q.isShort(c)}
	cr.expectedPrefill = q.uncachedTokens(row, c)
	q.calls[key] = cr
	heap.Push(row.heapOf(cr), cr)
	q.beginHeldCall(now, row, c)
	return nil
}

// Cancel stops a call: a waiting one is removed from the queue, for a running one the
// next Tick returns a CommandCancel. An empty endpoint means every copy.
func (q *Queue) Cancel(now time.Time, call, endpoint string) {
	for _, row := range q.order {
		if endpoint != "" && row.endpoint.ID != endpoint {
			continue
		}
		cr, ok := q.calls[callKey{call, row.endpoint.ID}]
		if !ok || cr.cancelled {
			continue
		}
		if cr.dispatched.IsZero() {
			q.removeWaiting(now, cr)
			continue
		}
		cr.cancelled = true
		q.emit(Command{Kind: CommandCancel, Call: cr.call, Endpoint: row.endpoint.ID, Reason: ReasonCancelled})
	}
}

// removeWaiting removes a waiting call from the queue.
func (q *Queue) removeWaiting(now time.Time, cr *callRow) {
	heap.Remove(cr.row.heapOf(cr), cr.index)
	delete(q.calls, callKey{cr.call.ID, cr.row.endpoint.ID})
	q.endHeldCall(now, cr.row, cr.call, Result{})
}

func (q *Queue) emit(c Command) { q.commands = append(q.commands, c) }

// Tick returns the commands that are due. The caller runs it after every event
// and at least every 100 ms.
func (q *Queue) Tick(now time.Time) []Command {
	for _, row := range q.order {
		q.drainWaiting(now, row)
		q.expire(now, row)
		q.observePace(now, row)
		q.halfOpenBreaker(now, row)
		q.rampUp(now, row)
		q.requestSecondDispatches(row)
		q.dispatch(now, row)
		q.sweep(now, row)
	}
	q.order = slices.DeleteFunc(q.order, func(r *queueRow) bool {
		done := r.removed && len(r.running) == 0
		if done {
			delete(q.endpoints, r.endpoint.ID)
		}
		return done
	})
	out := q.commands
	q.commands = nil
	return out
}

// drainWaiting moves the waiting calls off an endpoint that isn't live.
func (q *Queue) drainWaiting(now time.Time, row *queueRow) {
	reason := ReasonLeaving
	switch row.endpoint.State {
	case StateLive:
		return
	case StateDown:
		reason = ReasonDown
	}
	q.moveWaiting(now, row, reason)
}

// moveWaiting removes all waiting calls of the endpoint and emits a move for each.
func (q *Queue) moveWaiting(now time.Time, row *queueRow, reason Reason) {
	for row.queued() > 0 {
		cr := row.first()
		q.removeWaiting(now, cr)
		q.emit(Command{Kind: CommandMove, Call: cr.call, Endpoint: row.endpoint.ID, Reason: reason})
	}
}

// expire refuses waiting calls that can no longer meet their deadline.
func (q *Queue) expire(now time.Time, row *queueRow) {
	for _, h := range []*callHeap{&row.short, &row.long} {
		var late []*callRow
		for _, cr := range *h {
			if !cr.call.Deadline.IsZero() && now.Add(q.serviceTime(row, cr.call)).After(cr.call.Deadline) {
				late = append(late, cr)
			}
		}
		for _, cr := range late {
			q.removeWaiting(now, cr)
			q.emit(Command{
				Kind: CommandRefuse, Call: cr.call, Endpoint: row.endpoint.ID,
				Reason: ReasonDeadline, RetryAfter: q.predictedWait(row),
			})
		}
	}
}

// dispatch starts waiting calls while the endpoint has free slots and memory. A call
// that doesn't fit into the memory would block the engine's own queue.
func (q *Queue) dispatch(now time.Time, row *queueRow) {
	for row.endpoint.State == StateLive && len(row.running) < row.limit {
		cr := row.next(q.reservedSlots(row))
		// After MemoryWait no short call overtakes any more, so that the running calls
		// finish until the waiting one fits.
		if cr != nil && !q.fits(row, cr) && !cr.short && len(row.short) > 0 && now.Sub(cr.pushed) < q.opt.MemoryWait {
			cr = row.short[0]
		}
		if cr == nil || !q.fits(row, cr) {
			return
		}
		q.start(now, row, cr)
	}
}

// start dispatches a waiting call.
func (q *Queue) start(now time.Time, row *queueRow, cr *callRow) {
	heap.Remove(row.heapOf(cr), cr.index)
	cr.dispatched = now
	row.running[cr.call.ID] = cr
	row.reservedMemory += q.memoryNeed(cr.call)
	priority := 0
	if cr.short {
		priority++
	} else {
		row.runningLong++
	}
	if cr.expectedPrefill <= q.opt.SmallPrefill {
		priority++
	}
	q.recordSharedUse(now, row, cr.call)
	q.emit(Command{Kind: CommandDispatch, Call: cr.call, Endpoint: row.endpoint.ID, EnginePriority: priority})
}

// fits reports whether the endpoint's memory has room for the call in addition to the
// running ones. Every call fits if nothing runs or the endpoint's memory is unknown.
func (q *Queue) fits(row *queueRow, cr *callRow) bool {
	if row.endpoint.CacheTokens == 0 || len(row.running) == 0 {
		return true
	}
	return row.reservedMemory+q.memoryNeed(cr.call) <= row.endpoint.CacheTokens
}

// memoryNeed returns the most memory, in tokens, that a running call needs in addition
// to the shared prompt.
func (q *Queue) memoryNeed(c Call) int64 {
	need := c.PromptTokens + c.MaxTokens
	if len(c.Prefix) > 0 {
		need -= c.Prefix[0].Tokens
	}
	return need
}
