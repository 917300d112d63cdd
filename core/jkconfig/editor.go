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
	// maxAttempts bounds the write attempts of one edit. Each lost race means
	// that another edit has succeeded.
	maxAttempts = 16
	// minWriteBackoff and maxWriteBackoff bound the pause between two attempts.
	minWriteBackoff = 10 * time.Millisecond
	maxWriteBackoff = 500 * time.Millisecond
	// editTimeout bounds an edit as a whole, including the wait for earlier edits
	// of the same editor.
	editTimeout = 20 * time.Second
	// maxBaseLag is how many revisions an edit's base may be behind the newest one
	// if its section has changed since. 1000 revisions are about half an hour at
	// 48,000 changes a day. The search for the edit's id reads two blocks at most.
	maxBaseLag = 1000
)

// Edit is a request to replace one section.
type Edit struct {
	// ID is the idempotency key, chosen by the caller. It stays the same when the
	// edit is sent again, so that the edit is applied only once.
	ID      string
	Team    string
	Section Section
	// Base is the revision of the document that the edit was made from.
	Base uint64
	// Value is the new JSON text of the section.
	Value []byte
}

// Result is an accepted edit.
type Result struct {
	// Revision is the one that the edit wrote, or the newest one if the section
	// already had the content.
	Revision uint64
	// Changed is false if the section already had this content.
	Changed bool
}

// EditorOptions holds an editor's dependencies.
type EditorOptions struct {
	Client   *jkplatform.Client
	Timer    *jktimer.Service
	Log      jklog.Logger
	Follower *Follower
	// Jitter returns a number between 0 and 1 that scales the pause between two
	// attempts. Without it pauses aren't scaled.
	Jitter func() float64
}

// Editor writes revisions. Edits of one editor run one at a time; those of
// different daemons race for the next revision number.
type Editor struct {
	options EditorOptions
	reader  *reader
	// semaphore lets one edit run at a time.
	semaphore chan struct{}
}

// NewEditor returns an editor that applies edits to its follower's document.
func NewEditor(o EditorOptions) *Editor {
	if o.Jitter == nil {
		o.Jitter = func() float64 { return 1 }
	}
	return &Editor{options: o, reader: &reader{client: o.Client, timer: o.Timer}, semaphore: make(chan struct{}, 1)}
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
	ctx, done := withTimeout(ctx, e.options.Timer, editTimeout)
	defer done()
	select {
	case e.semaphore <- struct{}{}:
		defer func() { <-e.semaphore }()
	case <-ctx.Done():
		return Result{}, &UnavailableError{EditID: edit.ID, Cause: ctx.Err()}
	}
	// Ownership and conflicts are checked against the platform's newest revision;
	// this host's document may be older.
	if err := e.options.Follower.CatchUp(ctx); err != nil {
		if c, ok := e.options.Follower.findEdit(edit.ID); ok {
			return edit.earlierResult(c)
		}
		return Result{}, &UnavailableError{EditID: edit.ID, Cause: err}
	}
	return e.applyWithRetries(ctx, &pendingEdit{edit: edit, at: e.options.Timer.Now().UTC()})
}

// check returns the normalised value, or a report of all wrong fields of the edit.
func (e Edit) check() ([]byte, error) {
	var problems []jkschema.FieldError
	if e.ID == "" || len(e.ID) > 100 {
		problems = append(problems, jkschema.FieldError{Field: "edit_id", Value: jkschema.FormatValue(e.ID), Allowed: "1 to 100 characters"})
	}
	if e.Team == "" || len(e.Team) > 100 {
		problems = append(problems, jkschema.FieldError{Field: "team", Value: jkschema.FormatValue(e.Team), Allowed: "1 to 100 characters"})
	}
	problems = append(problems, checkSection(e.Section, e.Value)...)
	if err := jkschema.Report("edit", problems); err != nil {
		return nil, err
	}
	return normalise(e.Value)
}

// pendingEdit is the state of one edit across its write attempts.
type pendingEdit struct {
	edit Edit
	at   time.Time
	// uncertain is the revision whose write got no answer, or 0. The write may
	// still arrive. Until another edit is known to have this revision, the edit
	// may be tried at no other one, or it could be applied twice.
	uncertain uint64
	lastErr   error
}

