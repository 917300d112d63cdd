package jkconfig

import (
	"context"
	"errors"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkschema"
	"jasmineknot.example/core/jktimer"
)

const (
	// maxAttempts bounds the writes of one edit. Each lost race means that
	// another edit has succeeded.
	maxAttempts = 16
	// firstPause and lastPause bound the pause between two attempts.
	firstPause = 10 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// editTimeout bounds an edit as a whole, including the wait for its turn.
	editTimeout = 20 * time.Second
	// maxHistory is the number of revisions that an edit's base may be behind
	// when its section has been changed since; about half an hour at 48,000
	// changes a day. The search for the edit's id reads two blocks at most.
	maxHistory = 1000
)

// Edit replaces one section.
type Edit struct {
	// ID is chosen by the caller and stays the same when the edit is sent
	// again, so that it is applied only once.
	ID      string
	Team    string
	Section Section
	// Base is the revision of the document that the caller edited.
	Base uint64
	// Value is the new JSON text of the section.
	Value []byte
}

// Result is an accepted edit.
type Result struct {
	// Revision is the one in force with the edit.
	Revision uint64
	// Changed is false if the section already had this content.
	Changed bool
}

// EditorOptions are what an editor needs.
type EditorOptions struct {
	Client   *jkplatform.Client
	Timer    *jktimer.Service
	Log      jklog.Logger
	Follower *Follower
	// Jitter returns a number between 0 and 1 that scales pauses.
	Jitter func() float64
}

// Editor writes revisions. Edits of one editor run one at a time; those of
// different daemons race for the next revision number.
type Editor struct {
	options EditorOptions
	reader  *reader
	turn    chan struct{}
}

// NewEditor returns an editor that builds on a follower's document.
func NewEditor(o EditorOptions) *Editor {
	if o.Jitter == nil {
		o.Jitter = func() float64 { return 1 }
	}
	return &Editor{options: o, reader: &reader{client: o.Client, timer: o.Timer}, turn: make(chan struct{}, 1)}
}

// Apply writes an edit exactly once. It returns a *jkschema.ReportError,
// *OwnerError, *ConflictError or *TooLargeError for an edit that is refused,
// *UnavailableError for one that could not be written, and *UncertainError for
// one whose outcome is unknown.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Result, error) {
	value, err := edit.check()
	if err != nil {
		return Result{}, err
	}
	edit.Value = value
	ctx, done := within(ctx, e.options.Timer, editTimeout)
	defer done()
	select {
	case e.turn <- struct{}{}:
		defer func() { <-e.turn }()
	case <-ctx.Done():
		return Result{}, &UnavailableError{EditID: edit.ID, Cause: ctx.Err()}
	}
	// All decisions below are made on what the platform has now, not on what
	// this host happens to know.
	if err := e.options.Follower.CatchUp(ctx); err != nil {
		if c, ok := e.options.Follower.findEdit(edit.ID); ok {
			return edit.same(c)
		}
		return Result{}, &UnavailableError{EditID: edit.ID, Cause: err}
	}
	return e.run(ctx, &attempt{edit: edit, at: e.options.Timer.Now().UTC()})
}

// check returns the normalised value, or a report of the edit's wrong fields.
func (e Edit) check() ([]byte, error) {
	var problems []jkschema.FieldError
	if e.ID == "" || len(e.ID) > 100 {
		problems = append(problems, jkschema.FieldError{Field: "edit_id", Value: jkschema.Shown(e.ID), Allowed: "1 to 100 characters"})
	}
	if e.Team == "" || len(e.Team) > 100 {
		problems = append(problems, jkschema.FieldError{Field: "team", Value: jkschema.Shown(e.Team), Allowed: "1 to 100 characters"})
	}
	problems = append(problems, checkSection(e.Section, e.Value)...)
	if err := jkschema.Report("edit", problems); err != nil {
		return nil, err
	}
	return normalise(e.Value)
}

// attempt is the state of one edit over its attempts.
type attempt struct {
	edit Edit
	at   time.Time
	// uncertain is the revision whose write got no answer, or 0. The attempt
	// may go on only at this revision until it is known to be taken.
	uncertain uint64
	cause     error
}

