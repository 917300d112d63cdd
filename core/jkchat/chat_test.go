package jkchat

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against fields that are lost or changed when a request is forwarded.
func TestRequestKeepsUnknownFields(t *testing.T) {
	in := `{"model":"m","Model":"other","messages":[{"role":"user","content":[{"type":"text","text":"hi"}],"cache":{"a":1}},` +
		`{"role":"assistant","content":null,"tool_calls":[{"id":"t1","type":"function","function":{"name":"f","arguments":"{}"}}]}],` +
		`"temperature":0.10,"seed":12345678901234567890}`
	r, err := ParseRequest([]byte(in), DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	if r.Model != "m" || r.Messages[0].Content.String() != "hi" {
		t.Fatalf("got %+v", r)
	}
	out, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	for _, kept := range []string{`"Model":"other"`, `"cache":{"a":1}`, `"temperature":0.10`, `"seed":12345678901234567890`, `"content":null`} {
		if !bytes.Contains(out, []byte(kept)) {
			t.Errorf("%s is missing in %s", kept, out)
		}
	}
}

// Guards against invalid requests that pass, or whose error names no field.
func TestParseRequestLimits(t *testing.T) {
	limits := Limits{Bytes: 200, Messages: 1, OutputTokens: 10, MetadataKeys: 1, ExtraFields: 1}
	for body, field := range map[string]string{
		`[]`: "body", `{"messages":[]}`: "model", `{"model":"m","messages":[]}`: "messages", `{"model":1}`: "model",
		`{"model":"m","messages":[{"role":"x","content":""}]}`:                      "messages[0].role",
		`{"model":"m","messages":[{"role":"user","content":7}]}`:                    "messages[0].content",
		`{"model":"m","messages":[{"role":"tool","content":""}]}`:                   "messages[0].tool_call_id",
		`{"model":"m","max_tokens":11,"messages":[{"role":"user","content":""}]}`:   "max_tokens",
		`{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":""}]}`:   "max_tokens",
		`{"model":"m","a":1,"b":2,"messages":[{"role":"user","content":""}]}`:       "extra fields",
		`{"model":"m","messages":[{"role":"user","content":""},{"role":"user"}]}`:   "messages",
		`{"model":"` + strings.Repeat("m", 200) + `","messages":[{"role":"user"}]}`: "body",
	} {
		_, err := ParseRequest([]byte(body), limits)
		var got *FieldError
		if !errors.As(err, &got) || got.Field != field {
			t.Errorf("%s: got %v, want an error of %s", body, err, field)
		}
	}
}

// Guards against events that change in transit, for any text and any split of the
// reads.
func TestEventsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z:\n ]{0,12}`)
		var wire bytes.Buffer
		w := NewEventWriter(&wire, nil)
		var want []Event
		for range rapid.IntRange(0, 5).Draw(t, "events") {
			e := Event{Name: rapid.StringMatching(`[a-z]{0,3}`).Draw(t, "name"), Data: []byte(text.Draw(t, "data"))}
			if err := w.Write(e); err != nil {
				t.Fatal(err)
			}
			want = append(want, e)
		}
		cut := rapid.IntRange(0, wire.Len()).Draw(t, "cut")
		r := NewEventReader(io.MultiReader(bytes.NewReader(wire.Bytes()[:cut]), bytes.NewReader(wire.Bytes()[cut:])), 1000)
		for i, e := range want {
			got, err := r.Next()
			if err != nil || got.Name != e.Name || !bytes.Equal(got.Data, e.Data) {
				t.Fatalf("event %d: got %+v, %v, want %+v", i, got, err, e)
			}
		}
		if _, err := r.Next(); !errors.Is(err, io.EOF) {
			t.Fatalf("got %v at the end", err)
		}
	})
}

// Guards against an endless event that fills the memory, and against a truncated event
// that counts as complete.
func TestEventReaderRefuses(t *testing.T) {
	for text, want := range map[string]error{
		"data: " + strings.Repeat("x", 100): ErrEventTooLarge,
		strings.Repeat("data: x\n", 20):     ErrEventTooLarge,
		"data: x\n":                         io.ErrUnexpectedEOF,
		"data: x":                           io.ErrUnexpectedEOF,
		"data: x\r\n\r\n":                   nil,
	} {
		if _, err := NewEventReader(strings.NewReader(text), 60).Next(); !errors.Is(err, want) {
			t.Errorf("%.20q: got %v, want %v", text, err, want)
		}
	}
}
