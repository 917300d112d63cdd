package jkfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jksite"
)

// turnsPerProgram is the number of calls of each program of the light load.
const turnsPerProgram = 4

// load starts programs at a constant rate, spread over all daemons.
type load struct {
	fleet          *fleet
	rate           float64
	completedCalls atomic.Int64
	nextDaemon     atomic.Int64
	cancel         context.CancelFunc
	stopTimer      func()
	running        sync.WaitGroup
	client         *http.Client
}

func newLoad(f *fleet, rate float64) *load {
	return &load{fleet: f, rate: rate, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (l *load) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	interval := time.Duration(float64(time.Second) / (l.rate * float64(len(l.fleet.processes))))
	l.stopTimer = l.fleet.timer.Every(interval, func() {
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.runProgram(ctx)
		}()
	})
}

func (l *load) stop() {
	l.stopTimer()
	l.cancel()
	l.running.Wait()
	l.client.CloseIdleConnections()
}

// runProgram runs one program whose turns enter through different daemons. A failed
// request ends it; only completed calls are counted.
func (l *load) runProgram(ctx context.Context) {
	header, _, ok := l.post(ctx, "/v1/programs", "", map[string]string{"workspace": "w", "template": jksite.Template})
	if !ok {
		return
	}
	token := header.Get("X-Program-Token")
	messages := []jkchat.Message{{Role: jkchat.RoleUser, Content: jkchat.Text("plan a dinner for forty guests")}}
	for range turnsPerProgram {
		header, body, ok := l.post(ctx, "/v1/chat/completions", token, jkchat.Request{Model: jksite.Model, Messages: messages, MaxTokens: l.fleet.command.answerTokens})
		var c jkchat.Completion
		if !ok || json.Unmarshal(body, &c) != nil || len(c.Choices) == 0 {
			return
		}
		l.completedCalls.Add(1)
		token = header.Get("X-Program-Token")
		messages = append(messages, c.Choices[0].Message, jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text("go on")})
	}
}

func (l *load) post(ctx context.Context, path, token string, body any) (http.Header, []byte, bool) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, nil, false
	}
	p := l.fleet.processes[l.nextDaemon.Add(1)%int64(len(l.fleet.processes))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.httpAddr+path, bytes.NewReader(data))
	if err != nil {
		return nil, nil, false
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("X-Program-Token", token)
	}
	res, err := l.client.Do(req)
	if err != nil {
		return nil, nil, false
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.Header, text, err == nil && res.StatusCode < http.StatusMultipleChoices
}
