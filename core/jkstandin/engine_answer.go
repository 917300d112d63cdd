package jkstandin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jkchat"
)

// EngineAnswerTokensKey is the metadata key of a request that sets the length of the
// answer in tokens. The output limit of the request still applies.
const EngineAnswerTokensKey = "answer_tokens"

// engineAnswer is the complete answer to a request, determined before generation.
type engineAnswer struct {
	tokens       []string // text of each content chunk
	toolCall     *jkchat.ToolCall
	finishReason jkchat.FinishReason
}

// EnginePromptDigest returns the digest of a conversation, which the engine's answer
// to it contains.
func EnginePromptDigest(messages []jkchat.Message) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(engineConversationText(messages)))
}

// engineConversationText returns the text that the simulated engine tokenizes.
// Appending a message to a conversation only appends to its text.
func engineConversationText(messages []jkchat.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(string(m.Role) + "\x00" + m.Content.String() + "\x00")
		for _, call := range m.ToolCalls {
			b.WriteString(call.Function.Name + "\x00" + call.Function.Arguments + "\x00")
		}
	}
	return b.String()
}

// EngineAnswer returns the engine's answer of n tokens to a conversation of a
// program. It starts with the program, the turn (the number of earlier answers) and
// the prompt digest; each further word depends on these and on its position, so that
// a check detects bytes of another answer and missing or reordered bytes.
func EngineAnswer(program string, messages []jkchat.Message, n int) string {
	return strings.Join(engineAnswerWords(program, messages, n), "")
}

// CheckEngineAnswer returns an error that gives the first difference between a text
// and the engine's answer to the conversation, or nil.
func CheckEngineAnswer(program string, messages []jkchat.Message, text string) error {
	// The first token ends with "] "; the others have 4 bytes each.
	_, rest, found := strings.Cut(text, "] ")
	if !found {
		return fmt.Errorf("answer %.80q has no header \"[program turn digest] \"", text)
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

func engineAnswerWords(program string, messages []jkchat.Message, n int) []string {
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

// newEngineAnswer determines the answer to a request. A request with tools whose last
// message contains "[[call NAME]]" is answered with a call of that tool.
func newEngineAnswer(program string, r jkchat.Request) engineAnswer {
	if call := engineToolCall(program, r); call != nil {
		return engineAnswer{tokens: []string{""}, toolCall: call, finishReason: jkchat.FinishToolCalls}
	}
	length := 16 + int(xxhash.Sum64String(engineConversationText(r.Messages))%49)
	if n, err := strconv.Atoi(r.Metadata[EngineAnswerTokensKey]); err == nil && n > 0 {
		length = n
	}
	finish := jkchat.FinishStop
	if limit := r.OutputLimit(); limit > 0 && limit < length {
		length, finish = limit, jkchat.FinishLength
	}
	return engineAnswer{tokens: engineAnswerWords(program, r.Messages, length), finishReason: finish}
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
		return nil // can't happen: strings can always be encoded
	}
	return &jkchat.ToolCall{
		ID: "call_" + digest, Type: "function", Function: jkchat.Function{Name: name, Arguments: string(arguments)},
	}
}

// message returns the answer as an assistant message.
func (a engineAnswer) message() jkchat.Message {
	m := jkchat.Message{Role: jkchat.RoleAssistant}
	if a.toolCall != nil {
		m.ToolCalls = []jkchat.ToolCall{*a.toolCall}
		return m
	}
	m.Content = jkchat.Text(strings.Join(a.tokens, ""))
	return m
}
