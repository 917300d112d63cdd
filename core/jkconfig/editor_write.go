package jkconfig

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkschema"
)

// appliedError tells that the edit is found among the revisions after its base.
type appliedError struct {
	change Change
}

func (e *appliedError) Error() string { return "edit has been applied" }

// permit checks that the team owns the section and that nobody has changed it
// since the edit's base.
func (e *Editor) permit(ctx context.Context, d *Document, edit Edit) error {
	if edit.Base > d.revision {
		return jkschema.Report("edit", []jkschema.FieldError{{
			Field: "base_revision", Value: jkschema.Shown(edit.Base),
			Allowed: "at most the newest revision " + jkschema.Shown(d.revision),
		}})
	}
	if theirs, revision := d.Text(edit.Section); revision > edit.Base {
		return e.conflict(ctx, d, edit, theirs, revision)
	}
	if owner := d.Owner(edit.Section); owner != "" && owner != edit.Team {
		return &OwnerError{Section: edit.Section, Team: edit.Team, Owner: owner}
	}
	return nil
}

// conflict returns the error for a section that has changed since the base. The
// change may be this very edit, sent again by a caller that never learned of
// its success.
func (e *Editor) conflict(ctx context.Context, d *Document, edit Edit, theirs []byte, revision uint64) error {
	err := &ConflictError{
		Section: edit.Section, Base: edit.Base, Revision: revision,
		Theirs: theirs, Yours: edit.Value,
	}
	changes, ok := e.options.Follower.recentAfter(edit.Base)
	if !ok {
		if d.revision-edit.Base > maxHistory {
			return jkschema.Report("edit", []jkschema.FieldError{{
				Field: "base_revision", Value: jkschema.Shown(edit.Base),
				Allowed: "at least " + jkschema.Shown(d.revision-maxHistory) + ", because the section has changed since; see the history for this edit's id",
			}})
		}
		var readErr error
		if changes, readErr = e.reader.between(ctx, edit.Base, d.revision); readErr != nil {
			return &UncertainError{EditID: edit.ID, Revision: revision, Cause: readErr}
		}
	}
	for _, c := range changes {
		if c.EditID == edit.ID {
			return &appliedError{change: c}
		}
		if c.Revision == revision {
			err.Team = c.Team
		}
	}
	return err
}

// write creates the record of a revision and reports whether the edit is
// decided.
func (e *Editor) write(ctx context.Context, a *attempt, c Change) (Result, bool, error) {
	value, err := c.encode()
	if err != nil {
		return Result{}, true, err
	}
	call, done := within(ctx, e.options.Timer, callTimeout)
	record, err := e.options.Client.Create(call, key(c.Revision), value)
	done()
	if err == nil {
		c.Position = record.Version
		return e.accepted(c)
	}
	a.cause = err
	var exists *jkplatform.ExistsError
	var uncertain *jkplatform.UncertainError
	var invalid *jkplatform.InvalidError
	switch {
	case errors.As(err, &exists):
		return e.taken(ctx, a, exists.Present)
	case errors.As(err, &uncertain):
		a.uncertain = c.Revision
		return e.readBack(ctx, a, c.Revision)
	case errors.As(err, &invalid):
		return Result{}, true, eris.Wrap(err, "write revision")
	}
	return Result{}, false, nil
}

// accepted makes a written revision known to this host.
func (e *Editor) accepted(c Change) (Result, bool, error) {
	if err := e.options.Follower.take(c); err != nil {
		// The edit took effect; this host gets it from the platform later.
		e.options.Log.Error("written revision can't be applied", err, "revision", c.Revision)
	}
	e.options.Log.Info("revision written", "revision", c.Revision, "section", c.Section, "team", c.Team, "edit", c.EditID)
	return Result{Revision: c.Revision, Changed: true}, true, nil
}

// readBack resolves a lost answer: the record at the revision is this edit's,
// another one's, or not there yet. In the last case the write may still arrive,
// so the next attempt creates the same key again.
func (e *Editor) readBack(ctx context.Context, a *attempt, revision uint64) (Result, bool, error) {
	record, err := e.reader.get(ctx, revision)
	if err != nil {
		return Result{}, false, nil
	}
	return e.taken(ctx, a, record)
}

// taken handles a revision that is there already: by this edit or by another.
func (e *Editor) taken(ctx context.Context, a *attempt, record jkplatform.Record) (Result, bool, error) {
	c, err := decodeChange(record)
	if err != nil {
		return Result{}, true, err
	}
	if c.EditID == a.edit.ID {
		return e.accepted(c)
	}
	if err := e.options.Follower.takeRecords(ctx, []jkplatform.Record{record}); err != nil {
		a.cause = err
		return Result{}, false, nil
	}
	// More revisions may have been written; a failure shows at the next write.
	if err := e.options.Follower.CatchUp(ctx); err != nil {
		a.cause = err
	}
	return Result{}, false, nil
}
