// Package jkconfigapi is the operators' HTTP API of the configuration: its types and
// its handlers. The operations behind the handlers are function fields, so the package
// doesn't depend on how the configuration is stored; jkconfigadapter sets them.
package jkconfigapi

import (
	"encoding/json"
	"time"
)

// Paths of the API below its group, which is normally /v1/config.
const (
	PathDocument = ""
	PathHistory  = "/history"
	PathSection  = "/sections/:section"
	PathValidate = "/validate"
)

// Document is one revision with its sections.
type Document struct {
	Revision uint64             `json:"revision"`
	Sections map[string]Section `json:"sections"`
}

// Section is one section and the revision that wrote it.
type Section struct {
	Revision uint64          `json:"revision"`
	Owner    string          `json:"owner"`
	Value    json.RawMessage `json:"value"`
}

// Change is one accepted edit. Patch is a JSON merge patch (RFC 7396).
type Change struct {
	Revision     uint64          `json:"revision"`
	EditID       string          `json:"edit_id"`
	Team         string          `json:"team"`
	Section      string          `json:"section"`
	BaseRevision uint64          `json:"base_revision"`
	At           time.Time       `json:"at"`
	Patch        json.RawMessage `json:"patch,omitempty"`
}

// History is a list of changes, the newest first.
type History struct {
	Changes []Change `json:"changes"`
}

// Edit is a request to replace one section. EditID is its idempotency key: it stays the
// same when the edit is sent again.
type Edit struct {
	Section      string          `json:"-"`
	EditID       string          `json:"edit_id"`
	BaseRevision *uint64         `json:"base_revision"`
	Team         string          `json:"team"`
	Value        json.RawMessage `json:"value"`
}

// EditResult is the answer for an accepted edit. Changed is false if the section already
// had the content.
type EditResult struct {
	Revision uint64 `json:"revision"`
	Changed  bool   `json:"changed"`
}

// Validation is a request to check sections in place of the present ones, without an
// edit.
type Validation struct {
	Sections map[string]json.RawMessage `json:"sections"`
}

// ValidationResult is the answer for valid sections; invalid ones are answered with a
// problem.
type ValidationResult struct {
	Valid bool `json:"valid"`
	// Revision is the one that the sections were checked against.
	Revision uint64 `json:"revision"`
}

// Kind is the type of a problem.
type Kind string

// Kinds of problems.
const (
	KindInvalid     Kind = "invalid"
	KindConflict    Kind = "conflict"
	KindNotOwner    Kind = "not_owner"
	KindTooLarge    Kind = "too_large"
	KindNotFound    Kind = "not_found"
	KindUnavailable Kind = "unavailable"
	KindUncertain   Kind = "outcome_unknown"
	KindInternal    Kind = "internal"
)

// Outcome says whether a request took effect.
type Outcome string

// Outcomes of a request that failed.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "outcome_unknown"
	OutcomeFailed  Outcome = "failed"
)

// Field describes one wrong field of a request or a document.
type Field struct {
	Field   string `json:"field"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed"`
}

// Problem is the body of every answer with a status of 400 or more.
type Problem struct {
	Type    Kind    `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
	// Field is the first wrong field; Fields has all of them.
	Field  string  `json:"field,omitempty"`
	Fields []Field `json:"fields,omitempty"`
	// RetryAfterMillis is the wait before a retry; 0 if a retry doesn't help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Conflict is set for KindConflict.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict holds both texts of a section that two edits changed.
type Conflict struct {
	Section      string          `json:"section"`
	BaseRevision uint64          `json:"base_revision"`
	Revision     uint64          `json:"revision"`
	Team         string          `json:"team"`
	Theirs       json.RawMessage `json:"theirs"`
	Yours        json.RawMessage `json:"yours"`
}

func (p *Problem) Error() string { return p.Title + ": " + p.Detail }
