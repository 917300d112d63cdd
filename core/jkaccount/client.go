// Package jkaccount keeps budgets and turns on several copies of the ledger. It
// runs on the hosts that serve callers.
package jkaccount

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
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

// replicas returns the copies that hold a program: one in each zone, chosen by
// rendezvous hash among the zone's copies. All hosts have to choose alike, since
// majorities of different sets needn't meet. So a copy is passed over only while
// it is new or lost for long, not while it is out of reach of this host. The copy
// in the own zone comes first.
func (c *Client) replicas(program string) []Copy {
	best := map[string]Copy{}
	for _, candidate := range c.Copies() {
		known, ok := best[candidate.Zone]
		if !ok || c.beats(program, candidate, known) {
			best[candidate.Zone] = candidate
		}
	}
	out := make([]Copy, 0, len(best))
	for _, b := range best {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b Copy) int {
		if own := cmp.Compare(c.distance(a), c.distance(b)); own != 0 {
			return own
		}
		return cmp.Compare(a.Zone, b.Zone)
	})
	return out
}

// isSettled reports whether all hosts are likely to count a copy.
func (c *Client) isSettled(target Copy) bool {
	return !target.New && !c.Lost(target.Host)
}

func (c *Client) distance(target Copy) int {
	switch {
	case !c.Reachable(target.Host):
		return 2
	case target.Zone != c.Zone:
		return 1
	}
	return 0
}

func (c *Client) beats(program string, a, b Copy) bool {
	if x, y := c.isSettled(a), c.isSettled(b); x != y {
		return x
	}
	return ranksBefore(program, a, b)
}

func ranksBefore(program string, a, b Copy) bool {
	return rank(program, a.Host) > rank(program, b.Host)
}

func rank(program, host string) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(program))
	binary.LittleEndian.PutUint64(key[8:], xxhash.Sum64String(host))
	return xxhash.Sum64(key[:])
}

// Holder returns a function that reports whether a host may be asked for a program:
// no other copy of its zone comes before it, but for those that are passed over.
func Holder(host string, copies []Copy, lost func(host string) bool) func(program string) bool {
	self := slices.IndexFunc(copies, func(c Copy) bool { return c.Host == host })
	if self < 0 {
		// A host that isn't listed here gets everything.
		return func(string) bool { return true }
	}
	var rivals []Copy
	for _, other := range copies {
		if other.Zone == copies[self].Zone && other.Host != host && !other.New && !lost(other.Host) {
			rivals = append(rivals, other)
		}
	}
	return func(program string) bool {
		return !slices.ContainsFunc(rivals, func(r Copy) bool { return ranksBefore(program, r, copies[self]) })
	}
}

// tooFew returns an *UncertainError if fewer copies are known than have to hold a
// record. Another host that knows them all would miss it.
func (c *Client) tooFew(operation string, copies []Copy) error {
	wanted := min(c.Losses+1, c.Zones)
	if len(copies) >= wanted || c.MembersSettled() {
		return nil
	}
	return &jkforward.UncertainError{Operation: operation, Answers: len(copies), Needed: wanted}
}

// Reserve holds tokens at the program's copies and fails if its budget doesn't
// hold them.
func (c *Client) Reserve(ctx context.Context, r jkforward.Reservation) error {
	if err := c.tooFew("reserve", c.replicas(r.Program)); err != nil {
		return err
	}
	q := c.ask(ctx, r)
	err := q.decide(r)
	if err != nil {
		c.Settle(jkforward.Settlement{Program: r.Program, Request: r.Request, Retention: r.Retention})
	}
	return err
}

// ask sends a reservation to the program's copies and collects their answers
// until they are enough.
func (c *Client) ask(ctx context.Context, r jkforward.Reservation) *quorum {
	request := &jkledger.ReserveRequest{Spending: jkledger.Spending{
		Program: r.Program, Request: r.Request, Tokens: r.Tokens, Retention: r.Retention,
	}}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	copies := c.replicas(r.Program)
	q := &quorum{spendings: spendings{}, copies: len(copies)}
	answers := make(chan *jkledger.ReserveAnswer, len(copies))
	for _, target := range copies {
		go func() {
			var a jkledger.ReserveAnswer
			if err := c.call(ctx, target, jkledger.TypeReserve, request, &a); err != nil {
				answers <- nil
				return
			}
			answers <- &a
		}()
	}
	missing := len(copies)
	for range copies {
		a := <-answers
		if a == nil {
			continue
		}
		missing--
		q.add(a)
		if q.isEnough(r) {
			// The reservation is still written to the copies that are late.
			c.Timer.After(callTimeout, cancel)
			return q
		}
	}
	cancel()
	q.whole = missing == 0 || missing <= c.down(copies)
	return q
}

// down counts the copies whose host is lost while their zone has been in reach
// for long enough that no entry there acts by itself.
func (c *Client) down(copies []Copy) int {
	n := 0
	for _, target := range copies {
		if !c.Reachable(target.Host) && c.ZoneSettled(target.Zone) {
			n++
		}
	}
	return n
}

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

