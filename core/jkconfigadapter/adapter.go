// Package jkconfigadapter connects the configuration of a daemon to its HTTP API: it
// implements the functions of jkconfigapi with a jkconfig.Follower and a
// jkconfig.Editor, and maps their errors to problems.
package jkconfigadapter

import (
	"context"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkconfigapi"
	"jasmineknot.example/core/jkplatform"
)

// NewFunctions returns the functions of the API, which read from a follower and write
// with an editor.
func NewFunctions(f *jkconfig.Follower, e *jkconfig.Editor) jkconfigapi.Functions {
	a := &adapter{follower: f, editor: e}
	return jkconfigapi.Functions{
		Document: a.document, History: a.history, Edit: a.edit, Validate: a.validate, Problem: Problem,
	}
}

type adapter struct {
	follower *jkconfig.Follower
	editor   *jkconfig.Editor
}

// newest returns the document in force. The empty document, revision 0, is returned
// only if the platform has been read and has no revision.
func (a *adapter) newest() (*jkconfig.Document, error) {
	if !a.follower.HasSynced() {
		cause := eris.New("neither the platform nor another host has been reached since the start")
		return nil, &jkplatform.UnavailableError{Operation: "configuration", Cause: cause}
	}
	return a.follower.Newest(), nil
}

func (a *adapter) document(ctx context.Context, revision uint64) (jkconfigapi.Document, error) {
	d, err := a.newest()
	if err != nil {
		return jkconfigapi.Document{}, err
	}
	if revision > 0 {
		if d, err = a.follower.DocumentAt(ctx, revision); err != nil {
			return jkconfigapi.Document{}, err
		}
	}
	answer := jkconfigapi.Document{Revision: d.Revision(), Sections: map[string]jkconfigapi.Section{}}
	for _, s := range jkconfig.Sections() {
		text, written := d.Text(s)
		answer.Sections[string(s)] = jkconfigapi.Section{Revision: written, Owner: d.Owner(s), Value: text}
	}
	return answer, nil
}

func (a *adapter) history(ctx context.Context, before uint64, limit int) (jkconfigapi.History, error) {
	if before == 0 {
		before = a.follower.Revision() + 1
	}
	changes, err := a.follower.History(ctx, before, limit)
	if err != nil {
		return jkconfigapi.History{}, err
	}
	h := jkconfigapi.History{Changes: []jkconfigapi.Change{}}
	for _, c := range changes {
		patch, err := c.MergePatch()
		if err != nil {
			return jkconfigapi.History{}, err
		}
		h.Changes = append(h.Changes, jkconfigapi.Change{
			Revision: c.Revision, EditID: c.EditID, Team: c.Team, Section: string(c.Section),
			BaseRevision: c.Base, At: c.At, Patch: patch,
		})
	}
	return h, nil
}

func (a *adapter) edit(ctx context.Context, edit jkconfigapi.Edit) (jkconfigapi.EditResult, error) {
	r, err := a.editor.Apply(ctx, jkconfig.Edit{
		ID: edit.EditID, Team: edit.Team, Section: jkconfig.Section(edit.Section),
		Base: *edit.BaseRevision, Value: edit.Value,
	})
	return jkconfigapi.EditResult{Revision: r.Revision, Changed: r.Changed}, err
}

func (a *adapter) validate(_ context.Context, v jkconfigapi.Validation) (jkconfigapi.ValidationResult, error) {
	d, err := a.newest()
	if err != nil {
		return jkconfigapi.ValidationResult{}, err
	}
	replace := map[jkconfig.Section][]byte{}
	for name, text := range v.Sections {
		replace[jkconfig.Section(name)] = text
	}
	if err := d.Validate(replace); err != nil {
		return jkconfigapi.ValidationResult{}, err
	}
	return jkconfigapi.ValidationResult{Valid: true, Revision: d.Revision()}, nil
}
