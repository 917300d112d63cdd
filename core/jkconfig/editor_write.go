package jkconfig

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkschema"
)

// alreadyAppliedError is returned when the edit's id is found among the revisions after
// its base.
type alreadyAppliedError struct {
	change Change
}

func (e *alreadyAppliedError) Error() string { return "edit has been applied" }

// checkAllowed checks that the edit's team owns the section and that no other edit has
// changed the section since the edit's base.
func (e *Editor) checkAllowed(ctx context.Context, d *Document, edit Edit) error {
	if edit.Base > d.revision {
		return jkschema.Report("edit", []jkschema.FieldError{{
			Field: "base_revision", Value: jkschema.FormatValue(edit.Base),
			Allowed: "at most the newest revision " + jkschema.FormatValue(d.revision),
		}})
	}
	if theirs, revision := d.Text(edit.Section); revision > edit.Base {
		return e.conflictError(ctx, d, edit, theirs, revision)
	}
	if owner := d.Owner(edit.Section); owner != "" && owner != edit.Team {
		return &OwnerError{Section: edit.Section, Team: edit.Team, Owner: owner}
	}
	return nil
}

// conflictError returns the error for a section that has changed since the edit's base.
// The change may be this very edit, sent again by a caller that got no answer to the
// first request; the error is then an alreadyAppliedError.
func (e *Editor) conflictError(ctx context.Context, d *Document, edit Edit, theirs []byte, revision uint64) error {
	err := &ConflictError{
		Section: edit.Section, Base: edit.Base, Revision: revision,
		Theirs: theirs, Yours: edit.Value,
	}
	changes, ok := e.options.Follower.recentAfter(edit.Base)
	if !ok {
		if d.revision-edit.Base > maxBaseLag {
			return jkschema.Report("edit", []jkschema.FieldError{{
				Field: "base_revision", Value: jkschema.FormatValue(edit.Base),
				Allowed: "at least " + jkschema.FormatValue(d.revision-maxBaseLag) + ", because the section has changed since; see the history for this edit's id",
			}})
		}
		var readErr error
		if changes, readErr = e.reader.readChanges(ctx, edit.Base, d.revision); readErr != nil {
			return &UncertainError{EditID: edit.ID, Revision: revision, Cause: readErr}
		}
	}
	for _, c := range changes {
		if c.EditID == edit.ID {
			return &alreadyAppliedError{change: c}
		}
		if c.Revision == revision {
			err.Team = c.Team
		}
	}
	return err
}

// write creates the record of a revision and reports whether the edit is
// decided.
func (e *Editor) write(ctx context.Context, a *pendingEdit, c Change) (Result, bool, error) {
	value, err := c.encode()
	if err != nil {
		return Result{}, true, err
	}
	call, done := withTimeout(ctx, e.options.Timer, callTimeout)
	record, err := e.options.Client.Create(call, revisionKey(c.Revision), value)
	done()
	if err == nil {
		c.Position = record.Version
		return e.applyWritten(c)
	}
	a.lastErr = err
	var exists *jkplatform.ExistsError
	var uncertain *jkplatform.UncertainError
	var invalid *jkplatform.InvalidError
	switch {
	case errors.As(err, &exists):
		return e.resolveExisting(ctx, a, exists.Present)
	case errors.As(err, &uncertain):
		a.uncertain = c.Revision
		return e.readBack(ctx, a, c.Revision)
	case errors.As(err, &invalid):
		return Result{}, true, eris.Wrap(err, "write revision")
	}
	return Result{}, false, nil
}

// applyWritten applies a written revision to this host's document.
func (e *Editor) applyWritten(c Change) (Result, bool, error) {
	if err := e.options.Follower.applyChange(c); err != nil {
		// The edit has taken effect; this host reads it from the platform later.
		e.options.Log.Error("revision written, but not applied on this host", err, "revision", c.Revision)
	}
	e.options.Log.Info("revision written", "revision", c.Revision, "section", c.Section, "team", c.Team, "edit", c.EditID)
	return Result{Revision: c.Revision, Changed: true}, true, nil
}

// readBack resolves a write that got no answer: the record of the revision is this
// edit's, another edit's, or doesn't exist yet. In the last case the write may still
// arrive, so the next attempt creates the same key again.
func (e *Editor) readBack(ctx context.Context, a *pendingEdit, revision uint64) (Result, bool, error) {
	record, err := e.reader.readRecord(ctx, revision)
	if err != nil {
		return Result{}, false, nil
	}
	return e.resolveExisting(ctx, a, record)
}

// resolveExisting handles a revision that already exists, written by this edit or by
// another one.
func (e *Editor) resolveExisting(ctx context.Context, a *pendingEdit, record jkplatform.Record) (Result, bool, error) {
	c, err := decodeChange(record)
	if err != nil {
		return Result{}, true, err
	}
	if c.EditID == a.edit.ID {
		return e.applyWritten(c)
	}
	if err := e.options.Follower.applyRecords(ctx, []jkplatform.Record{record}); err != nil {
		a.lastErr = err
		return Result{}, false, nil
	}
	// More revisions may have been written. If reading them fails, the next write
	// finds its revision taken.
	if err := e.options.Follower.CatchUp(ctx); err != nil {
		a.lastErr = err
	}
	return Result{}, false, nil
}