func (e *Editor) run(ctx context.Context, a *attempt) (Result, error) {
	pause := firstPause
	for range maxAttempts {
		result, done, err := e.try(ctx, a)
		if done {
			return result, err
		}
		d := time.Duration(float64(pause) * e.options.Jitter())
		if !e.options.Timer.Wait(d, ctx.Done()) {
			a.cause = ctx.Err()
			break
		}
		pause = min(2*pause, lastPause)
	}
	return e.giveUp(a)
}

// giveUp returns the outcome of an edit that runs out of attempts or time.
func (e *Editor) giveUp(a *attempt) (Result, error) {
	unavailable := &UnavailableError{EditID: a.edit.ID, Cause: a.cause}
	if a.uncertain == 0 {
		return Result{}, unavailable
	}
	// Another host may have sent the revision in question meanwhile.
	changes, ok := e.options.Follower.recentAfter(a.uncertain - 1)
	if !ok || len(changes) == 0 {
		return Result{}, &UncertainError{EditID: a.edit.ID, Revision: a.uncertain, Cause: a.cause}
	}
	if changes[0].EditID == a.edit.ID {
		return Result{Revision: a.uncertain, Changed: true}, nil
	}
	return Result{}, unavailable
}

// try makes one attempt on the newest known document and reports whether the
// edit is decided.
func (e *Editor) try(ctx context.Context, a *attempt) (Result, bool, error) {
	base := e.options.Follower.Newest()
	if c, ok := e.options.Follower.findEdit(a.edit.ID); ok {
		result, err := a.edit.same(c)
		return result, true, err
	}
	if err := e.permit(ctx, base, a.edit); err != nil {
		var applied *appliedError
		if errors.As(err, &applied) {
			result, err := a.edit.same(applied.change)
			return result, true, err
		}
		return Result{}, true, err
	}
	c, err := a.change(base)
	if err != nil {
		return Result{}, true, err
	}
	if c.Revision == 0 {
		return Result{Revision: base.revision}, true, nil
	}
	return e.write(ctx, a, c)
}

// same returns the result of an edit that has been applied before. Its id must
// not have been used for something else.
func (e Edit) same(c Change) (Result, error) {
	if c.Section == e.Section && c.Team == e.Team {
		return Result{Revision: c.Revision, Changed: true}, nil
	}
	return Result{}, jkschema.Report("edit", []jkschema.FieldError{{
		Field: "edit_id", Value: jkschema.Shown(e.ID), Allowed: "an id that no edit of another section or team has used",
	}})
}

// change returns the next revision after base, or revision 0 if the section
// already has the content.
func (a *attempt) change(base *Document) (Change, error) {
	if err := base.Validate(map[Section][]byte{a.edit.Section: a.edit.Value}); err != nil {
		return Change{}, err
	}
	old, _ := base.Text(a.edit.Section)
	patch, err := jsonpatch.CreateMergePatch(old, a.edit.Value)
	if err != nil {
		return Change{}, eris.Wrap(err, "compare section")
	}
	if string(patch) == emptySection {
		return Change{}, nil
	}
	c := Change{
		Revision: base.revision + 1, EditID: a.edit.ID, Team: a.edit.Team,
		Section: a.edit.Section, Base: a.edit.Base, At: a.at,
	}
	if err := c.setPatch(patch); err != nil {
		return Change{}, err
	}
	return c, c.complete(base, a.edit.Value)
}

// complete checks that the change leads from base to the wanted text and that
// it fits into the platform, and adds the whole document where it is due.
func (c *Change) complete(base *Document, want []byte) error {
	next, err := base.apply(*c)
	if err != nil {
		return err
	}
	if got, _ := next.Text(c.Section); string(got) != string(want) {
		return eris.Errorf("section %s: the patch doesn't give the edited text", c.Section)
	}
	packed, err := next.Snapshot()
	if err != nil {
		return err
	}
	// Checked for each edit, or else an edit would be refused only at the next
	// revision that holds the whole document, and with it all later edits.
	if len(packed) > maxPacked {
		return &TooLargeError{Section: c.Section, Size: len(packed), Limit: maxPacked}
	}
	if c.Revision%blockSize == 0 {
		c.Document = packed
	}
	return nil
}
