package jkchat

import "strings"

// ToolCallDelta is a part of a tool call in a stream. Parts with the same index belong
// to the same call.
type ToolCallDelta struct {
	Index    int      `json:"index"`
	ID       string   `json:"id,omitempty"`
	Type     string   `json:"type,omitempty"`
	Function Function `json:"function"`
}

// Delta is the part of a message that one chunk adds.
type Delta struct {
	Role      Role            `json:"role,omitempty"`
	Content   string          `json:"content,omitempty"`
	ToolCalls []ToolCallDelta `json:"tool_calls,omitempty"`
}

// ChunkChoice is one alternative of a chunk. FinishReason is nil until the
// last chunk of the alternative.
type ChunkChoice struct {
	Index        int           `json:"index"`
	Delta        Delta         `json:"delta"`
	FinishReason *FinishReason `json:"finish_reason"`
}

// Chunk is one event of a streamed answer. Created is in Unix seconds.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// Assembler joins the chunks of a stream into one message. Only the first
// choice is used.
type Assembler struct {
	id           string
	model        string
	created      int64
	text         strings.Builder
	toolCalls    []ToolCall
	finishReason FinishReason
	usage        *Usage
}

// maxToolCalls bounds the tool calls of one answer, because the index in a
// stream comes from the engine.
const maxToolCalls = 256

// Add adds the next chunk of the stream.
func (a *Assembler) Add(c Chunk) error {
	if a.id == "" {
		a.id, a.model, a.created = c.ID, c.Model, c.Created
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.Index != 0 {
			continue
		}
		a.text.WriteString(choice.Delta.Content)
		for _, d := range choice.Delta.ToolCalls {
			if err := a.addToolCall(d); err != nil {
				return err
			}
		}
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			a.finishReason = *choice.FinishReason
		}
	}
	return nil
}

func (a *Assembler) addToolCall(d ToolCallDelta) error {
	if d.Index < 0 || d.Index >= maxToolCalls || d.Index > len(a.toolCalls) {
		return &FieldError{Field: "tool_calls.index", Value: d.Index, Allowed: "the next index, below 256"}
	}
	if d.Index == len(a.toolCalls) {
		a.toolCalls = append(a.toolCalls, ToolCall{Type: "function"})
	}
	call := &a.toolCalls[d.Index]
	if d.ID != "" {
		call.ID = d.ID
	}
	if d.Type != "" {
		call.Type = d.Type
	}
	call.Function.Name += d.Function.Name
	call.Function.Arguments += d.Function.Arguments
	return nil
}

// Finished reports whether a chunk with a finish reason arrived.
func (a *Assembler) Finished() bool { return a.finishReason != "" }

// FinishReason returns the finish reason, or "" before the stream has finished.
func (a *Assembler) FinishReason() FinishReason { return a.finishReason }

// Usage returns the usage record, or a zero one if none arrived.
func (a *Assembler) Usage() Usage {
	if a.usage == nil {
		return Usage{}
	}
	return *a.usage
}

// Message returns the message joined so far.
func (a *Assembler) Message() Message {
	m := Message{Role: RoleAssistant, ToolCalls: a.toolCalls}
	if a.text.Len() > 0 || len(a.toolCalls) == 0 {
		m.Content = Text(a.text.String())
	}
	return m
}

// Completion returns the complete answer in the format of a call that is not
// streamed.
func (a *Assembler) Completion() Completion {
	return Completion{
		ID: a.id, Object: ObjectCompletion, Created: a.created, Model: a.model,
		Choices: []Choice{{Message: a.Message(), FinishReason: a.finishReason}}, Usage: a.usage,
	}
}
