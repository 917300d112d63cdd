// Package jkchat holds the chat-completions wire types that callers, daemons and model
// engines exchange, and the server-sent-event framing of streams. It checks the form of
// a request, but neither runs nor forwards it.
package jkchat

import (
	"encoding/json"
	"strings"
)

// Role is the author of a message.
type Role string

// Roles of the chat-completions format.
const (
	RoleSystem    Role = "system"
	RoleDeveloper Role = "developer"
	RoleUser      Role = "user"
	RoleAssistant Role = "assistant"
	RoleTool      Role = "tool"
)

// FinishReason says why an engine ended an answer.
type FinishReason string

// Finish reasons of the chat-completions format.
const (
	FinishStop      FinishReason = "stop"
	FinishLength    FinishReason = "length"
	FinishToolCalls FinishReason = "tool_calls"
	FinishFilter    FinishReason = "content_filter"
)

// Objects of the chat-completions format.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// Content is the raw JSON of a message's content: a string, a list of parts,
// or null. It is stored byte for byte so that a digest over it is stable.
type Content []byte

// Text returns content that is a JSON string.
func Text(s string) Content {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil // a Go string always marshals
	}
	return raw
}

// MarshalJSON returns the raw JSON, or null for empty content.
func (c Content) MarshalJSON() ([]byte, error) {
	if len(c) == 0 {
		return []byte("null"), nil
	}
	return c, nil
}

// UnmarshalJSON stores the raw JSON; null becomes empty content.
func (c *Content) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		*c = nil
		return nil
	}
	*c = append((*c)[:0:0], data...)
	return nil
}

// String returns the text of the content. Parts of other types than text
// are skipped.
func (c Content) String() string {
	var s string
	if json.Unmarshal(c, &s) == nil {
		return s
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(c, &parts) != nil {
		return ""
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type == "text" {
			b.WriteString(p.Text)
		}
	}
	return b.String()
}

// Function names a tool function and its arguments, which are a JSON text.
type Function struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// ToolCall is a request of the model to call a tool.
type ToolCall struct {
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function Function `json:"function"`
}

// Message is one entry of a conversation. Extra holds fields that are not listed here,
// so that forwarding a message does not lose them.
type Message struct {
	Role       Role                       `json:"role"`
	Content    Content                    `json:"content"`
	Name       string                     `json:"name,omitempty"`
	ToolCalls  []ToolCall                 `json:"tool_calls,omitempty"`
	ToolCallID string                     `json:"tool_call_id,omitempty"`
	Extra      map[string]json.RawMessage `json:"-"`
}

// plainMessage is a Message without its own JSON methods.
type plainMessage Message

// MarshalJSON writes the known fields followed by the extra ones.
func (m Message) MarshalJSON() ([]byte, error) { return joinFields(plainMessage(m), m.Extra) }

// UnmarshalJSON reads the known fields and stores the others in Extra.
func (m *Message) UnmarshalJSON(data []byte) error {
	*m = Message{}
	extra, err := splitFields(data, map[string]any{
		"role": &m.Role, "content": &m.Content, "name": &m.Name,
		"tool_calls": &m.ToolCalls, "tool_call_id": &m.ToolCallID,
	})
	m.Extra = extra
	return err
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Request is the body of a chat-completions call. Extra holds every field that is not
// listed here; these fields are forwarded unchanged.
type Request struct {
	Model               string                     `json:"model"`
	Messages            []Message                  `json:"messages"`
	Stream              bool                       `json:"stream,omitempty"`
	StreamOptions       *StreamOptions             `json:"stream_options,omitempty"`
	MaxTokens           int                        `json:"max_tokens,omitempty"`
	MaxCompletionTokens int                        `json:"max_completion_tokens,omitempty"`
	Metadata            map[string]string          `json:"metadata,omitempty"`
	Extra               map[string]json.RawMessage `json:"-"`
}

// plainRequest is a Request without its own JSON methods.
type plainRequest Request

// MarshalJSON writes the known fields followed by the extra ones.
func (r Request) MarshalJSON() ([]byte, error) { return joinFields(plainRequest(r), r.Extra) }

// UnmarshalJSON reads the known fields and stores the others in Extra.
func (r *Request) UnmarshalJSON(data []byte) error {
	*r = Request{}
	extra, err := splitFields(data, map[string]any{
		"model": &r.Model, "messages": &r.Messages, "stream": &r.Stream,
		"stream_options": &r.StreamOptions, "max_tokens": &r.MaxTokens,
		"max_completion_tokens": &r.MaxCompletionTokens, "metadata": &r.Metadata,
	})
	r.Extra = extra
	return err
}

// OutputLimit returns the largest number of tokens the answer may have, or 0
// if the request does not limit it.
func (r Request) OutputLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// PromptDetails splits the prompt tokens of a usage record.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Usage counts the tokens of a call.
type Usage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	PromptDetails    *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// Cached returns the prompt tokens that the engine's cache held.
func (u Usage) Cached() int {
	if u.PromptDetails == nil {
		return 0
	}
	return u.PromptDetails.CachedTokens
}

// Choice is one alternative of a complete answer.
type Choice struct {
	Index        int          `json:"index"`
	Message      Message      `json:"message"`
	FinishReason FinishReason `json:"finish_reason"`
}

// Completion is a complete answer. Created is in Unix seconds.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}
