package jkprogram

import (
	"slices"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jktoken"
)

// Adopt takes over a program whose former home has ended. The state comes from
// its copies, which are fenced: from now on they refuse epochs below the given
// one. Everything granted counts as spent, because the former home may have spent
// it, and a non-repeatable call with a recorded intent becomes a turn with an
// unknown outcome.
//
// Each home may spend one grant step after a takeover before all copies have
// recorded a larger grant, because one of them is often down at that time. For
// each epoch between that of the state and the new one, one step therefore counts
// as spent, although the state doesn't show it.
func (c *Core) Adopt(now time.Time, s State, epoch uint64) (Record, error) {
	if len(c.programs) >= c.options.MaxPrograms {
		return Record{}, eris.Wrap(&TableFullError{Table: "programs", Limit: c.options.MaxPrograms}, "adopt program")
	}
	if old := c.programs[s.Program]; old != nil && !old.superseded && (!old.unusedSinceAdoption || old.state.Epoch >= epoch) {
		return Record{}, eris.Errorf("adopt program: epoch %d is in use and %d was offered", old.state.Epoch, epoch)
	}
	if epoch <= s.Epoch {
		return Record{}, eris.Errorf("adopt program: epoch %d is not above %d", epoch, s.Epoch)
	}
	skippedEpochs := int64(epoch - s.Epoch - 1)
	allowance := grantStep(s.Meta.Budget)
	s.Spent = min(s.Meta.Budget, max(s.Spent, s.Granted)+skippedEpochs*allowance)
	s.Granted = min(s.Meta.Budget, s.Spent+allowance)
	s.Epoch = epoch
	s.Home = c.options.Self
	intent := s.Intent
	s.Intent = nil
	s.Closed = nil
	s.Prior = nil
	s.Base = s.Turn()
	p := newProgram(now, s)
	c.programs[s.Program] = p
	if intent != nil && s.End == "" {
		p.appendTurn(now, Turn{Number: p.state.Turn() + 1, RequestID: intent.RequestID, Kind: KindService, Outcome: OutcomeUnknown})
	}
	p.unusedSinceAdoption = true
	return p.snapshot(), nil
}

// IsUnusedSinceAdoption reports whether no call has run since the program was adopted.
// A longer history of the former home may then still replace it.
func (c *Core) IsUnusedSinceAdoption(id string) bool {
	p := c.programs[id]
	return p != nil && p.unusedSinceAdoption
}

// IsFromFormerIncarnation reports whether a superseded program's home was a former
// incarnation of this host. The program may come back to the present one.
func (c *Core) IsFromFormerIncarnation(id string) bool {
	p := c.programs[id]
	return p != nil && p.superseded && p.state.Home != c.options.Self
}

// RetiredState returns the state of a program that another home has taken over. It
// may hold turns that the copies missed.
func (c *Core) RetiredState(id string) (State, bool) {
	p := c.programs[id]
	if p == nil || !p.superseded {
		return State{}, false
	}
	return p.copyState(), true
}

// AcceptHandover takes over a program by a planned handover: the former home has
// stopped and sent its exact state, so no outcome is unknown and no grant is lost.
func (c *Core) AcceptHandover(now time.Time, s State) (Record, error) {
	if len(c.programs) >= c.options.MaxPrograms {
		return Record{}, eris.Wrap(&TableFullError{Table: "programs", Limit: c.options.MaxPrograms}, "receive program")
	}
	if old := c.programs[s.Program]; old != nil && old.state.Epoch > s.Epoch {
		return Record{}, eris.Errorf("receive program: epoch %d is older than %d", s.Epoch, old.state.Epoch)
	}
	s.Prior = append(s.Prior, Origin{Home: s.Home, Epoch: s.Epoch})
	s.Epoch++
	s.Home = c.options.Self
	p := newProgram(now, s)
	c.programs[s.Program] = p
	return p.snapshot(), nil
}

// Supersede marks a program as taken over by another home. It answers no more
// requests here.
func (c *Core) Supersede(id string) {
	p := c.programs[id]
	if p == nil {
		return
	}
	p.superseded = true
	p.running = nil
	p.endedAt = time.Time{}
}

// IsSuperseded reports whether another home has taken the program over.
func (c *Core) IsSuperseded(id string) bool {
	p := c.programs[id]
	return p != nil && p.superseded
}

// Snapshot returns a record that brings a copy up to date if it missed records.
func (c *Core) Snapshot(id string) (Record, bool) {
	p := c.programs[id]
	if p == nil {
		return Record{}, false
	}
	return p.snapshot(), true
}

// NoOp returns a record that changes nothing. A copy that accepts it has the
// complete history.
func (c *Core) NoOp(id string) (Record, bool) {
	p := c.programs[id]
	if p == nil || p.superseded || p.state.End != "" {
		return Record{}, false
	}
	return p.record(RecordGrant), true
}

// SetCopies replaces the hosts that hold copies of a program and returns the
// snapshot for them.
func (c *Core) SetCopies(id string, copies []string) (Record, bool) {
	p := c.programs[id]
	if p == nil || p.superseded {
		return Record{}, false
	}
	p.state.Copies = copies
	return p.snapshot(), true
}

