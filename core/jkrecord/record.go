// Package jkrecord frames records for append-only files: four bytes of length, eight
// bytes of xxhash64 over the content, and the content. It neither opens files nor knows
// what the records mean.
package jkrecord

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
)

// HeaderSize is the size of a record's header in bytes: the length and the checksum.
const HeaderSize = 12

// ErrDamaged is returned for a record that is truncated, fails its checksum or is too
// long.
var ErrDamaged = errors.New("log entry is damaged")

// Append appends the framed content to buf and returns the extended buffer.
func Append(buf, content []byte) []byte {
	var head [HeaderSize]byte
	binary.BigEndian.PutUint32(head[:4], uint32(len(content)))
	binary.BigEndian.PutUint64(head[4:], xxhash.Sum64(content))
	return append(append(buf, head[:]...), content...)
}

// Read returns the content of the next record. It returns io.EOF only at a record
// boundary, and ErrDamaged for a record that is truncated, fails its checksum or is
// longer than limit bytes.
func Read(r io.Reader, limit uint32) ([]byte, error) {
	var head [HeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, ErrDamaged
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > limit {
		return nil, ErrDamaged
	}
	content := make([]byte, size)
	if _, err := io.ReadFull(r, content); err != nil {
		return nil, ErrDamaged
	}
	if xxhash.Sum64(content) != binary.BigEndian.Uint64(head[4:]) {
		return nil, ErrDamaged
	}
	return content, nil
}
