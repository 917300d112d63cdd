package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is the answer to one client attempt.
type result struct {
	id     string
	status int
	// whole is set if the body came to its end.
	whole  bool
	events int
	body   []byte
	stamp  string
	err    error
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// host is the host name of all routes.
const host = "ficu95.example"

// attempt sends one client attempt on a new channel and reads its answer.
func attempt(rec *record, entry *process, method, path string, header map[string]string, body string, limit time.Duration) result {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.front+path, strings.NewReader(body))
	if err != nil {
		return result{id: id, err: err}
	}
	if body == "" {
		req.Body = nil
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	rec.add("client", "sends %s %s to %s, request %s %v", method, path, entry.name, id, header)
	d := net.Dialer{Timeout: time.Second}
	t := &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(req)
	if err != nil {
		rec.add("client", "request %s has no answer: %v", id, err)
		return result{id: id, err: err}
	}
	defer resp.Body.Close()
	out := result{id: id, status: resp.StatusCode, stamp: resp.Header.Get("X-Server-Stamp")}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		out.events, out.err = readEvents(resp.Body)
	} else {
		out.body, out.err = io.ReadAll(resp.Body)
	}
	out.whole = out.err == nil
	rec.add("client", "request %s is answered %d, stamp %q, %d events, whole %t", id, out.status, out.stamp, out.events, out.whole)
	return out
}

// readEvents counts the events of a stream by their ids. The error is nil if the stream came
// to its end.
func readEvents(r io.Reader) (int, error) {
	events, lines := 0, bufio.NewReader(r)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			events++
		}
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}
