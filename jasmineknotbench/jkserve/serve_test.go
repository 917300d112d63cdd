package jkserve

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a ready line with the wrong address, and against a stop that
// interrupts a request in flight.
func TestServeStopsGracefully(t *testing.T) {
	entered := make(chan struct{})
	release := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	ctx, cancel := context.WithCancel(t.Context())
	in, out := io.Pipe()
	stopped := make(chan error, 1)
	go func() { stopped <- Serve(ctx, "127.0.0.1:0", handler, jktimer.New(), jklog.Discard(), out) }()
	line, err := bufio.NewReader(in).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	var ready Ready
	if err := json.Unmarshal(line, &ready); err != nil || !ready.Ready {
		t.Fatalf("got %s, %v", line, err)
	}
	answer := make(chan string, 1)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	go func() {
		resp, err := client.Get("http://" + ready.Address)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			body = []byte(err.Error())
		}
		answer <- string(body)
	}()
	<-entered
	cancel()
	close(release)
	if got := <-answer; got != "whole" {
		t.Fatalf("request in flight got %q", got)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

// Guards against a stand-in that other machines can reach.
func TestServeRefusesOtherAddresses(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", ":0", "localhost:0", "127.0.0.1", "192.0.2.1:80"} {
		err := Serve(t.Context(), address, http.NotFoundHandler(), jktimer.New(), jklog.Discard(), io.Discard)
		if err == nil || !strings.Contains(err.Error(), "loopback") {
			t.Errorf("%s: got %v", address, err)
		}
	}
}
