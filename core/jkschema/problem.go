// Package jkschema validates JSON documents against an embedded JSON schema and reports
// all wrong fields at once, each with its path, its value and what is allowed there. It
// also generates the reference tables of a schema.
package jkschema

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// FieldError describes one wrong field.
type FieldError struct {
	// Field is the path from the root, for example peers[0].address.
	Field string `json:"field"`
	// Value is the JSON text found there, truncated; secrets are masked.
	Value string `json:"value"`
	// Allowed describes the accepted values.
	Allowed string `json:"allowed"`
}

func (e *FieldError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s: want %s", e.Field, e.Allowed)
	}
	return fmt.Sprintf("%s: %s is not allowed: want %s", e.Field, e.Value, e.Allowed)
}

// ReportError holds all wrong fields of one document. errors.As with a *FieldError finds
// the first one.
type ReportError struct {
	Subject  string
	Problems []FieldError
}

func (e *ReportError) Error() string {
	lines := []string{fmt.Sprintf("%s: %d wrong fields", e.Subject, len(e.Problems))}
	if len(e.Problems) == 1 {
		lines[0] = e.Subject + ": 1 wrong field"
	}
	for i := range e.Problems {
		lines = append(lines, "  "+e.Problems[i].Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems as errors.
func (e *ReportError) Unwrap() []error {
	all := make([]error, len(e.Problems))
	for i := range e.Problems {
		all[i] = &e.Problems[i]
	}
	return all
}

// Report returns a *ReportError with the problems sorted by field, or nil if there are
// none.
func Report(subject string, problems []FieldError) error {
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Field < problems[j].Field })
	return &ReportError{Subject: subject, Problems: problems}
}

// Duration is a time.Duration that is encoded as a Go duration string.
type Duration time.Duration

// UnmarshalText reads a Go duration string.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrapf(err, "duration %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the Go duration string.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
