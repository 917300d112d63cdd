package jkstandin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jkchat"
)

// EngineAnswerTokens is the metadata key of a request that sets how many
// tokens the engine would answer without a limit.
const EngineAnswerTokens = "answer_tokens"

// engineAnswer is what the engine is going to say.
type engineAnswer struct {
	tokens []string // text of each content chunk
	call   *jkchat.ToolCall
	finish jkchat.FinishReason
}

// EnginePromptDigest returns the digest of a conversation that appears in the
// engine's answer to it.
func EnginePromptDigest(messages []jkchat.Message) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(engineRender(messages)))
}

// engineRender is the text that the modelled engine tokenizes. Appending a
// message to a conversation only appends to its text.
func engineRender(messages []jkchat.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(string(m.Role) + "\x00" + m.Content.String() + "\x00")
		for _, call := range m.ToolCalls {
			b.WriteString(call.Function.Name + "\x00" + call.Function.Arguments + "\x00")
		}
	}
	return b.String()
}

// EngineAnswer returns the text that an engine answers to a conversation of a
// program with n tokens. It starts with the program, the turn (the number of
// earlier answers) and the prompt digest; each further word depends on these
// and its position, so that foreign, missing or moved bytes show.
func EngineAnswer(program string, messages []jkchat.Message, n int) string {
	return strings.Join(engineWords(program, messages, n), "")
}

// EngineCheckAnswer reports how a text differs from the answer of an engine.
func EngineCheckAnswer(program string, messages []jkchat.Message, text string) error {
	// The first token ends at the bracket; the others have 4 bytes each.
	_, rest, found := strings.Cut(text, "] ")
	if !found {
		return fmt.Errorf("answer %.80q has no head", text)
	}
	want := EngineAnswer(program, messages, 1+len(rest)/engineBytesPerToken)
	if text == want {
		return nil
	}
	at := 0
	for at < len(text) && at < len(want) && text[at] == want[at] {
		at++
	}
	return fmt.Errorf("answer differs at byte %d: got %.40q, want %.40q", at, text[at:], want[at:])
}

func engineWords(program string, messages []jkchat.Message, n int) []string {
	turn := 0
	for _, m := range messages {
		if m.Role == jkchat.RoleAssistant {
			turn++
		}
	}
	head := fmt.Sprintf("[%s %d %s] ", program, turn, EnginePromptDigest(messages))
	words := make([]string, 0, n)
	for i := range n {
		if i == 0 {
			words = append(words, head)
			continue
		}
		sum := xxhash.Sum64String(head + strconv.Itoa(i))
		words = append(words, fmt.Sprintf("%03x ", sum&0xfff))
	}
	return words
}

// newEngineAnswer decides the answer to a request. A request with tools whose
// last message contains "[[call NAME]]" gets a call of that tool.
func newEngineAnswer(program string, r jkchat.Request) engineAnswer {
	if call := engineToolCall(program, r); call != nil {
		return engineAnswer{tokens: []string{""}, call: call, finish: jkchat.FinishToolCalls}
	}
	natural := 16 + int(xxhash.Sum64String(engineRender(r.Messages))%49)
	if n, err := strconv.Atoi(r.Metadata[EngineAnswerTokens]); err == nil && n > 0 {
		natural = n
	}
	finish := jkchat.FinishStop
	if limit := r.OutputLimit(); limit > 0 && limit < natural {
		natural, finish = limit, jkchat.FinishLength
	}
	return engineAnswer{tokens: engineWords(program, r.Messages, natural), finish: finish}
}

func engineToolCall(program string, r jkchat.Request) *jkchat.ToolCall {
	if r.Extra["tools"] == nil || len(r.Messages) == 0 {
		return nil
	}
	_, rest, found := strings.Cut(r.Messages[len(r.Messages)-1].Content.String(), "[[call ")
	name, _, closed := strings.Cut(rest, "]]")
	if !found || !closed {
		return nil
	}
	digest := EnginePromptDigest(r.Messages)
	arguments, err := json.Marshal(map[string]string{"program": program, "digest": digest})
	if err != nil {
		return nil // strings always marshal
	}
	return &jkchat.ToolCall{
		ID: "call_" + digest, Type: "function", Function: jkchat.Function{Name: name, Arguments: string(arguments)},
	}
}

// message returns the answer as a message of the conversation.
func (a engineAnswer) message() jkchat.Message {
	m := jkchat.Message{Role: jkchat.RoleAssistant}
	if a.call != nil {
		m.ToolCalls = []jkchat.ToolCall{*a.call}
		return m
	}
	m.Content = jkchat.Text(strings.Join(a.tokens, ""))
	return m
}
