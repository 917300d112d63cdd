package jkforward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jkcrash"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

const (
	// maxSuspects bounds the request contents that are suspected of crashing endpoints.
	maxSuspects = 1024
	// maxPending bounds the exchanges with one endpoint for which it isn't known yet
	// whether the endpoint ended.
	maxPending = 128
	// pendingPeriod is how long an exchange that broke off may turn out to be a crash:
	// the registry shows a restarted endpoint some heartbeats later.
	pendingPeriod = 15 * time.Second
	// endedDialTimeout bounds the connection by which an endpoint is checked.
	endedDialTimeout = 300 * time.Millisecond
	// endedWait is how long a request waits for the check before it is sent again. An
	// endpoint in reach answers within some milliseconds.
	endedWait = 60 * time.Millisecond
)

// CrashWatch finds the requests under which endpoints end, and refuses them once they
// have ended too many. It is safe for concurrent use.
type CrashWatch struct {
	timer *jktimer.Service
	log   jklog.Logger
	// dial opens a connection to check whether an endpoint's process still listens.
	dial func(ctx context.Context, addr string) error

	mu    sync.Mutex
	table *jkcrash.Table
	// lives holds the start of each known endpoint by its id.
	lives   map[string]*endpointLife
	pending map[jkcrash.Life][]pendingCrash
	checks  map[jkcrash.Life]*endedCheck
}

// endpointLife is one start of an endpoint.
type endpointLife struct {
	// registered is the start that the registry shows. The endpoint may have been started
	// again since; life is the present start.
	registered jkcrash.Life
	life       jkcrash.Life
	addr       string
	// endedAt is when the present start was found to have ended.
	endedAt time.Time
	// removedAt is when the endpoint's entry was removed.
	removedAt time.Time
}

// pendingCrash is an exchange that broke off at an endpoint that may have ended.
type pendingCrash struct {
	key     jkcrash.Key
	request string
	sentAt  time.Time
	at      time.Time
}

// endedCheck is a check of whether an endpoint has ended.
type endedCheck struct {
	began time.Time
	done  chan struct{}
	// found is the result, which is set before done is closed.
	found checkResult
}

// checkResult is what a connection to an endpoint shows.
type checkResult string

// Results of a check. An endpoint that leaves a connection unanswered may be silent, frozen or
// cut off, or have a full queue of connections.
const (
	checkNone       checkResult = "none"
	checkPending    checkResult = "pending"
	checkConnected  checkResult = "connected"
	checkRefused    checkResult = "refused"
	checkUnanswered checkResult = "unanswered"
)

// resultSince returns the result so far of a check that began after a time. A nil check has none.
func (k *endedCheck) resultSince(t time.Time) checkResult {
	if k == nil || k.began.Before(t) {
		return checkNone
	}
	select {
	case <-k.done:
		return k.found
	default:
		return checkPending
	}
}

// NewCrashWatch returns a CrashWatch without suspects.
func NewCrashWatch(timer *jktimer.Service, log jklog.Logger) *CrashWatch {
	return &CrashWatch{
		timer: timer, log: log, dial: dialOnce, table: jkcrash.New(maxSuspects), lives: map[string]*endpointLife{},
		pending: map[jkcrash.Life][]pendingCrash{}, checks: map[jkcrash.Life]*endedCheck{},
	}
}

// SetDial sets the function that connects to an endpoint and closes the connection. Only an error
// that wraps ECONNREFUSED shows that the endpoint has ended. It is called before any request.
func (w *CrashWatch) SetDial(dial func(ctx context.Context, addr string) error) { w.dial = dial }

