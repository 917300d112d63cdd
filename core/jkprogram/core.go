package jkprogram

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jktoken"
)

const (
	// grantSteps is the number of steps in which a budget is granted. A successor
	// loses at most one step of the budget at a takeover.
	grantSteps = 16
	// maxClosedRequests bounds the refused request ids that are stored for one
	// token. Beyond it the token is closed for every new request.
	maxClosedRequests = 64
)

// Options identifies the home of a core and bounds its table.
type Options struct {
	Self jktoken.Incarnation
	// MaxPrograms bounds the table of programs, ended ones included.
	MaxPrograms int
	// EndedRetention is how long an ended program still answers retries.
	EndedRetention time.Duration
}

// Core holds the programs of one home. It is not safe for concurrent use.
type Core struct {
	options  Options
	programs map[string]*program
}

// New returns a core without programs.
func New(o Options) *Core {
	return &Core{options: o, programs: map[string]*program{}}
}

// program is the table entry of one program.
type program struct {
	state               State
	messages            []string
	requests            map[string]uint64
	running             *call
	closedRequests      map[string]bool
	allClosed           bool
	superseded          bool
	unusedSinceAdoption bool
	lastActive          time.Time
	endedAt             time.Time
	children            map[string]int64
	// reserved is the budget share, in tokens, held by sub-programs.
	reserved int64
}

// call is the running call of a program.
type call struct {
	requestID  string
	kind       Kind
	repeatable bool
	maxCost    int64
	// charged is the cost, in tokens, of attempts that were lost.
	charged int64
	// granted is the program's grant, in tokens, once the copies have recorded it.
	granted int64
}

// SetSelf changes the incarnation under which new programs are created.
func (c *Core) SetSelf(self jktoken.Incarnation) { c.options.Self = self }

// Creation describes a new program.
type Creation struct {
	Program string
	Meta    Meta
	Copies  []string
}

// Len returns the number of programs, ended ones included.
func (c *Core) Len() int { return len(c.programs) }

// Create adds a program and returns the snapshot that its copies store first.
func (c *Core) Create(now time.Time, r Creation) (Record, error) {
	if len(c.programs) >= c.options.MaxPrograms {
		return Record{}, eris.Wrap(&TableFullError{Table: "programs", Limit: c.options.MaxPrograms}, "create program")
	}
	if c.programs[r.Program] != nil {
		return Record{}, eris.Errorf("create program: id %s is in use", r.Program)
	}
	if err := c.reserveShare(r); err != nil {
		return Record{}, err
	}
	r.Meta.Created = now
	p := newProgram(now, State{
		Program: r.Program,
		Home:    c.options.Self,
		Meta:    r.Meta,
		Granted: min(r.Meta.Budget, grantStep(r.Meta.Budget)),
		Copies:  r.Copies,
	})
	c.programs[r.Program] = p
	return p.snapshot(), nil
}

// reserveShare takes a sub-program's budget from its parent. The share must lie
// within what the parent's copies have recorded as granted.
func (c *Core) reserveShare(r Creation) error {
	if r.Meta.Parent == "" {
		return nil
	}
	parent := c.programs[r.Meta.Parent]
	if parent == nil {
		return eris.Wrap(&UnknownProgramError{Program: r.Meta.Parent}, "create sub-program")
	}
	if err := parent.checkAcceptsCalls(); err != nil {
		return err
	}
	if parent.committed()+r.Meta.Budget > parent.state.Granted {
		return eris.Wrap(parent.budgetError(r.Meta.Budget, parent.committed()+r.Meta.Budget <= parent.state.Meta.Budget), "create sub-program")
	}
	parent.reserved += r.Meta.Budget
	parent.children[r.Program] = r.Meta.Budget
	return nil
}

// GrantFor raises a program's grant so that amount more tokens may be spent.
// It returns nil when the grant suffices. The record takes effect by
// ApplyGrant.
func (c *Core) GrantFor(id string, amount int64) (*Record, error) {
	p := c.programs[id]
	if p == nil {
		return nil, eris.Wrap(&UnknownProgramError{Program: id}, "grant")
	}
	need := p.committed() + amount
	if need <= p.state.Granted {
		return nil, nil
	}
	if need > p.state.Meta.Budget {
		return nil, eris.Wrap(p.budgetError(amount, false), "grant")
	}
	r := p.record(RecordGrant)
	r.Granted = min(p.state.Meta.Budget, max(need, p.state.Granted+grantStep(p.state.Meta.Budget)))
	return &r, nil
}

