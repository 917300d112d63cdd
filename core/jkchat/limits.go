package jkchat

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Limits bound a request. They are checked before anything else is done with it.
type Limits struct {
	Bytes        int // whole body
	Messages     int
	OutputTokens int
	MetadataKeys int
	ExtraFields  int
}

// DefaultLimits returns limits that fit a history of 110,000 tokens at about 4 bytes
// each with room for tool results and encoding, and stay below a frame of 8 MiB.
func DefaultLimits() Limits {
	return Limits{Bytes: 4 << 20, Messages: 4096, OutputTokens: 1 << 17, MetadataKeys: 16, ExtraFields: 64}
}

// ParseRequest decodes and checks a request. An invalid request yields a
// *FieldError.
func ParseRequest(body []byte, limits Limits) (Request, error) {
	if len(body) > limits.Bytes {
		return Request{}, &FieldError{
			Field: "body", Value: fmt.Sprintf("%d bytes", len(body)),
			Allowed: fmt.Sprintf("at most %d bytes", limits.Bytes),
		}
	}
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		var field *FieldError
		if errors.As(err, &field) {
			return Request{}, field
		}
		return Request{}, &FieldError{Field: "body", Value: err.Error(), Allowed: "a JSON object"}
	}
	if err := r.check(limits); err != nil {
		return Request{}, err
	}
	return r, nil
}

func (r Request) check(limits Limits) error {
	if r.Model == "" {
		return &FieldError{Field: "model", Value: `""`, Allowed: "a model name"}
	}
	sizes := []struct {
		field     string
		size      int
		low, high int
	}{
		{"messages", len(r.Messages), 1, limits.Messages},
		{"max_tokens", r.MaxTokens, 0, limits.OutputTokens},
		{"max_completion_tokens", r.MaxCompletionTokens, 0, limits.OutputTokens},
		{"metadata", len(r.Metadata), 0, limits.MetadataKeys},
		{"extra fields", len(r.Extra), 0, limits.ExtraFields},
	}
	for _, s := range sizes {
		if s.size < s.low || s.size > s.high {
			return &FieldError{Field: s.field, Value: s.size, Allowed: fmt.Sprintf("%d to %d", s.low, s.high)}
		}
	}
	for i, m := range r.Messages {
		if err := m.check(); err != nil {
			err.Field = fmt.Sprintf("messages[%d].%s", i, err.Field)
			return err
		}
	}
	return nil
}

func (m Message) check() *FieldError {
	switch m.Role {
	case RoleSystem, RoleDeveloper, RoleUser, RoleAssistant, RoleTool:
	default:
		return &FieldError{Field: "role", Value: m.Role, Allowed: "system, developer, user, assistant, tool"}
	}
	if len(m.Content) > 0 && m.Content[0] != '"' && m.Content[0] != '[' {
		return &FieldError{Field: "content", Value: truncate(m.Content), Allowed: "a string, a list of parts or null"}
	}
	if m.Role == RoleTool && m.ToolCallID == "" {
		return &FieldError{Field: "tool_call_id", Value: `""`, Allowed: "the id of the answered tool call"}
	}
	if len(m.ToolCalls) > maxToolCalls {
		return &FieldError{Field: "tool_calls", Value: len(m.ToolCalls), Allowed: "0 to 256"}
	}
	return nil
}
