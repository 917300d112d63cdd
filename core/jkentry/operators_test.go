package jkentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkforward"
)

// Guards against an operators' view of the workspaces that isn't served, or is null without requests,
// which clients take for an error.
func TestOperatorsSeeWorkspaces(t *testing.T) {
	set := metrics.NewSet()
	e := &Entry{metrics: set, counts: jkforward.NewMetrics(set)}
	w := httptest.NewRecorder()
	e.operatorRoutes().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/workspaces", nil))
	want := `{"workspaces":[],"other":{"workspace":"other","requests":0,"reasons":{}}}`
	if got := strings.TrimSpace(w.Body.String()); w.Code != http.StatusOK || got != want {
		t.Errorf("status %d, body %s, want %s", w.Code, got, want)
	}
}
