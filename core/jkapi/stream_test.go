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

// Guards against a stream that joins pieces of two answers: when the recorded
// answer does not continue the text already sent, the stream must not look whole.
func TestStreamNeverJoinsTwoAnswers(t *testing.T) {
	for _, tc := range []struct {
		sent, recorded string
		whole          bool
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
		s := &streamer{c: echo.New().NewContext(httptest.NewRequest("POST", "/", nil), w), now: time.Now}
		if tc.sent != "" {
			if err := s.write(tc.sent); err != nil {
				t.Fatal(err)
			}
		}
		_ = s.end(jkmsg.CallResult{Outcome: jkprogram.OutcomeCompleted, Body: body, Token: "t"})
		if whole := strings.Contains(w.Body.String(), jkchat.Done); whole != tc.whole {
			t.Errorf("sent %q, recorded %q: stream looks whole: %t, want %t\n%s", tc.sent, tc.recorded, whole, tc.whole, w.Body)
		}
	}
}
