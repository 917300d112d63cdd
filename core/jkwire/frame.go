// Package jkwire is the transport between daemons: msgpack envelopes in length-prefixed
// frames over TCP, with many concurrent streams multiplexed on one connection. It knows
// nothing of the messages' content (see jkmsg) and doesn't retry: a failed request
// returns an error that tells whether the request may have run.
package jkwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkpack"
)

// MaxFrame is the largest size of a frame in bytes, without the length prefix.
const MaxFrame = 8 << 20

// framePrefix is the size of the length prefix.
const framePrefix = 4

// Kind is the role of a frame in its stream.
type Kind string

// Frame kinds.
const (
	KindOpen   Kind = "open"
	KindData   Kind = "data"
	KindEnd    Kind = "end"
	KindError  Kind = "error"
	KindCancel Kind = "cancel"
	// KindNotify carries a one-way message, to which no response is sent.
	KindNotify Kind = "notify"
	// KindGoAway tells a client that the server is shutting down: it answers the streams
	// that are open and runs no new ones. It belongs to no stream, so that clients which
	// don't know it ignore it.
	KindGoAway Kind = "go_away"
	// KindTunnel opens a stream that takes over its connection. Servers without tunnels close it.
	KindTunnel Kind = "tunnel"
)

// codeShuttingDown is the code of the RemoteError for a stream that arrives after the
// server has started to shut down. Its request did not run.
const codeShuttingDown = "shutting_down"

// Frame is one message envelope. It is encoded as an array, because field names would
// take up a large part of a heartbeat.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"`

	Stream uint64             `msgpack:"stream"`
	Kind   Kind               `msgpack:"kind"`
	Type   string             `msgpack:"type"`
	Body   msgpack.RawMessage `msgpack:"body"`
}

// FrameTooLargeError is returned for a frame larger than the limit: MaxFrame, or less before a hello.
type FrameTooLargeError struct {
	Size  int
	Limit int
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is larger than %d", e.Size, e.Limit)
}

// RemoteError is an error returned by the peer's handler.
type RemoteError struct {
	Code    string `msgpack:"code"`
	Message string `msgpack:"message"`
}

func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// ConnectionError is returned when a connection fails. Sent reports whether the peer may
// have received the opening frame; if it is false, the request did not run.
type ConnectionError struct {
	Addr  string
	Sent  bool
	Cause error
}

func (e *ConnectionError) Error() string {
	return fmt.Sprintf("connection to %s lost (request sent: %t): %v", e.Addr, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Cause }

// Encode returns the encoded form of a message body. Notify takes an encoded body, so
// that a message to many peers is encoded only once.
func Encode(v any) (msgpack.RawMessage, error) {
	if v == nil {
		return nil, nil
	}
	body, err := msgpack.Marshal(v)
	return body, eris.Wrap(err, "encode message body")
}

// encodeFrame returns the frame with its length prefix.
func encodeFrame(f *Frame) ([]byte, error) {
	data, err := msgpack.Marshal(f)
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	if len(data) > MaxFrame {
		return nil, eris.Wrap(&FrameTooLargeError{Size: len(data), Limit: MaxFrame}, "encode frame")
	}
	out := make([]byte, framePrefix, framePrefix+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	return append(out, data...), nil
}

// readFrame reads one frame of at most the given size and returns it with its size in bytes. Its
// buffers are counted as held.
func readFrame(r *bufio.Reader, limit int, held *intakePart) (*Frame, int, error) {
	var head [framePrefix]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, eris.Wrap(err, "read frame")
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > limit {
		return nil, 0, eris.Wrap(&FrameTooLargeError{Size: size, Limit: limit}, "read frame")
	}
	data, err := readPayload(r, size, held)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read frame")
	}
	f, err := decodeFrame(data)
	return f, len(head) + size, eris.Wrap(err, "decode frame")
}

// errNoFrame is the cause if data isn't the array of a frame's fields.
var errNoFrame = errors.New("not a frame")

// decodeFrame decodes a frame, whose body refers to data.
func decodeFrame(data []byte) (*Frame, error) {
	if err := jkpack.Check(data); err != nil {
		return nil, err
	}
	rest := bytes.NewReader(data)
	decoder := msgpack.NewDecoder(rest)
	fields, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if fields != 4 {
		return nil, errNoFrame
	}
	var f Frame
	if err := decoder.DecodeMulti(&f.Stream, &f.Kind, &f.Type); err != nil {
		return nil, err
	}
	f.Body = data[len(data)-rest.Len():]
	return &f, nil
}

// initialReadSize is the size up to which a frame is read in one piece.
const initialReadSize = 64 << 10

// readPayload reads a frame of the size that its prefix names. It takes memory as
// the bytes arrive, since a peer may name a size and send nothing.
func readPayload(r io.Reader, size int, held *intakePart) ([]byte, error) {
	capacity := min(size, initialReadSize)
	if err := held.grow(int64(capacity)); err != nil {
		return nil, err
	}
	data := make([]byte, 0, capacity)
	for {
		from := len(data)
		data = data[:cap(data)]
		if _, err := io.ReadFull(r, data[from:]); err != nil {
			return nil, err
		}
		if len(data) == size {
			return data, nil
		}
		capacity = min(size, 2*cap(data))
		if err := held.grow(int64(capacity)); err != nil {
			return nil, err
		}
		larger := append(make([]byte, 0, capacity), data...)
		held.release(int64(cap(data)))
		data = larger
	}
}