// applyWithRetries tries to write the edit until it is decided, with exponential
// backoff.
func (e *Editor) applyWithRetries(ctx context.Context, a *pendingEdit) (Result, error) {
	pause := minWriteBackoff
	for range maxAttempts {
		result, done, err := e.tryOnce(ctx, a)
		if done {
			return result, err
		}
		d := time.Duration(float64(pause) * e.options.Jitter())
		if !e.options.Timer.Wait(d, ctx.Done()) {
			a.lastErr = ctx.Err()
			break
		}
		pause = min(2*pause, maxWriteBackoff)
	}
	return e.giveUp(a)
}

// giveUp returns the outcome of an edit that has used up its attempts or its time.
func (e *Editor) giveUp(a *pendingEdit) (Result, error) {
	unavailable := &UnavailableError{EditID: a.edit.ID, Cause: a.lastErr}
	if a.uncertain == 0 {
		return Result{}, unavailable
	}
	// The uncertain revision may have arrived from another host since.
	changes, ok := e.options.Follower.recentAfter(a.uncertain - 1)
	if !ok || len(changes) == 0 {
		return Result{}, &UncertainError{EditID: a.edit.ID, Revision: a.uncertain, Cause: a.lastErr}
	}
	if changes[0].EditID == a.edit.ID {
		return Result{Revision: a.uncertain, Changed: true}, nil
	}
	return Result{}, unavailable
}

// tryOnce makes one attempt to write the edit as the revision after the newest known
// document. It reports whether the edit is decided, that is, needs no other attempt.
func (e *Editor) tryOnce(ctx context.Context, a *pendingEdit) (Result, bool, error) {
	base := e.options.Follower.Newest()
	if c, ok := e.options.Follower.findEdit(a.edit.ID); ok {
		result, err := a.edit.earlierResult(c)
		return result, true, err
	}
	if err := e.checkAllowed(ctx, base, a.edit); err != nil {
		var applied *alreadyAppliedError
		if errors.As(err, &applied) {
			result, err := a.edit.earlierResult(applied.change)
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

// earlierResult returns the result of an edit that has been applied before as c. An id
// that was used for another section or team is refused.
func (e Edit) earlierResult(c Change) (Result, error) {
	if c.Section == e.Section && c.Team == e.Team {
		return Result{Revision: c.Revision, Changed: true}, nil
	}
	return Result{}, jkschema.Report("edit", []jkschema.FieldError{{
		Field: "edit_id", Value: jkschema.FormatValue(e.ID), Allowed: "an id that no edit of another section or team has used",
	}})
}

// change returns the next revision after base, or revision 0 if the section
// already has the content.
func (a *pendingEdit) change(base *Document) (Change, error) {
	old, _ := base.Text(a.edit.Section)
	patch, err := jsonpatch.CreateMergePatch(old, a.edit.Value)
	if err != nil {
		return Change{}, eris.Wrap(err, "compare section")
	}
	if string(patch) == emptySectionText {
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

// complete checks that the change turns base into the wanted text, that the resulting
// document follows the rules between sections, and that it fits into a record of the
// platform. It adds the whole document to the first revision of a block. The schema
// has been checked before.
func (c *Change) complete(base *Document, want []byte) error {
	next, err := base.apply(*c)
	if err != nil {
		return err
	}
	found := &findings{}
	next.checkRules(nil, found)
	if err := jkschema.Report("configuration", found.problems); err != nil {
		return err
	}
	if got, _ := next.Text(c.Section); string(got) != string(want) {
		return eris.Errorf("section %s: the patch doesn't give the edited text", c.Section)
	}
	packed, err := next.Snapshot()
	if err != nil {
		return err
	}
	// Every edit is checked. Otherwise a document that is too large would be found
	// only at the next revision that holds it whole, and all later edits would be
	// refused.
	if len(packed) > maxSnapshotBytes {
		return &TooLargeError{Section: c.Section, Size: len(packed), Limit: maxSnapshotBytes}
	}
	if c.Revision%blockSize == 0 {
		c.Document = packed
	}
	return nil
}
