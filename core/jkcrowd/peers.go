package jkcrowd

import (
	"encoding/binary"
	"io"
	"net"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkwire"
)

// RawFrame returns a frame with its length prefix.
func RawFrame(data string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(data)))) + data
}

// Frame returns an encoded frame.
func Frame(stream uint64, kind jkwire.Kind, messageType string, body any) string {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		panic(err)
	}
	return RawFrame(Envelope(stream, kind, messageType, string(encoded)))
}

// Envelope returns a frame's envelope around a body that need not be sound.
func Envelope(stream uint64, kind jkwire.Kind, messageType, body string) string {
	envelope, err := msgpack.Marshal(&jkwire.Frame{Stream: stream, Kind: kind, Type: messageType, Body: msgpack.RawMessage{0xc0}})
	if err != nil {
		panic(err)
	}
	return string(envelope[:len(envelope)-1]) + body
}

// HelloFrame is the first frame of a connection.
var HelloFrame = Frame(0, jkwire.KindOpen, "hello", &jkwire.Hello{Host: "crowd", Zone: "a", Version: jkwire.ProtocolVersion})

// PartOfFrame returns the start of a frame that stops short of its end.
func PartOfFrame(size, rest int) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(size))) + "\x94\x01\xa4open\xa1x\xc6" + strings.Repeat("x", size-rest)
}

// Streams sends a hello and opens streams with a body each.
func Streams(count int, messageType string, body any) func(c net.Conn) {
	return func(c net.Conn) {
		if _, err := io.WriteString(c, HelloFrame); err != nil {
			return
		}
		for i := range count {
			if _, err := io.WriteString(c, Frame(uint64(i+1), jkwire.KindOpen, messageType, body)); err != nil {
				return
			}
		}
	}
}

// SendOnce sends data.
func SendOnce(data string) func(c net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, data) }
}