func dialOnce(ctx context.Context, addr string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// refusesConnections reports whether a connection attempt failed because no process listens.
func refusesConnections(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// lifeOf identifies one start of an endpoint by its id and start time.
func lifeOf(id string, born int64) jkcrash.Life {
	var h xxhash.Digest
	h.Reset()
	// Writes to a digest never fail.
	_, _ = h.WriteString(id)
	var b [9]byte
	for i := range 8 {
		b[1+i] = byte(born >> (8 * i))
	}
	_, _ = h.Write(b[:])
	return jkcrash.Life(h.Sum64())
}

// keyOf identifies the content of a request: what is the same if its caller sends it
// again. Headers aren't, since they hold ids and times of the attempt. A workspace has contents of
// its own, so that none can have the requests of another one refused.
func keyOf(workspace string, r *http.Request, input []byte) jkcrash.Key {
	var h xxhash.Digest
	h.Reset()
	if workspace != "" {
		// Writes to a digest never fail.
		_, _ = h.WriteString(scopedName(workspace, ""))
	}
	for _, part := range []string{r.Method, r.Host, r.RequestURI} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(input)
	return jkcrash.Key(h.Sum64())
}

// content returns the call's content, which is hashed on first use only.
func (c *call) content() jkcrash.Key {
	if c.contentKey == 0 {
		c.contentKey = keyOf(c.workspaceName(), c.request, c.input)
	}
	return c.contentKey
}

// SetEndpoint records the start of an endpoint. If it is another start than the known one,
// or at the address of another endpoint, the one before has ended.
func (w *CrashWatch) SetEndpoint(id, addr string, born int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	life := lifeOf(id, born)
	known := w.lives[id]
	if known != nil && known.registered == life && known.addr == addr {
		known.removedAt = time.Time{}
		return
	}
	if known != nil && known.registered != life {
		w.confirm(known.life, "restarted")
	}
	w.lives[id] = &endpointLife{registered: life, life: life, addr: addr}
	for other, row := range w.lives {
		if other != id && row.addr == addr {
			w.confirm(row.life, "replaced")
			delete(w.lives, other)
		}
	}
}

// RemoveEndpoint records that the entry of an endpoint was removed. That doesn't show that
// the endpoint has ended, since it may only have lost its way to the store.
func (w *CrashWatch) RemoveEndpoint(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.lives[id]; known != nil {
		known.removedAt = w.timer.Now()
	}
}

// refusal returns the refusal of a request whose content has ended too many endpoints, or
// nil.
func (w *CrashWatch) refusal(c *call) *refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.table.Len() == 0 {
		return nil
	}
	left := w.table.Refused(w.timer.Now(), c.content())
	if left <= 0 {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "crashes_endpoints", retryAfter: left}
}

// served clears the content of a request that an endpoint has served.
func (w *CrashWatch) served(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.table.Len() == 0 {
		return
	}
	if w.table.Served(c.content()) {
		w.log.Info("request no longer suspected, it was served", "request", c.info.Request, "content", uint64(c.content()))
	}
}

// brokeOff records that an exchange broke off. Unless this host ended the exchange itself,
// it checks whether the endpoint has ended, and waits for the result for a short while, so
// that the request isn't sent again before a crash is counted.
func (w *CrashWatch) brokeOff(c *call, id, addr string, byEndpoint bool) {
	w.mu.Lock()
	row := w.lives[id]
	if row == nil {
		unknown := lifeOf(id, 0)
		row = &endpointLife{registered: unknown, life: unknown, addr: addr, removedAt: w.timer.Now()}
		w.lives[id] = row
	}
	if !row.endedAt.IsZero() && c.sentAt.After(row.endedAt) {
		// It took the request after it had ended, so it has been started again, though the
		// registry doesn't show that yet.
		row.life, row.endedAt = lifeOf(id, int64(row.life)), time.Time{}
	}
	w.addPending(row.life, pendingCrash{key: c.content(), request: c.info.Request, sentAt: c.sentAt, at: w.timer.Now()})
	if !byEndpoint {
		w.mu.Unlock()
		return
	}
	check := w.startCheck(row, id, addr)
	w.mu.Unlock()
	w.timer.Wait(endedWait, check.done)
}

// startCheck starts to check whether an endpoint has ended, or returns the check in progress.
// The caller holds the lock.
func (w *CrashWatch) startCheck(row *endpointLife, id, addr string) *endedCheck {
	check := w.checks[row.life]
	if check == nil {
		check = &endedCheck{began: w.timer.Now(), done: make(chan struct{})}
		w.checks[row.life] = check
		go w.check(check, row, row.life, id, addr)
	}
	return check
}

// hasEnded reports whether an endpoint is known to have ended since a time.
func (w *CrashWatch) hasEnded(id string, since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	row := w.lives[id]
	return row != nil && row.endedAt.After(since)
}

// checkEndpoint starts to check whether an endpoint accepts connections.
func (w *CrashWatch) checkEndpoint(id, addr string) *endedCheck {
	w.mu.Lock()
	defer w.mu.Unlock()
	if row := w.lives[id]; row != nil {
		return w.startCheck(row, id, addr)
	}
	check := &endedCheck{began: w.timer.Now(), done: make(chan struct{})}
	go func() {
		defer close(check.done)
		check.found, _ = w.connect(addr)
	}()
	return check
}

// awaitEnd checks whether an endpoint has ended, and waits for the result for a short while.
func (w *CrashWatch) awaitEnd(id, addr string, since time.Time) bool {
	w.mu.Lock()
	row := w.lives[id]
	if row == nil {
		w.mu.Unlock()
		return false
	}
	check := w.startCheck(row, id, addr)
	w.mu.Unlock()
	w.timer.Wait(endedWait, check.done)
	return w.hasEnded(id, since)
}

// addPending adds an exchange and drops those that are too old. The caller holds the lock.
func (w *CrashWatch) addPending(life jkcrash.Life, p pendingCrash) {
	list := w.pending[life]
	for len(list) > 0 && (len(list) >= maxPending || p.at.Sub(list[0].at) > pendingPeriod) {
		list = list[1:]
	}
	w.pending[life] = append(list, p)
}

// connect connects to an endpoint and returns what that shows.
func (w *CrashWatch) connect(addr string) (checkResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), endedDialTimeout)
	defer cancel()
	err := w.dial(ctx, addr)
	switch {
	case err == nil:
		return checkConnected, nil
	case refusesConnections(err):
		return checkRefused, err
	}
	return checkUnanswered, err
}