// Ended is a program that has just ended, with the sub-programs that end with
// it.
type Ended struct {
	Program string
	Reason  EndReason
	Record  Record
	Copies  []string
	// WasRunning is true if a call has to be cancelled at its endpoint.
	WasRunning bool
	// Endpoints lists the endpoints that ran a call of the program.
	Endpoints []string
	Meta      Meta
	Turns     uint64
	// LastActive is when the last call began or ended.
	LastActive time.Time
}

// End ends a program and its sub-programs at this home. Ending an ended program
// changes nothing.
func (c *Core) End(now time.Time, id string, reason EndReason) ([]Ended, error) {
	p := c.programs[id]
	if p == nil {
		return nil, eris.Wrap(&UnknownProgramError{Program: id}, "end")
	}
	if p.state.End != "" || p.superseded {
		return nil, nil
	}
	var ended []Ended
	children := make([]string, 0, len(p.children))
	for child := range p.children {
		children = append(children, child)
	}
	sort.Strings(children)
	for _, child := range children {
		more, err := c.End(now, child, EndParent)
		if err == nil {
			ended = append(ended, more...)
		}
	}
	e := Ended{Program: id, Reason: reason, Copies: p.state.Copies, WasRunning: p.running != nil, Endpoints: p.endpoints()}
	e.Meta, e.Turns, e.LastActive = p.state.Meta, p.state.Turn(), p.lastActive
	c.settleBudget(p)
	p.state.End = reason
	p.endedAt = now
	e.Record = p.record(RecordEnd)
	e.Record.End = reason
	return append(ended, e), nil
}

// endpoints returns the endpoints named in the history, in order of first use.
func (p *program) endpoints() []string {
	var out []string
	for _, t := range p.state.Turns {
		if t.Endpoint != "" && !slices.Contains(out, t.Endpoint) {
			out = append(out, t.Endpoint)
		}
	}
	return out
}

// settleBudget charges the running call in full and returns the unused share of an
// ending sub-program to its parent.
func (c *Core) settleBudget(p *program) {
	if p.running != nil {
		p.state.Spent += p.running.charged + p.running.maxCost
		p.running = nil
	}
	parent := c.programs[p.state.Meta.Parent]
	if parent == nil {
		return
	}
	share, ok := parent.children[p.state.Program]
	if !ok {
		return
	}
	delete(parent.children, p.state.Program)
	parent.reserved -= share
	parent.state.Spent += min(share, p.state.Spent)
}

// Expired is a program that has exceeded a limit.
type Expired struct {
	Program string
	Reason  EndReason
}

// Tick returns the programs that have exceeded a limit and removes those that ended
// longer ago than the retention.
func (c *Core) Tick(now time.Time) []Expired {
	var expired []Expired
	for id, p := range c.programs {
		if p.state.End != "" || p.superseded {
			// The retention of a superseded program starts at the first tick after the
			// takeover was noticed. So even if that happens after a long pause, its
			// successor can read the state for the whole retention.
			if p.endedAt.IsZero() {
				p.endedAt = now
			}
			if now.Sub(p.endedAt) > c.options.EndedRetention {
				delete(c.programs, id)
			}
			continue
		}
		if reason := p.exceededLimit(now); reason != "" {
			expired = append(expired, Expired{Program: id, Reason: reason})
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].Program < expired[j].Program })
	return expired
}

// exceededLimit returns the reason to end the program, or "" within its limits.
func (p *program) exceededLimit(now time.Time) EndReason {
	l := p.state.Meta.Limits
	switch {
	case l.MaxDuration > 0 && now.Sub(p.state.Meta.Created) > l.MaxDuration:
		return EndMaxDuration
	case l.IdleLimit > 0 && p.running == nil && len(p.children) == 0 && now.Sub(p.lastActive) > l.IdleLimit:
		return EndIdle
	case l.MaxTurns > 0 && p.running == nil && p.state.Turn() >= l.MaxTurns:
		return EndMaxTurns
	}
	return ""
}

// Info is a summary of a program for listings. Amounts are in tokens.
type Info struct {
	Program   string
	Workspace string
	Template  string
	Parent    string
	Priority  int
	Home      jktoken.Incarnation
	Epoch     uint64
	Turn      uint64
	Budget    int64
	Granted   int64
	Spent     int64
	Running   string
	End       EndReason
	Created   time.Time
	Limits    Limits
	Copies    []string
}

// Info returns the summary of a program.
func (c *Core) Info(id string) (Info, bool) {
	p := c.programs[id]
	if p == nil {
		return Info{}, false
	}
	s := &p.state
	i := Info{
		Program:   id,
		Workspace: s.Meta.Workspace,
		Template:  s.Meta.Template,
		Parent:    s.Meta.Parent,
		Priority:  s.Meta.Priority,
		Home:      s.Home,
		Epoch:     s.Epoch,
		Turn:      s.Turn(),
		Budget:    s.Meta.Budget,
		Granted:   s.Granted,
		Spent:     s.Spent + p.reserved,
		End:       s.End,
		Created:   s.Meta.Created,
		Limits:    s.Meta.Limits,
		Copies:    s.Copies,
	}
	if p.running != nil {
		i.Running = p.running.requestID
	}
	return i, true
}
