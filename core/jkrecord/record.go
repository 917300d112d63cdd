// Package jkrecord frames records for append-only files: four bytes of length,
// eight bytes of xxhash64 over the content, and the content.
package jkrecord

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
)

// HeadSize is the length of a record's head in bytes.
const HeadSize = 12

// ErrDamaged marks a record that is cut short or fails its checksum.
var ErrDamaged = errors.New("log entry is damaged")

// Append adds a framed record to a buffer.
func Append(buf, content []byte) []byte {
	var head [HeadSize]byte
	binary.BigEndian.PutUint32(head[:4], uint32(len(content)))
	binary.BigEndian.PutUint64(head[4:], xxhash.Sum64(content))
	return append(append(buf, head[:]...), content...)
}

// Read returns the content of the next record. It fails with io.EOF only at the
// end of a whole record, and with ErrDamaged for a record that is cut short, fails
// its checksum or is longer than limit bytes.
func Read(r io.Reader, limit uint32) ([]byte, error) {
	var head [HeadSize]byte
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
