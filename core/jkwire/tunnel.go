package jkwire

import (
	"bufio"
	"context"
	"errors"
	"net"

	"github.com/rotisserie/eris"
)

// errEarlyBytes is the cause if a peer sends bytes through a tunnel that isn't open yet.
var errEarlyBytes = errors.New("bytes arrived before the tunnel was open")

// DialTunnel opens a connection to a peer, sends it one request and decodes the response into
// reply. After that, the connection belongs to the caller and carries no more frames. The peer's
// refusal is a *RemoteError.
func DialTunnel(ctx context.Context, dial func(ctx context.Context, addr string) (net.Conn, error), self Hello, addr, messageType string, request, reply any) (net.Conn, error) {
	conn, err := dial(ctx, addr)
	if err != nil {
		return nil, eris.Wrap(&ConnectionError{Addr: addr, Cause: err}, "connect")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = openTunnel(conn, self, messageType, request, reply)
	if !stop() || err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(errors.Join(err, ctx.Err()), "open tunnel")
	}
	return conn, nil
}

// openTunnel sends both frames at once and reads both responses.
func openTunnel(conn net.Conn, self Hello, messageType string, request, reply any) error {
	var out []byte
	for _, f := range []struct {
		kind        Kind
		messageType string
		body        any
	}{{KindOpen, typeHello, &self}, {KindTunnel, messageType, request}} {
		body, err := Encode(f.body)
		if err != nil {
			return err
		}
		data, err := encodeFrame(&Frame{Kind: f.kind, Type: f.messageType, Body: body})
		if err != nil {
			return err
		}
		out = append(out, data...)
	}
	if _, err := conn.Write(out); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(conn, 1<<10)
	for _, into := range []any{&Hello{}, reply} {
		f, _, err := readFrame(reader, MaxFrame, nil)
		if err != nil {
			return err
		}
		m := Message{Last: true, body: f.Body}
		if f.Kind == KindError {
			return m.remoteError()
		}
		if err := m.Decode(into); err != nil {
			return err
		}
	}
	if reader.Buffered() > 0 {
		return errEarlyBytes
	}
	return nil
}

// serveTunnel hands the connection to the server's Tunnel. The connection is closed when that
// returns.
func (c *serverConn) serveTunnel(ctx context.Context, f *Frame) {
	in := &ServerStream{conn: c, stream: f.Stream, messageType: f.Type, body: f.Body, control: c.server.isControl(f.Type)}
	switch {
	case c.server.tunnel == nil || c.peer.Host == "" || c.link.reader.Buffered() > 0:
		return
	case c.server.isStopping():
		_ = in.Fail(codeShuttingDown, "the host is shutting down")
		return
	}
	c.mu.Lock()
	c.tunnelled = true
	c.mu.Unlock()
	// The buffer isn't needed for as long as the tunnel lasts.
	c.link.reader = nil
	c.server.tunnel(ctx, in, c.link.conn)
}
