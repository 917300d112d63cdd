package jkconfigapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
)

// Guards against requests that are passed on although a field is missing, wrong
// or unknown, and against problems without an outcome.
func TestWrongRequests(t *testing.T) {
	router := echo.New()
	Register(router.Group("/v1/config"), Functions{
		Document: func(context.Context, uint64) (Document, error) { return Document{}, errors.New("down") },
		Problem: func(err error) *Problem {
			return &Problem{Type: KindUnavailable, Status: http.StatusServiceUnavailable, Detail: err.Error(), Outcome: OutcomeNotRun, RetryAfterMillis: 1500}
		},
		BodyLimit: 200,
	})
	for _, c := range []struct {
		method, path, body string
		status             int
		field              string
	}{
		{"POST", "/sections/menus", `{"edit_id":"e","team":"t","value":{}}`, 400, "base_revision"},
		{"POST", "/sections/menus", `{"edit_id":"e","team":"t","base_revision":1}`, 400, "value"},
		{"POST", "/sections/menus", `{"edit":"e"}`, 400, "(body)"},
		{"POST", "/sections/menus", `{"base_revision":-1}`, 400, "(body)"},
		{"POST", "/sections/menus", `{} {}`, 400, "(body)"},
		{"POST", "/validate", `[`, 400, "(body)"},
		{"POST", "/validate", `{"sections":{"menus":"` + strings.Repeat("x", 300) + `"}}`, 413, ""},
		{"GET", "?revision=new", "", 400, "revision"},
		{"GET", "/history?limit=501", "", 400, "limit"},
		{"GET", "/history?before=-2", "", 400, "before"},
		{"GET", "", "", 503, ""},
	} {
		w := httptest.NewRecorder()
		router.ServeHTTP(w, httptest.NewRequest(c.method, "/v1/config"+c.path, strings.NewReader(c.body)))
		var p Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			t.Fatalf("%s %s: %v", c.method, c.path, err)
		}
		if w.Code != c.status || p.Status != c.status || p.Field != c.field || p.Outcome != OutcomeNotRun {
			t.Errorf("%s %s %s: %d %+v", c.method, c.path, c.body, w.Code, p)
		}
		if c.status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") != "2" {
			t.Errorf("Retry-After is %q", w.Header().Get("Retry-After"))
		}
	}
}
