package jkforward

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// flood counts what an endpoint wrote of answers without end.
type flood struct {
	mu      sync.Mutex
	started int
	written int64
	ended   chan struct{}
}

// maxFlood is what an endpoint can write before it notices the close: a bound of
// an answer and the buffers of both sockets.
const maxFlood = 24 << 20

// report tells for each answer without end whether its connection was closed
// well before the caller's time limit.
func (f *flood) report(id string) string {
	f.mu.Lock()
	started, out := f.started, ""
	f.started = 0
	f.mu.Unlock()
	for range started {
		select {
		case <-f.ended:
			out += id + " cut off\n"
		case <-time.After(time.Second):
			out += id + " writes on\n"
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.written > maxFlood {
		out += fmt.Sprintf("%s wrote too much\n", id)
	}
	f.written = 0
	return out
}

// play writes one part of an answer until the connection is closed.
func (f *flood) play(c net.Conn, id, part string) {
	f.mu.Lock()
	f.started++
	f.mu.Unlock()
	defer func() { f.ended <- struct{}{} }()
	head := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\n%s: 1\r\n", testRequest, id, testSigned)
	stream := head + "Content-Type: text/event-stream\r\n\r\n"
	comment := ":" + strings.Repeat("c", 1024)
	a := map[string][2]string{
		"head":          {head, "A: b\r\n"},
		"line":          {head + "A: ", "b"},
		"informational": {"", "HTTP/1.1 103 X\r\n\r\n"},
		"body":          {head + "\r\n", "b"},
		"failure":       {strings.Replace(head, "200", "404", 1) + "\r\n", "b"},
		"chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("b", 1024) + "\r\n"},
		"other":         {strings.Replace(head, id, "other", 1) + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("b", 1024) + "\r\n"},
		"event":         {stream + "data: 1", "b"},
		"event-lines":   {stream, "data: 1\n"},
		"events":        {stream, "data: 1\n\n"},
		"blank-lines":   {stream, "\n"},
		"comment-lines": {stream, comment + "\n"},
		"comments":      {stream, comment + "\n\n"},
		"slow-comments": {stream, ":\n\n"},
	}[part]
	_, _ = c.Write([]byte(a[0]))
	f.repeat(c, []byte(a[1]), part == "slow-comments")
}

func (f *flood) repeat(c net.Conn, piece []byte, slow bool) {
	block := bytes.Repeat(piece, 1+(16<<10)/len(piece))
	if slow {
		block = piece
	}
	for {
		n, err := c.Write(block)
		f.mu.Lock()
		f.written += int64(n)
		f.mu.Unlock()
		if err != nil {
			return
		}
		if slow {
			time.Sleep(50 * time.Millisecond)
		}
	}
}
