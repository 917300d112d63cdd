package jkconfig

import "fmt"

// ConflictError is returned for an edit of a section that another edit has
// changed since the edit's base.
type ConflictError struct {
	Section Section
	// Base is the revision that the refused edit started from.
	Base uint64
	// Revision is the one that changed the section, made by Team.
	Revision uint64
	Team     string
	// Theirs is the section's present text, Yours the text of the refused edit.
	Theirs []byte
	Yours  []byte
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("section %s: revision %d by team %s changed it after base revision %d; merge both texts and edit again",
		e.Section, e.Revision, e.Team, e.Base)
}

// OwnerError is returned for an edit by a team that doesn't own the section.
type OwnerError struct {
	Section Section
	Team    string
	Owner   string
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("section %s: team %s can't edit it, it belongs to team %s", e.Section, e.Team, e.Owner)
}

// TooLargeError is returned for an edit whose record, or the document after it, would
// exceed the platform's size limit for a record. Sizes are in bytes after compression.
type TooLargeError struct {
	Section Section
	Size    int
	Limit   int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("section %s: the edit needs a record of %d bytes, the limit is %d; split it", e.Section, e.Size, e.Limit)
}

// UnavailableError is returned for an edit that this call certainly did not write,
// because the platform could not be reached in time or too many edits raced for the
// next revision. An earlier call with the same edit id may have written it.
type UnavailableError struct {
	EditID string
	Cause  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("edit %s was not written by this request, send it again later with the same edit id: %v", e.EditID, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError is returned for an edit whose write got no answer and whose outcome
// could not be read back. Edits are idempotent: sending it again with the same edit id
// and base never applies it twice.
type UncertainError struct {
	EditID string
	// Revision is the number that the edit has if it took effect.
	Revision uint64
	Cause    error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("edit %s may have taken effect as revision %d, send it again with the same edit id and base: %v",
		e.EditID, e.Revision, e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

// GapError is returned for a change that isn't the next revision after the newest
// known one.
type GapError struct {
	Have uint64
	Got  uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("revision %d doesn't follow revision %d, a whole document is needed", e.Got, e.Have)
}
