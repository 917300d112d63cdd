package jkforward

import (
	"net/http"
	"testing"
	"time"

	"jasmineknot.example/core/jkruleset"
)

// Guards against a stream that was given up at its only endpoint, and is aborted because that endpoint begins to leave and
// limits the rate of requests (LOST).
func TestStreamThatWasGivenUpGoesOnAtALeavingEndpointWithALimit(t *testing.T) {
	for _, how := range []string{"leaving", "removed"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			const perSecond = 3
			dialect := testDialect()
			decode := dialect.DecodeResponse
			dialect.DecodeResponse = func(h http.Header) ResponseInfo {
				out := decode(h)
				out.Limit = ParsedLimit(perSecond)
				return out
			}
			f := newDialectFixture(t, dialect, jkruleset.KindStream, true, 1)
			newLeavingEndpoint(t, f, how, 400*time.Millisecond)
			wantWholeStream(t, f)
		})
	}
}
