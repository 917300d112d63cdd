package jkstandin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jasmineknot.example/core/jktimer"
)

// Guards against a POST /faults that resets faults it doesn't contain, and against
// injected faults and rate limits that also apply to POST /faults and GET /counts.
func TestPlatformFaultsByRequest(t *testing.T) {
	timer, _ := jktimer.NewManual(time.Unix(1000, 0))
	p := NewPlatform(timer, PlatformLimits{Reads: 1})
	send := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	send("POST", "/faults", `{"host_list_lag_ms": 70}`)
	send("POST", "/faults", `{"down": true, "lose_answers": 2}`)
	if f := p.Faults(); !f.Down || f.LoseAnswers != 2 || f.HostListLagMS != 70 {
		t.Fatalf("faults: %+v", f)
	}
	if w := send("POST", "/faults", `{"down": 7}`); w.Code != http.StatusBadRequest || !p.Faults().Down {
		t.Fatalf("wrong switch: %d", w.Code)
	}
	if w := send("GET", "/v1/record?key=a", ""); w.Code != http.StatusServiceUnavailable {
		t.Fatalf("down: %d", w.Code)
	}
	send("POST", "/faults", `{"down": false}`)
	for _, want := range []int{http.StatusNotFound, http.StatusTooManyRequests} {
		if w := send("GET", "/v1/record?key=a", ""); w.Code != want {
			t.Fatalf("status %d, want %d", w.Code, want)
		}
	}
	var counts PlatformCounts
	if err := json.Unmarshal(send("GET", "/counts", "").Body.Bytes(), &counts); err != nil {
		t.Fatal(err)
	}
	if counts.Reads != 3 || counts.Limited != 1 {
		t.Fatalf("counts: %+v", counts)
	}
}
