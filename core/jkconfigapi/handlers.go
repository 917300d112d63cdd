package jkconfigapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
)

const (
	// DefaultBodyLimit bounds a request body in bytes. One section may have 8 MiB.
	DefaultBodyLimit = 16 << 20
	// defaultHistoryLimit and maxHistoryLimit are the number of changes in one
	// page of the history, if the request doesn't set it and at most.
	defaultHistoryLimit = 50
	maxHistoryLimit     = 500
)

// Functions are the operations behind the handlers. An error that is a *Problem is sent
// as it is; the function Problem maps all others.
type Functions struct {
	// Document returns the document of a revision, or the newest one for 0.
	Document func(ctx context.Context, revision uint64) (Document, error)
	// History returns up to limit changes before a revision, the newest first; 0
	// starts at the newest change.
	History func(ctx context.Context, before uint64, limit int) (History, error)
	// Edit writes an edit exactly once.
	Edit func(ctx context.Context, edit Edit) (EditResult, error)
	// Validate checks the document with some sections replaced, without an edit.
	Validate func(ctx context.Context, v Validation) (ValidationResult, error)
	// Problem maps an error to the problem that is sent.
	Problem func(err error) *Problem
	// BodyLimit bounds a request body in bytes; 0 stands for 16 MiB.
	BodyLimit int64
}

// Register adds the handlers to a group, normally /v1/config.
func Register(g *echo.Group, f Functions) {
	if f.BodyLimit <= 0 {
		f.BodyLimit = DefaultBodyLimit
	}
	g.GET(PathDocument, f.getDocument)
	g.GET(PathHistory, f.getHistory)
	g.POST(PathSection, f.postSection)
	g.POST(PathValidate, f.postValidate)
}

func (f Functions) getDocument(c echo.Context) error {
	revision, err := uintParam(c, "revision", 0)
	if err != nil {
		return f.sendProblem(c, err)
	}
	d, err := f.Document(c.Request().Context(), revision)
	if err != nil {
		return f.sendProblem(c, err)
	}
	return c.JSON(http.StatusOK, d)
}

func (f Functions) getHistory(c echo.Context) error {
	before, err := uintParam(c, "before", 0)
	if err != nil {
		return f.sendProblem(c, err)
	}
	limit, err := uintParam(c, "limit", defaultHistoryLimit)
	if err != nil {
		return f.sendProblem(c, err)
	}
	if limit == 0 || limit > maxHistoryLimit {
		return f.sendProblem(c, invalidField("limit", strconv.FormatUint(limit, 10), "1 to 500"))
	}
	h, err := f.History(c.Request().Context(), before, int(limit))
	if err != nil {
		return f.sendProblem(c, err)
	}
	return c.JSON(http.StatusOK, h)
}

func (f Functions) postSection(c echo.Context) error {
	var edit Edit
	if err := f.decodeBody(c, &edit); err != nil {
		return f.sendProblem(c, err)
	}
	edit.Section = c.Param("section")
	if edit.BaseRevision == nil {
		return f.sendProblem(c, invalidField("base_revision", "", "the revision that the edit started from"))
	}
	if len(edit.Value) == 0 {
		return f.sendProblem(c, invalidField("value", "", "the new content of the section"))
	}
	r, err := f.Edit(c.Request().Context(), edit)
	if err != nil {
		return f.sendProblem(c, err)
	}
	return c.JSON(http.StatusOK, r)
}

func (f Functions) postValidate(c echo.Context) error {
	var v Validation
	if err := f.decodeBody(c, &v); err != nil {
		return f.sendProblem(c, err)
	}
	r, err := f.Validate(c.Request().Context(), v)
	if err != nil {
		return f.sendProblem(c, err)
	}
	return c.JSON(http.StatusOK, r)
}

// decodeBody decodes the request body, which must be one JSON object of known fields.
func (f Functions) decodeBody(c echo.Context, to any) error {
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, f.BodyLimit)
	d := json.NewDecoder(limited)
	d.DisallowUnknownFields()
	err := d.Decode(to)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Problem{
			Type: KindTooLarge, Title: "request is too large", Status: http.StatusRequestEntityTooLarge,
			Detail:  "a request body has at most " + strconv.FormatInt(f.BodyLimit, 10) + " bytes",
			Outcome: OutcomeNotRun,
		}
	}
	if err != nil {
		return invalidField("(body)", "", "a JSON object of known fields: "+err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalidField("(body)", "", "nothing after the JSON object")
	}
	return nil
}

// sendProblem answers with the problem of an error.
func (f Functions) sendProblem(c echo.Context, err error) error {
	var p *Problem
	if !errors.As(err, &p) {
		p = f.Problem(err)
	}
	if p.RetryAfterMillis > 0 {
		seconds := (p.RetryAfterMillis + 999) / 1000
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return c.JSON(p.Status, p)
}

// uintParam returns a query parameter as a number, or fallback if it is missing.
func uintParam(c echo.Context, name string, fallback uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidField(name, text, "a whole number")
	}
	return n, nil
}

// invalidField returns the problem of a request with one wrong field.
func invalidField(field, value, allowed string) *Problem {
	detail := field + ": want " + allowed
	if value != "" {
		detail = field + ": " + value + " is not allowed: want " + allowed
	}
	return &Problem{
		Type: KindInvalid, Title: "request is invalid", Status: http.StatusBadRequest,
		Detail: detail, Outcome: OutcomeNotRun, Field: field,
		Fields: []Field{{Field: field, Value: value, Allowed: allowed}},
	}
}
