package jkforward

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jktimer"
)

// Guards against callers that keep their connections to a host which is out of rotation, and so never
// get to another one.
func TestHostOutOfRotationClosesConnections(t *testing.T) {
	out := false
	h := NewHandler(Options{
		Timer: jktimer.New(), Log: jklog.Discard(), Metrics: NewMetrics(metrics.NewSet()), Dialect: testDialect(),
		Rules: func() *jkruleset.Set { return nil }, Stop: NewHostStop(), OutOfRotation: func() bool { return out },
	})
	server := httptest.NewServer(h)
	defer server.Close()
	for _, out = range []bool{false, true, false} {
		resp, err := http.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.Close != out {
			t.Errorf("connection is closed: %t, out of rotation: %t", resp.Close, out)
		}
	}
}
