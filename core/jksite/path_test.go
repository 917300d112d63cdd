package jksite

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
)

// response is an HTTP response as a client receives it.
type response struct {
	status int
	header http.Header
	body   []byte
}

func send(t testing.TB, method, url string, header map[string]string, body any) response {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	return receive(t, req)
}

func receive(t testing.TB, req *http.Request) response {
	t.Helper()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{status: res.StatusCode, header: res.Header, body: text}
}

// Guards against a program that can be used only through its home: each turn is sent to
// another host, and an action that is sent again through another host runs once.
func TestProgramThroughAllHosts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	options := jkstandin.DefaultEngineOptions()
	options.TimeScale = 0.01
	site, err := StartEmbedded(ctx, EmbeddedOptions{
		Zones: []string{"a", "b"}, HostsPerZone: 2, Engine: options,
		Folder: func(string) string { return memoryFolder(t) },
		Log:    jklog.New(os.Stderr, time.Now).Allow("warn"),
	})
	defer site.Stop(ctx)
	if err != nil {
		t.Fatal(err)
	}
	host := func(i int) string { return "http://" + site.Daemons[i%len(site.Daemons)].HTTP() }
	created := send(t, "POST", host(0)+"/v1/programs", nil, map[string]string{"workspace": "w", "template": Template})
	if created.status != http.StatusCreated {
		t.Fatalf("create: %d %s", created.status, created.body)
	}
	program, token := created.header.Get("X-Program-Id"), created.header.Get("X-Program-Token")
	messages := []jkchat.Message{{Role: jkchat.RoleUser, Content: jkchat.Text("a wedding for 120 guests")}}
	for turn := 1; turn <= 4; turn++ {
		a := send(t, "POST", host(turn)+"/v1/chat/completions", map[string]string{"X-Program-Token": token, "X-Request-Id": "r" + string(rune('0'+turn))},
			jkchat.Request{Model: Model, Messages: messages, MaxTokens: 20})
		if a.status != http.StatusOK {
			t.Fatalf("turn %d: %d %s", turn, a.status, a.body)
		}
		token = a.header.Get("X-Program-Token")
		var c jkchat.Completion
		if err := json.Unmarshal(a.body, &c); err != nil {
			t.Fatal(err)
		}
		if err := jkstandin.CheckEngineAnswer(program, messages, c.Choices[0].Message.Content.String()); err != nil {
			t.Fatal(err)
		}
		messages = append(messages, c.Choices[0].Message, jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text("go on")})
	}
	deposit := map[string]string{"action_id": "deposit-1"}
	header := map[string]string{"X-Program-Token": token, "X-Request-Id": "pay"}
	first := send(t, "POST", host(1)+"/v1/services/"+Service+"/actions/charge", header, deposit)
	again := send(t, "POST", host(2)+"/v1/services/"+Service+"/actions/charge", header, deposit)
	if first.status != http.StatusOK || string(first.body) != string(again.body) || again.header.Get("X-Replayed") != "true" {
		t.Fatalf("deposit: %d %s, again: %d %s", first.status, first.body, again.status, again.body)
	}
	stale := send(t, "POST", host(3)+"/v1/services/"+Service+"/actions/charge", map[string]string{"X-Program-Token": token, "X-Request-Id": "other"}, deposit)
	if stale.status != http.StatusConflict {
		t.Fatalf("used token: %d %s", stale.status, stale.body)
	}
}
