package jkstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Guards against a simulated engine that lacks the properties that the scheduler has
// to handle: steps that take longer with a larger batch, prefill of uncached tokens,
// eviction, delayed and dropped cache events, delayed load reports, priorities and
// fencing tokens.
func TestEngineScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/engine", func(t *testing.T, path string) {
		timer, clock := jktimer.NewManual(time.Unix(1_800_000_000, 0))
		options := DefaultEngineOptions()
		options.MaxBatch, options.CacheTokens, options.CacheEventGap = 2, 20*engineBlockTokens, 3
		s := &engineScript{engine: NewEngine(options, timer, jklog.Discard()), clock: clock, sequences: map[string]*engineSequence{}}
		datadriven.RunTest(t, path, s.run)
	})
}

type engineScript struct {
	engine    *Engine
	clock     *jktimer.Manual
	sequences map[string]*engineSequence
	order     []string
}

func (s *engineScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "chat":
		return s.chat(t, d)
	case "advance":
		by, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.clock.Advance(by)
		return s.progress()
	case "request": // request METHOD PATH, body as input
		r := httptest.NewRequest(d.CmdArgs[0].Key, d.CmdArgs[1].String(), strings.NewReader(d.Input))
		w := httptest.NewRecorder()
		s.engine.ServeHTTP(w, r)
		return fmt.Sprintf("%d %s", w.Code, strings.TrimSpace(w.Body.String())+"\n")
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// chat takes the arguments id, program, blocks (of the prompt), tokens (of the
// answer) and priority.
func (s *engineScript) chat(t *testing.T, d *datadriven.TestData) string {
	var id, program string
	var blocks, tokens, priority int
	d.ScanArgs(t, "id", &id)
	d.ScanArgs(t, "program", &program)
	d.ScanArgs(t, "blocks", &blocks)
	d.ScanArgs(t, "tokens", &tokens)
	d.MaybeScanArgs(t, "priority", &priority)
	text := ""
	for i := range blocks * 4 {
		text += fmt.Sprintf("%-16s", program+strconv.Itoa(i))
	}
	body := jkchat.Request{
		Model: "standin-model", Messages: []jkchat.Message{{Role: jkchat.RoleUser, Content: jkchat.Text(text)}},
		Metadata: map[string]string{EngineAnswerTokensKey: strconv.Itoa(tokens)},
	}
	h := http.Header{}
	h.Set(jkendpoint.HeaderRequest, id)
	h.Set(jkendpoint.HeaderProgram, program)
	h.Set(jkendpoint.HeaderPriority, strconv.Itoa(priority))
	call, status, code := s.engine.acceptRequest(body, h)
	if call == nil {
		return fmt.Sprintf("%d %s\n", status, code)
	}
	s.sequences[id] = call.sequence
	s.order = append(s.order, id)
	return s.progress()
}

func (s *engineScript) progress() string {
	out := ""
	for _, id := range s.order {
		q := s.sequences[id]
		out += fmt.Sprintf("%s: %d/%d tokens, %d cached, %d to prefill\n", id, q.produced, len(q.answer.tokens), q.cachedTokens, q.prefillLeft)
	}
	return out
}

// Guards against an answer check that doesn't detect bytes of another answer, lost
// bytes or reordered bytes.
func TestCheckEngineAnswer(t *testing.T) {
	messages := []jkchat.Message{{Role: jkchat.RoleUser, Content: jkchat.Text("hi")}}
	text := EngineAnswer("p1", messages, 20)
	if err := CheckEngineAnswer("p1", messages, text); err != nil {
		t.Fatal(err)
	}
	words := engineAnswerWords("p1", messages, 20)
	words[5], words[6] = words[6], words[5]
	for name, bad := range map[string]string{
		"program": EngineAnswer("p2", messages, 20), "lost byte": text[:40] + text[41:], "empty": "",
		"other prompt": EngineAnswer("p1", append(messages, messages...), 20), "moved": strings.Join(words, ""),
	} {
		if CheckEngineAnswer("p1", messages, bad) == nil {
			t.Errorf("%s: passed", name)
		}
	}
	raw, err := json.Marshal(newEngineAnswer("p1", jkchat.Request{Messages: messages, MaxTokens: 3}).message())
	if err != nil || !strings.Contains(string(raw), "[p1 0 ") {
		t.Fatalf("got %s, %v", raw, err)
	}
}
