// Package jkwire carries messages between daemons: msgpack envelopes in
// length-prefixed frames over TCP, with many streams on one connection.
package jkwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the largest frame in bytes, the length prefix not counted.
const MaxFrame = 8 << 20

// Kind tells what a frame does to its stream.
type Kind string

// Frame kinds.
const (
	KindOpen   Kind = "open"
	KindData   Kind = "data"
	KindEnd    Kind = "end"
	KindError  Kind = "error"
	KindCancel Kind = "cancel"
	// KindNotify opens a stream that gets no answer.
	KindNotify Kind = "notify"
)

// Frame is one envelope. It is encoded as an array, because the names of its
// fields would be a large part of a heartbeat.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"`

	Stream uint64             `msgpack:"stream"`
	Kind   Kind               `msgpack:"kind"`
	Type   string             `msgpack:"type"`
	Body   msgpack.RawMessage `msgpack:"body"`
}

// FrameTooLargeError is returned for a frame beyond MaxFrame.
type FrameTooLargeError struct {
	Size int
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is larger than %d", e.Size, MaxFrame)
}

// RemoteError is a failure reported by the peer's handler.
type RemoteError struct {
	Code    string `msgpack:"code"`
	Message string `msgpack:"message"`
}

func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// LostError is returned when a connection fails. Sent tells whether the peer
// may have received the opening frame; if not, the request did not run.
type LostError struct {
	Addr  string
	Sent  bool
	Cause error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("connection to %s lost (request sent: %t): %v", e.Addr, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Encode returns the encoded form of a message body. Notify takes it as it is,
// so that one message to many peers is encoded once.
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
		return nil, eris.Wrap(&FrameTooLargeError{Size: len(data)}, "encode frame")
	}
	out := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	return append(out, data...), nil
}

// readFrame reads one frame and returns it with its size in bytes.
func readFrame(r *bufio.Reader) (*Frame, int, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, eris.Wrap(err, "read frame")
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > MaxFrame {
		return nil, 0, eris.Wrap(&FrameTooLargeError{Size: size}, "read frame")
	}
	data, err := readData(r, size)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read frame")
	}
	var f Frame
	if err := msgpack.Unmarshal(data, &f); err != nil {
		return nil, 0, eris.Wrap(err, "decode frame")
	}
	return &f, len(head) + size, nil
}

// frameStep is the size up to which a frame is read in one piece.
const frameStep = 64 << 10

// readData reads a frame of the size that its prefix names. It takes memory as
// the bytes arrive, since a peer may name a size and send nothing.
func readData(r io.Reader, size int) ([]byte, error) {
	data := make([]byte, 0, min(size, frameStep))
	for len(data) < size {
		from := len(data)
		n := min(size-from, max(from, frameStep))
		data = slices.Grow(data, n)[:from+n]
		if _, err := io.ReadFull(r, data[from:]); err != nil {
			return nil, err
		}
	}
	return data, nil
}