// check connects to an endpoint. Only a refused connection shows that its process has
// ended: one that was only reset accepts it, and one that is cut off or frozen doesn't
// answer.
func (w *CrashWatch) check(check *endedCheck, row *endpointLife, life jkcrash.Life, id, addr string) {
	found, err := w.connect(addr)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.checks, life)
	defer close(check.done)
	check.found = found
	if check.found == checkRefused {
		if row.life == life {
			row.endedAt = w.timer.Now()
		}
		w.confirm(life, "refuses_connections")
		return
	}
	w.log.Debug("endpoint not known to have ended", "endpoint", id, "error", err)
}

// confirm counts the exchanges that broke off at an endpoint that has ended. The caller
// holds the lock.
func (w *CrashWatch) confirm(life jkcrash.Life, evidence string) {
	now := w.timer.Now()
	for _, p := range w.pending[life] {
		if now.Sub(p.at) > pendingPeriod {
			continue
		}
		crashes, added := w.table.Crashed(p.key, jkcrash.Crash{Life: life, SentAt: p.sentAt, EndedAt: p.at})
		if !added {
			continue
		}
		w.log.Info("endpoint ended under request", "request", p.request, "content", uint64(p.key), "evidence", evidence,
			"crashes", crashes, "refused_for", w.table.Refused(now, p.key))
	}
	delete(w.pending, life)
}

// Suspects returns the number of suspected contents and of those that are refused.
func (w *CrashWatch) Suspects() (suspected, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Len(), w.table.RefusedCount(w.timer.Now())
}

// Changed reports whether a suspect has changed since its last export.
func (w *CrashWatch) Changed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Changed()
}

// Export returns up to n suspects for other hosts.
func (w *CrashWatch) Export(n int) []jkcrash.Suspect {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.timer.Now()
	w.expire(now)
	return w.table.Export(now, n)
}

// Latest returns up to n suspects for a host that has started.
func (w *CrashWatch) Latest(n int) []jkcrash.Suspect {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Latest(w.timer.Now(), n)
}

// expire forgets what can't lead to a refusal anymore.
func (w *CrashWatch) expire(now time.Time) {
	w.table.Expire(now)
	for life, list := range w.pending {
		if now.Sub(list[len(list)-1].at) > pendingPeriod {
			delete(w.pending, life)
		}
	}
	for id, row := range w.lives {
		if !row.removedAt.IsZero() && now.Sub(row.removedAt) > pendingPeriod {
			delete(w.lives, id)
		}
	}
}

// Merge adds the suspects of another host.
func (w *CrashWatch) Merge(suspects []jkcrash.Suspect) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range w.table.Merge(w.timer.Now(), suspects) {
		w.log.Info("request refused, another host reports its crashes", "content", uint64(key))
	}
}
