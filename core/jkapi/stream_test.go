package jkapi

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkprogram"
)

// Guards against a stream that joins parts of two answers: if the recorded answer does
// not continue the text already sent, the stream must not look complete.
func TestStreamNeverJoinsTwoAnswers(t *testing.T) {
	for _, tc := range []struct {
		sent, recorded string
		complete       bool
	}{
		{"the first ", "the first answer", true},
		{"", "the first answer", true},
		{"the first ", "another answer, longer", false},
		{"the first answer", "the first", false},
	} {
		body, err := json.Marshal(jkchat.Completion{Choices: []jkchat.Choice{{
			Message: jkchat.Message{Role: jkchat.RoleAssistant, Content: jkchat.Text(tc.recorded)}, FinishReason: jkchat.FinishStop,
		}}})
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		s := &streamWriter{c: echo.New().NewContext(httptest.NewRequest("POST", "/", nil), w), now: time.Now}
		if tc.sent != "" {
			if err := s.writeText(tc.sent); err != nil {
				t.Fatal(err)
			}
		}
		_ = s.finish(jkmsg.CallResult{Outcome: jkprogram.OutcomeCompleted, Body: body, Token: "t"})
		if complete := strings.Contains(w.Body.String(), jkchat.Done); complete != tc.complete {
			t.Errorf("sent %q, recorded %q: stream looks complete: %t, want %t\n%s", tc.sent, tc.recorded, complete, tc.complete, w.Body)
		}
	}
}
