package jkforward

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// endlessWriter writes responses without end and counts their bytes.
type endlessWriter struct {
	mu      sync.Mutex
	started int
	written int64
	closed  chan struct{}
}

// maxWritten is what an endpoint can write before it notices the close: the bound
// of a response and the buffers of both sockets.
const maxWritten = 24 << 20

// outcome describes for each response without end whether its connection was closed
// well before the caller's timeout.
func (w *endlessWriter) outcome(id string) string {
	w.mu.Lock()
	started, out := w.started, ""
	w.started = 0
	w.mu.Unlock()
	for range started {
		select {
		case <-w.closed:
			out += id + " cut off\n"
		case <-time.After(time.Second):
			out += id + " writes on\n"
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.written > maxWritten {
		out += fmt.Sprintf("%s wrote too much\n", id)
	}
	w.written = 0
	return out
}

// writePart writes one part of a response until the connection is closed.
func (w *endlessWriter) writePart(c net.Conn, id, part string) {
	w.mu.Lock()
	w.started++
	w.mu.Unlock()
	defer func() { w.closed <- struct{}{} }()
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
	w.writeUntilClosed(c, []byte(a[1]), part == "slow-comments")
}

func (w *endlessWriter) writeUntilClosed(c net.Conn, piece []byte, slow bool) {
	block := bytes.Repeat(piece, 1+(16<<10)/len(piece))
	if slow {
		block = piece
	}
	for {
		n, err := c.Write(block)
		w.mu.Lock()
		w.written += int64(n)
		w.mu.Unlock()
		if err != nil {
			return
		}
		if slow {
			time.Sleep(50 * time.Millisecond)
		}
	}
}
