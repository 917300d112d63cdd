package jksite

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
)

// Guards against a daemon that the OpenAI client library can't use. A conversation of
// four turns, every other one streamed, alternates between two hosts without tokens: the
// program is identified by a header only, and the messages that the library resends
// replace the token.
func TestClientLibrary(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	options := jkstandin.DefaultEngineOptions()
	options.TimeScale = 0.01
	site, err := StartEmbedded(ctx, EmbeddedOptions{
		Zones: []string{"a", "b"}, HostsPerZone: 1, Engine: options,
		Folder: func(string) string { return memoryFolder(t) },
		Log:    jklog.New(os.Stderr, time.Now).Allow("warn"),
	})
	defer site.Stop(ctx)
	if err != nil {
		t.Fatal(err)
	}
	created := send(t, "POST", "http://"+site.Daemons[0].HTTP()+"/v1/programs", nil, map[string]string{"workspace": "w", "template": Template})
	program := created.header.Get("X-Program-Id")
	params := openai.ChatCompletionNewParams{Model: Model, MaxCompletionTokens: openai.Int(12)}
	var messages []jkchat.Message
	for turn := range 4 {
		client := openai.NewClient(
			option.WithBaseURL("http://"+site.Daemons[turn%2].HTTP()+"/v1/"), option.WithAPIKey("none"),
			option.WithMaxRetries(0), option.WithHeader("X-Program-Id", program),
		)
		params.Messages = append(params.Messages, openai.UserMessage("step"))
		messages = append(messages, jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text("step")})
		text := complete(ctx, t, client, params, turn%2 == 1)
		if err := jkstandin.CheckEngineAnswer(program, messages, text); err != nil {
			t.Fatalf("turn %d: %v", turn, err)
		}
		params.Messages = append(params.Messages, openai.AssistantMessage(text))
		messages = append(messages, jkchat.Message{Role: jkchat.RoleAssistant, Content: jkchat.Text(text)})
	}
}

// complete requests one completion, streamed or not, and returns its text.
func complete(ctx context.Context, t *testing.T, client openai.Client, params openai.ChatCompletionNewParams, stream bool) string {
	t.Helper()
	if !stream {
		got, err := client.Chat.Completions.New(ctx, params)
		if err != nil {
			t.Fatal(err)
		}
		return got.Choices[0].Message.Content
	}
	var text strings.Builder
	events := client.Chat.Completions.NewStreaming(ctx, params)
	for events.Next() {
		if choices := events.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
	}
	if err := events.Err(); err != nil {
		t.Fatal(err)
	}
	return text.String()
}