// Settle replaces a reservation at all copies by what was used. A settlement
// that is lost leaves the reservation as it is, so that the program is charged
// more than it used.
func (c *Client) Settle(s jkforward.Settlement) {
	records := []jkledger.Record{{Spending: &jkledger.Spending{
		Program: s.Program, Request: s.Request, Tokens: s.Tokens, Settled: true, Retention: s.Retention,
	}}}
	for _, target := range c.replicas(s.Program) {
		c.outbox.send(target, records, nil)
	}
}

// Keep writes a turn and its spending to all copies and returns once as many
// disks hold it as may be lost, and one more.
func (c *Client) Keep(ctx context.Context, t jkforward.Turn) error {
	records := []jkledger.Record{
		{Spending: &jkledger.Spending{Program: t.Program, Request: t.Request, Tokens: t.Tokens, Settled: true, Retention: t.Retention}},
		{Turn: &jkledger.Turn{Request: t.Request, Previous: t.Previous, Program: t.Program, Input: t.Input, Output: t.Output, Retention: t.Retention}},
	}
	copies := c.replicas(t.Program)
	if err := c.tooFew("keep", copies); err != nil {
		return err
	}
	needed := c.needed(copies)
	results := make(chan bool, len(copies))
	for _, target := range copies {
		c.outbox.send(target, records, results)
	}
	kept := 0
	for range copies {
		select {
		case ok := <-results:
			if ok {
				kept++
			}
		case <-ctx.Done():
			return &jkforward.UncertainError{Operation: "keep", Answers: kept, Needed: needed}
		}
		if kept >= needed {
			return nil
		}
	}
	return &jkforward.UncertainError{Operation: "keep", Answers: kept, Needed: needed}
}

// needed is the number of disks that have to hold a turn before it counts. A
// zone that is cut off has fewer in reach; its turns then count with those, and
// this host goes on to deliver them to the others.
func (c *Client) needed(copies []Copy) int {
	reachable := 0
	for _, target := range copies {
		if c.Reachable(target.Host) || c.ZoneReachable(target.Zone) {
			reachable++
		}
	}
	return max(min(c.Losses+1, len(copies), reachable), 1)
}

// Chain returns the inputs and outputs of a chain, the oldest turn first. It
// asks the nearest of the program's copies and, where that lacks a turn, all
// others.
func (c *Client) Chain(ctx context.Context, program, request string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	w := &walk{client: c, turns: map[string]jkledger.Turn{}}
	return w.run(ctx, program, request)
}

// walk collects the turns of one chain from several copies.
type walk struct {
	client *Client
	mu     sync.Mutex
	turns  map[string]jkledger.Turn
}

func (w *walk) run(ctx context.Context, program, request string) ([]byte, error) {
	copies := w.client.replicas(program)
	others := slices.DeleteFunc(slices.Clone(w.client.Copies()), func(o Copy) bool { return slices.Contains(copies, o) })
	copies = append(copies, others...)
	if len(copies) == 0 {
		return nil, &jkforward.UncertainError{Operation: "chain", Needed: 1}
	}
	answers := w.ask(ctx, copies[:1], request)
	missing := w.missing(request)
	if missing != "" {
		answers += w.ask(ctx, copies[1:], missing)
		missing = w.missing(request)
	}
	if missing == "" {
		return w.body(request), nil
	}
	// A zone that is cut off keeps its turns on one disk for a while, so that a
	// turn is unknown only where every copy says so that isn't down, and all copies
	// are known.
	needed := max(len(copies)-min(w.client.down(copies), w.client.Losses), 1)
	if answers < needed || missing != request || !w.client.MembersSettled() {
		return nil, &jkforward.UncertainError{Operation: "chain", Answers: answers, Needed: needed}
	}
	return nil, &jkforward.UnknownTurnError{Request: request}
}

// ask returns the number of copies that answered and are certain.
func (w *walk) ask(ctx context.Context, copies []Copy, request string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var done sync.WaitGroup
	certain := 0
	for _, target := range copies {
		done.Add(1)
		go func() {
			defer done.Done()
			var a jkledger.ChainAnswer
			if err := w.client.call(ctx, target, jkledger.TypeChain, &jkledger.ChainRequest{Request: request}, &a); err != nil {
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, t := range a.Turns {
				w.turns[t.Request] = t
			}
			if a.Certain {
				certain++
			}
		}()
	}
	done.Wait()
	return certain
}

// missing names the newest turn of the chain that isn't known, or is empty.
func (w *walk) missing(request string) string {
	for request != "" {
		t, ok := w.turns[request]
		if !ok {
			return request
		}
		request = t.Previous
	}
	return ""
}

func (w *walk) body(request string) []byte {
	var chain []jkledger.Turn
	size := 0
	for request != "" {
		t := w.turns[request]
		chain = append(chain, t)
		size += len(t.Input) + len(t.Output)
		request = t.Previous
	}
	out := make([]byte, 0, size+size/4)
	for _, t := range slices.Backward(chain) {
		out = append(append(out, t.Input...), t.Output...)
	}
	return out
}
