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
	// defaultBody bounds a request body in bytes: a section may have 8 MiB.
	defaultBody = 16 << 20
	// defaultChanges and maxChanges bound one page of the history.
	defaultChanges = 50
	maxChanges     = 500
)

// Functions are what the handlers do. Errors that are a *Problem are sent as
// they are; Problem maps all others.
type Functions struct {
	// Document returns a revision, or the newest one for 0.
	Document func(ctx context.Context, revision uint64) (Document, error)
	// History returns changes before a revision, the newest first; 0 starts at
	// the newest one.
	History func(ctx context.Context, before uint64, limit int) (History, error)
	// Edit writes an edit exactly once.
	Edit func(ctx context.Context, edit Edit) (EditResult, error)
	// Validate checks sections in place of the present ones.
	Validate func(ctx context.Context, v Validation) (ValidationResult, error)
	// Problem describes an error.
	Problem func(err error) *Problem
	// BodyLimit bounds a request body in bytes; 0 stands for 16 MiB.
	BodyLimit int64
}

// Register adds the handlers to a group, normally /v1/config.
func Register(g *echo.Group, f Functions) {
	if f.BodyLimit <= 0 {
		f.BodyLimit = defaultBody
	}
	g.GET(PathDocument, f.getDocument)
	g.GET(PathHistory, f.getHistory)
	g.POST(PathSection, f.postSection)
	g.POST(PathValidate, f.postValidate)
}

func (f Functions) getDocument(c echo.Context) error {
	revision, err := number(c, "revision", 0)
	if err != nil {
		return f.fail(c, err)
	}
	d, err := f.Document(c.Request().Context(), revision)
	if err != nil {
		return f.fail(c, err)
	}
	return c.JSON(http.StatusOK, d)
}

func (f Functions) getHistory(c echo.Context) error {
	before, err := number(c, "before", 0)
	if err != nil {
		return f.fail(c, err)
	}
	limit, err := number(c, "limit", defaultChanges)
	if err != nil {
		return f.fail(c, err)
	}
	if limit == 0 || limit > maxChanges {
		return f.fail(c, invalid("limit", strconv.FormatUint(limit, 10), "1 to 500"))
	}
	h, err := f.History(c.Request().Context(), before, int(limit))
	if err != nil {
		return f.fail(c, err)
	}
	return c.JSON(http.StatusOK, h)
}

func (f Functions) postSection(c echo.Context) error {
	var edit Edit
	if err := f.body(c, &edit); err != nil {
		return f.fail(c, err)
	}
	edit.Section = c.Param("section")
	if edit.BaseRevision == nil {
		return f.fail(c, invalid("base_revision", "", "the revision that the edit started from"))
	}
	if len(edit.Value) == 0 {
		return f.fail(c, invalid("value", "", "the new content of the section"))
	}
	r, err := f.Edit(c.Request().Context(), edit)
	if err != nil {
		return f.fail(c, err)
	}
	return c.JSON(http.StatusOK, r)
}

func (f Functions) postValidate(c echo.Context) error {
	var v Validation
	if err := f.body(c, &v); err != nil {
		return f.fail(c, err)
	}
	r, err := f.Validate(c.Request().Context(), v)
	if err != nil {
		return f.fail(c, err)
	}
	return c.JSON(http.StatusOK, r)
}

// body reads the request body, which must be one JSON object of known fields.
func (f Functions) body(c echo.Context, to any) error {
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
		return invalid("(body)", "", "a JSON object of known fields: "+err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalid("(body)", "", "nothing after the JSON object")
	}
	return nil
}

// fail sends a problem.
func (f Functions) fail(c echo.Context, err error) error {
	var p *Problem
	if !errors.As(err, &p) {
		p = f.Problem(err)
	}
	if p.RetryMillisecond > 0 {
		seconds := (p.RetryMillisecond + 999) / 1000
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return c.JSON(p.Status, p)
}

func number(c echo.Context, name string, otherwise uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalid(name, text, "a whole number")
	}
	return n, nil
}

// invalid is the problem of a request with one wrong field.
func invalid(field, value, allowed string) *Problem {
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
