package jkrelay

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"jasmineknot.example/core/jktimer"
)

// uploadTunnel is a tunnel whose requesting end writes an upload that the endpoint doesn't read.
type uploadTunnel struct {
	caller   *tunnelConn
	endpoint *net.TCPConn
	// written is closed once the upload has ended.
	written chan struct{}
}

func newUploadTunnel(t *testing.T) *uploadTunnel {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	pair := func() (*net.TCPConn, *net.TCPConn) {
		dialed, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
	}
	caller, near := pair()
	far, endpoint := pair()
	_ = endpoint.SetReadBuffer(64 << 10)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go (&tunnel{near: near, far: far, timer: jktimer.New()}).run(ctx)
	u := &uploadTunnel{caller: &tunnelConn{TCPConn: caller}, endpoint: endpoint, written: make(chan struct{})}
	t.Cleanup(func() { _, _ = caller.Close(), endpoint.Close() })
	go func() {
		defer close(u.written)
		_, _ = caller.Write(make([]byte, 24<<20))
	}()
	_, _ = io.WriteString(endpoint, "hello")
	time.Sleep(30 * time.Millisecond)
	return u
}

// Guards against a response without a length that looks complete because its endpoint was reset behind a
// relay while the relay was writing an upload to it: the error of the reset reaches either the reader or the
// writer of the relay's connection.
func TestResetInAnUploadBehindARelayDoesNotCompleteAResponse(t *testing.T) {
	for range 20 {
		u := newUploadTunnel(t)
		_ = u.endpoint.SetLinger(0)
		_ = u.endpoint.Close()
		if body, err := io.ReadAll(u.caller); err == nil {
			t.Errorf("body %q is complete, though the endpoint was reset", body)
		}
	}
}

// resetConn is a connection to an endpoint that was reset, where the error reaches the writer.
type resetConn struct {
	net.Conn
	answer *strings.Reader
	reset  chan struct{}
}

func (c *resetConn) Read(b []byte) (int, error) {
	if n, err := c.answer.Read(b); err == nil {
		return n, nil
	}
	<-c.reset
	return 0, io.EOF
}

func (c *resetConn) Write([]byte) (int, error) {
	close(c.reset)
	// The reader runs first.
	time.Sleep(100 * time.Millisecond)
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Close() error { return nil }

// Guards against the same fault in the order of events that is rare on a network.
func TestErrorOfTheUploadIsAwaited(t *testing.T) {
	near, caller := net.Pipe()
	go (&tunnel{near: near, far: &resetConn{answer: strings.NewReader("hello"), reset: make(chan struct{})}, timer: jktimer.New()}).run(t.Context())
	go func() { _, _ = io.WriteString(caller, "upload") }()
	got, _ := io.ReadAll(caller)
	if want := "\x00\x05hello"; string(got) != want {
		t.Errorf("the tunnel sent %q, want %q without an end", got, want)
	}
}

// Guards against an answer that counts as broken because its endpoint has ended its own direction before it
// reads the upload.
func TestEndOfOneDirectionBehindARelayCompletesAResponse(t *testing.T) {
	u := newUploadTunnel(t)
	_ = u.endpoint.CloseWrite()
	if body, err := io.ReadAll(u.caller); err != nil || string(body) != "hello" {
		t.Errorf("body %q, error %v", body, err)
	}
}
