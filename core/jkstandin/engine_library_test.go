package jkstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"jasmineknot.example/core/jkchat"
)

// baseURLVariable is the environment variable with the base URL of a running daemon to
// test, for example http://127.0.0.1:8080/v1/. If it is unset, the tests run against
// the stand-in engine.
const baseURLVariable = "JASMINEKNOT_TEST_BASE_URL"

func libraryClient(t *testing.T) openai.Client {
	t.Helper()
	base := os.Getenv(baseURLVariable)
	if base == "" {
		base = "http://" + newEngineFixture(t).server.Address() + "/v1/"
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return openai.NewClient(
		option.WithBaseURL(base), option.WithAPIKey("none"), option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{Transport: transport}),
	)
}

func libraryRequest(texts ...string) (openai.ChatCompletionNewParams, []jkchat.Message) {
	params := openai.ChatCompletionNewParams{
		Model: "standin-model", MaxCompletionTokens: openai.Int(40), Temperature: openai.Float(0.5),
		Metadata: map[string]string{EngineAnswerTokensKey: "25"},
	}
	var messages []jkchat.Message
	for i, text := range texts {
		if i%2 == 0 {
			params.Messages = append(params.Messages, openai.UserMessage(text))
			messages = append(messages, jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text(text)})
			continue
		}
		params.Messages = append(params.Messages, openai.AssistantMessage(text))
		messages = append(messages, jkchat.Message{Role: jkchat.RoleAssistant, Content: jkchat.Text(text)})
	}
	return params, messages
}

// checkLibraryAnswer checks an answer. It takes the program from the answer itself,
// because a daemon may assign the conversation to any program.
func checkLibraryAnswer(t *testing.T, messages []jkchat.Message, text string) {
	t.Helper()
	head, _, _ := strings.Cut(strings.TrimPrefix(text, "["), " ")
	if err := CheckEngineAnswer(head, messages, text); err != nil || len(strings.Fields(text)) != 27 {
		t.Fatalf("got %q: %v", text, err)
	}
}

// Guards against completions that the OpenAI client library can't decode, over two
// turns of a conversation.
func TestLibraryCompletion(t *testing.T) {
	client := libraryClient(t)
	texts := []string{"a menu for 80 guests"}
	for range 2 {
		params, messages := libraryRequest(texts...)
		got, err := client.Chat.Completions.New(t.Context(), params)
		if err != nil {
			t.Fatal(err)
		}
		choice := got.Choices[0]
		checkLibraryAnswer(t, messages, choice.Message.Content)
		if choice.FinishReason != "stop" || got.Usage.CompletionTokens != 25 || got.Model != "standin-model" || got.ID == "" {
			t.Fatalf("got %+v", got)
		}
		texts = append(texts, choice.Message.Content, "without nuts")
	}
}

// Guards against streams that the OpenAI client library can't decode or regards as
// truncated.
func TestLibraryStream(t *testing.T) {
	client := libraryClient(t)
	params, messages := libraryRequest("a menu for 80 guests")
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	join := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !join.AddChunk(stream.Current()) {
			t.Fatalf("chunk does not fit: %s", stream.Current().RawJSON())
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	checkLibraryAnswer(t, messages, join.Choices[0].Message.Content)
	if join.Choices[0].FinishReason != "stop" || join.Usage.CompletionTokens != 25 {
		t.Fatalf("got %+v", join.ChatCompletion)
	}
}

// Guards against tool calls and errors that the OpenAI client library can't decode, and
// against a stream that goes on after the client cancelled it.
func TestLibraryToolErrorCancel(t *testing.T) {
	client := libraryClient(t)
	params, _ := libraryRequest("[[call book_table]]")
	params.Tools = []openai.ChatCompletionToolUnionParam{
		openai.ChatCompletionFunctionTool(openai.FunctionDefinitionParam{Name: "book_table"}),
	}
	got, err := client.Chat.Completions.New(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	call := got.Choices[0].Message.ToolCalls[0]
	if got.Choices[0].FinishReason != "tool_calls" || call.Function.Name != "book_table" || !json.Valid([]byte(call.Function.Arguments)) {
		t.Fatalf("got %+v", got)
	}
	params, _ = libraryRequest("hello")
	params.Model = "missing-model"
	if _, err := client.Chat.Completions.New(t.Context(), params); err == nil || !strings.Contains(err.Error(), "404") {
		t.Fatalf("got %v", err)
	}
	params, _ = libraryRequest("a long one")
	params.Metadata = map[string]string{EngineAnswerTokensKey: "100000"}
	params.MaxCompletionTokens = openai.Int(100_000)
	ctx, cancel := context.WithCancel(t.Context())
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	chunks := 0
	for stream.Next() {
		if chunks++; chunks == 3 {
			cancel()
		}
	}
	cancel()
	if chunks > 1000 || stream.Err() == nil {
		t.Fatal(fmt.Errorf("%d chunks after the cancel, error %w", chunks, stream.Err()))
	}
}
