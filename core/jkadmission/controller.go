// Package jkadmission decides whether an entry admits a new program. It answers bursts of
// programs that need more of the endpoints than there is: admitted together, all of them would
// end late. It does no input or output and is not safe for concurrent use.
package jkadmission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outlook is what a placer predicts for a turn.
type Outlook struct {
	// Wait is the time until the turn gets a slot, and Run how long it then runs.
	Wait time.Duration
	Run  time.Duration
	// Alone is how long it would run on an endpoint that runs nothing else.
	Alone time.Duration
}

// Request is a first turn that asks for the admission of its program.
type Request struct {
	// ID spreads the times at which refused callers return.
	ID    string
	Route string
	// Left is the time in which the program should end, and Waited the part of its time that the
	// caller has lost in earlier attempts.
	Left   time.Duration
	Waited time.Duration
}

// Decision is the answer to a Request.
type Decision struct {
	Admitted bool
	// Need is the expected time of the program.
	Need time.Duration
	// RetryAfter is set for a refused program.
	RetryAfter time.Duration
}

const (
	// maxPrograms bounds the programs that are tracked, and maxRoutes the routes.
	maxPrograms = 4096
	maxRoutes   = 1024
	// roomStretch is the factor up to which endpoints count as having room. Half-full batches and
	// the neighbours of endpoints slow turns down by about as much.
	roomStretch = 1.5
	// endedAfter is how long a program sends no turn before it counts as ended. Callers pause for
	// tools and for thinking, which takes well under a second.
	endedAfter = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused programs. Callers lose the
	// time for which they wait.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Second
)

// Controller admits programs and learns how long they take.
type Controller struct {
	routes   map[string]*routeStats
	programs map[string]*programRow
	// checkedAt is when ended programs were last looked for.
	checkedAt time.Time
}

// programRow is a program whose first turn came through this host.
type programRow struct {
	route   string
	began   time.Time
	stated  time.Duration
	lastEnd time.Time
	turns   int
	// active is the number of turns under way, and busy the time in which there was at least one.
	active    int
	busySince time.Time
	busy      time.Duration
	// alone is the time that the turns would have taken on idle endpoints. Of turns that run in
	// parallel only the first counts.
	alone  time.Duration
	failed bool
}

// NewController returns a Controller that has learned nothing yet.
func NewController() *Controller {
	return &Controller{routes: map[string]*routeStats{}, programs: map[string]*programRow{}}
}

// Decide decides whether a program is admitted. Where there is room it always is.
func (c *Controller) Decide(now time.Time, r Request, o Outlook) Decision {
	stats := c.route(r.Route)
	stated := r.Left + r.Waited
	o.Wait = stats.expectedWait(now, o.Wait)
	need := stats.need(stated, o)
	if need <= r.Left || stats.stretch(o) <= roomStretch {
		return Decision{Admitted: true, Need: need}
	}
	return Decision{Need: need, RetryAfter: retryAfter(r.ID, stats.excessWait(stated, need-r.Left, o))}
}

// retryAfter returns the time in which a queue in excess is worked off, spread by half around it.
func retryAfter(id string, excess time.Duration) time.Duration {
	base := min(max(excess, minRetryAfter), maxRetryAfter)
	const buckets = 1024
	spread := float64(xxhash.Sum64String(id)%buckets)/buckets - 0.5
	return base + time.Duration(float64(base)*spread)
}

// route returns what is known of a route.
func (c *Controller) route(name string) *routeStats {
	s := c.routes[name]
	if s == nil {
		if len(c.routes) >= maxRoutes {
			clear(c.routes)
		}
		s = newRouteStats()
		c.routes[name] = s
	}
	return s
}

// Begin records that a turn of a program begins. First is set for the first turn of an admitted
// program; the turns of programs that began elsewhere aren't tracked.
func (c *Controller) Begin(now time.Time, program string, first bool, r Request, o Outlook) {
	c.collect(now)
	c.route(r.Route).observeTurn(o.Alone)
	row := c.programs[program]
	if row == nil {
		if !first || len(c.programs) >= maxPrograms {
			return
		}
		row = &programRow{route: r.Route, began: now, stated: r.Left + r.Waited}
		c.programs[program] = row
	}
	row.turns++
	if row.active == 0 {
		row.busySince = now
		row.alone += o.Alone
	}
	row.active++
}

// End records that a turn ended. Failed is set if its caller didn't get the whole answer.
func (c *Controller) End(now time.Time, program string, failed bool) {
	row := c.programs[program]
	if row == nil || row.active == 0 {
		return
	}
	row.active--
	row.lastEnd = now
	row.failed = row.failed || failed
	if row.active == 0 {
		row.busy += now.Sub(row.busySince)
	}
}

// Waited records how long a turn waited for its first event beyond what an idle endpoint takes.
func (c *Controller) Waited(now time.Time, route string, predicted, actual time.Duration) {
	c.route(route).observeWait(now, predicted, actual)
}

// collectInterval is the time between two searches for ended programs.
const collectInterval = 500 * time.Millisecond

// collect learns from the programs that have ended.
func (c *Controller) collect(now time.Time) {
	if now.Sub(c.checkedAt) < collectInterval {
		return
	}
	c.checkedAt = now
	for id, row := range c.programs {
		if row.active > 0 || now.Sub(row.lastEnd) < endedAfter {
			continue
		}
		delete(c.programs, id)
		if row.failed || row.turns < 2 || row.stated <= 0 {
			continue
		}
		outside := row.lastEnd.Sub(row.began) - row.busy
		c.route(row.route).observeProgram(share(outside, row.stated), share(row.alone, row.stated))
	}
}

func share(part, whole time.Duration) float64 { return float64(max(part, 0)) / float64(whole) }

// Programs returns the number of programs under way that began at this host.
func (c *Controller) Programs() int { return len(c.programs) }