// ApplyGrant raises the grant after all copies have recorded it.
func (c *Core) ApplyGrant(r Record) {
	if p := c.programs[r.Program]; p != nil {
		p.state.Granted = max(p.state.Granted, r.Granted)
	}
}

// Claims returns the content of the token for a program's present turn.
func (c *Core) Claims(id string) (jktoken.Claims, error) {
	p := c.programs[id]
	if p == nil {
		return jktoken.Claims{}, eris.Wrap(&UnknownProgramError{Program: id}, "claims")
	}
	return p.claims(c.options.Self), nil
}

// State returns a copy of a program's state, for handover and for readers.
func (c *Core) State(id string) (State, bool) {
	p := c.programs[id]
	if p == nil {
		return State{}, false
	}
	return p.copyState(), true
}

// IDs returns the ids of all programs in order.
func (c *Core) IDs() []string {
	ids := make([]string, 0, len(c.programs))
	for id := range c.programs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// IsRunning reports whether a call of the program is in flight.
func (c *Core) IsRunning(id string) bool {
	p := c.programs[id]
	return p != nil && p.running != nil
}

func newProgram(now time.Time, s State) *program {
	p := &program{
		state:          s,
		requests:       map[string]uint64{},
		closedRequests: map[string]bool{},
		children:       map[string]int64{},
		lastActive:     now,
	}
	for _, t := range s.Turns {
		p.indexTurn(t)
	}
	for _, id := range s.Closed {
		p.closedRequests[id] = true
	}
	if s.End != "" {
		p.endedAt = now
	}
	return p
}

func (p *program) indexTurn(t Turn) {
	p.requests[t.RequestID] = t.Number
	p.messages = append(p.messages, t.Messages...)
}

// checkAcceptsCalls returns an error if the program accepts no more calls.
func (p *program) checkAcceptsCalls() error {
	if p.superseded {
		return eris.Wrap(&SupersededError{Program: p.state.Program}, "program")
	}
	if p.state.End != "" {
		return eris.Wrap(&EndedError{Program: p.state.Program, Reason: p.state.End}, "program")
	}
	return nil
}

// committed returns the tokens that are spent, held by sub-programs or may be
// spent by the running call.
func (p *program) committed() int64 {
	n := p.state.Spent + p.reserved
	if p.running != nil {
		n += p.running.charged + p.running.maxCost
	}
	return n
}

func (p *program) budgetError(needed int64, grantUnavailable bool) error {
	return &BudgetError{
		Program:          p.state.Program,
		Budget:           p.state.Meta.Budget,
		Spent:            p.committed(),
		Needed:           needed,
		GrantUnavailable: grantUnavailable,
	}
}

func (p *program) claims(self jktoken.Incarnation) jktoken.Claims {
	return jktoken.Claims{
		Program:       p.state.Program,
		Workspace:     p.state.Meta.Workspace,
		Home:          self,
		Epoch:         p.state.Epoch,
		Turn:          p.state.Turn(),
		Digest:        p.state.Digest(),
		BudgetGranted: p.state.Granted,
		Copies:        p.state.Copies,
	}
}

// record returns the next history record of a kind, without its content.
func (p *program) record(kind RecordKind) Record {
	p.state.Seq++
	return Record{
		Program: p.state.Program,
		Home:    p.state.Home,
		Epoch:   p.state.Epoch,
		Seq:     p.state.Seq,
		Kind:    kind,
		Granted: p.state.Granted,
	}
}

func (p *program) snapshot() Record {
	r := p.record(RecordSnapshot)
	s := p.copyState()
	r.Snapshot = &s
	return r
}

func (p *program) copyState() State {
	s := p.state
	s.Turns = append([]Turn(nil), p.state.Turns...)
	s.Closed = nil
	for id := range p.closedRequests {
		s.Closed = append(s.Closed, id)
	}
	sort.Strings(s.Closed)
	// A share held by a sub-program counts as spent for any later home, which
	// cannot know what the sub-program used.
	s.Spent += p.reserved
	return s
}

func grantStep(budget int64) int64 { return max(1, (budget+grantSteps-1)/grantSteps) }

func startDigest(program string) string { return digest("start", program) }

func turnDigest(previous string, t *Turn) string {
	return digest(previous, strconv.FormatUint(t.Number, 10), t.RequestID, string(t.Outcome), string(t.Input), string(t.Answer))
}

// digest returns 128 bits over length-prefixed parts, as hex.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write([]byte(strconv.Itoa(len(p)) + ":" + p))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
