package jksched

import (
	"container/heap"
	"slices"
	"time"
)

// Queue holds the waiting and running calls of the endpoints that one
// dispatcher owns.
type Queue struct {
	opt       Options
	endpoints map[string]*queueRow
	// order lists the endpoints by id, so that a tick is deterministic.
	order []*queueRow
	calls map[callKey]*callRow
	// peers holds the digests of other dispatchers' endpoints by model.
	peers   map[string]map[string]Load
	outputs outputMeans
	// turns is the mean number of turns of ended programs per workspace.
	turns map[string]float64
	out   []Command

	toolPauses pauseModel
	stopPauses pauseModel
	// tokens and spent are the tokens of all work and of second dispatches.
	tokens float64
	spent  float64
	paces  []time.Duration
}

// callKey names one run: both copies of a second dispatch may be in one queue.
type callKey struct {
	call     string
	endpoint string
}

// callRow is a waiting or running call.
type callRow struct {
	call Call
	row  *queueRow
	// key is the virtual start time by which waiting calls are ordered.
	key        time.Time
	pushed     time.Time
	dispatched time.Time
	firstToken time.Time
	tokens     int64
	// uncached is the expected number of prompt tokens to prefill.
	uncached  int64
	index     int
	short     bool
	seconded  bool
	cancelled bool
}

// NewQueue returns an empty queue.
func NewQueue(opt Options) *Queue {
	return &Queue{
		opt:       opt,
		endpoints: map[string]*queueRow{},
		calls:     map[callKey]*callRow{},
		peers:     map[string]map[string]Load{},
		outputs:   outputMeans{},
		turns:     map[string]float64{},

		toolPauses: newPauseModel(),
		stopPauses: newPauseModel(),
	}
}

// SetOptions replaces the settings; they count from the next decision on.
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

// RemoveEndpoint forgets an endpoint after its waiting calls were handed back
// as moves by the next Tick; running calls are forgotten as they finish.
func (q *Queue) RemoveEndpoint(id string) {
	if row, ok := q.endpoints[id]; ok {
		row.endpoint.State = StateDown
		row.removed = true
	}
}

// SetLoad takes the digest of an endpoint of another dispatcher, whose token
// pace serves as comparison.
func (q *Queue) SetLoad(l Load) {
	if _, own := q.endpoints[l.Endpoint]; own || overtaken(l, q.peers[l.Model][l.Endpoint]) {
		return
	}
	if q.peers[l.Model] == nil {
		q.peers[l.Model] = map[string]Load{}
	}
	l.HotPrefixes = nil
	q.peers[l.Model][l.Endpoint] = l
}

// RemoveLoad forgets the digest of another dispatcher's endpoint.
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
	cr := &callRow{call: c, row: row, pushed: now, key: q.orderKey(now, c), short: q.isShort(c)}
	cr.uncached = q.uncached(row, c)
	q.calls[key] = cr
	heap.Push(row.heapOf(cr), cr)
	q.holdCall(now, row, c)
	return nil
}

// Cancel stops a call: a waiting one leaves the queue, a running one gets a
// cancel command. An empty endpoint means every copy.
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
			q.unqueue(now, cr)
			continue
		}
		cr.cancelled = true
		q.emit(Command{Kind: CommandCancel, Call: cr.call, Endpoint: row.endpoint.ID, Reason: ReasonCancelled})
	}
}

func (q *Queue) unqueue(now time.Time, cr *callRow) {
	heap.Remove(cr.row.heapOf(cr), cr.index)
	delete(q.calls, callKey{cr.call.ID, cr.row.endpoint.ID})
	q.dropCall(now, cr.row, cr.call, Result{})
}

func (q *Queue) emit(c Command) { q.out = append(q.out, c) }

// Tick returns the commands that are due. The caller runs it after every event
// and at least every 100 ms.
func (q *Queue) Tick(now time.Time) []Command {
	for _, row := range q.order {
		q.handBack(now, row)
		q.expire(now, row)
		q.observePace(now, row)
		q.reopen(now, row)
		q.ramp(now, row)
		q.second(row)
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
	out := q.out
	q.out = nil
	return out
}

// handBack returns the waiting calls of an endpoint that takes no new work.
func (q *Queue) handBack(now time.Time, row *queueRow) {
	reason := ReasonLeaving
	switch row.endpoint.State {
	case StateLive:
		return
	case StateDown:
		reason = ReasonDown
	}
	q.moveWaiting(now, row, reason)
}

func (q *Queue) moveWaiting(now time.Time, row *queueRow, reason Reason) {
	for row.queued() > 0 {
		cr := row.first()
		q.unqueue(now, cr)
		q.emit(Command{Kind: CommandMove, Call: cr.call, Endpoint: row.endpoint.ID, Reason: reason})
	}
}

// expire refuses waiting calls that can't meet their deadline any more.
func (q *Queue) expire(now time.Time, row *queueRow) {
	for _, h := range []*callHeap{&row.short, &row.long} {
		var late []*callRow
		for _, cr := range *h {
			if !cr.call.Deadline.IsZero() && now.Add(q.serviceTime(row, cr.call)).After(cr.call.Deadline) {
				late = append(late, cr)
			}
		}
		for _, cr := range late {
			q.unqueue(now, cr)
			q.emit(Command{
				Kind: CommandRefuse, Call: cr.call, Endpoint: row.endpoint.ID,
				Reason: ReasonDeadline, RetryAfter: q.predictedWait(row),
			})
		}
	}
}

// dispatch starts waiting calls while slots and memory last. A call that
// doesn't fit into the memory would block the engine's own queue.
func (q *Queue) dispatch(now time.Time, row *queueRow) {
	for row.endpoint.State == StateLive && len(row.running) < row.limit {
		cr := row.next(q.reserve(row))
		// A call that has waited for memory too long lets no other pass, so that
		// the running ones drain until it fits.
		if cr != nil && !q.fits(row, cr) && !cr.short && len(row.short) > 0 && now.Sub(cr.pushed) < q.opt.MemoryWait {
			cr = row.short[0]
		}
		if cr == nil || !q.fits(row, cr) {
			return
		}
		q.start(now, row, cr)
	}
}

func (q *Queue) start(now time.Time, row *queueRow, cr *callRow) {
	heap.Remove(row.heapOf(cr), cr.index)
	cr.dispatched = now
	row.running[cr.call.ID] = cr
	row.memory += q.memory(cr.call)
	priority := 0
	if cr.short {
		priority++
	} else {
		row.runningLong++
	}
	if cr.uncached <= q.opt.SmallPrefill {
		priority++
	}
	q.touchShared(now, row, cr.call)
	q.emit(Command{Kind: CommandDispatch, Call: cr.call, Endpoint: row.endpoint.ID, EnginePriority: priority})
}

// fits reports whether the endpoint's memory has room for the call beside the
// running ones; a call alone always fits.
func (q *Queue) fits(row *queueRow, cr *callRow) bool {
	if row.endpoint.CacheTokens == 0 || len(row.running) == 0 {
		return true
	}
	return row.memory+q.memory(cr.call) <= row.endpoint.CacheTokens
}

// memory is what a running call needs at most beside the shared prompt.
func (q *Queue) memory(c Call) int64 {
	need := c.PromptTokens + c.MaxTokens
	if len(c.Prefix) > 0 {
		need -= c.Prefix[0].Tokens
	}
	return need
}
