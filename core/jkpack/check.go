// Package jkpack decodes msgpack data whose sender isn't trusted. The decoder of the msgpack package
// allocates a slice of structs at the length that its header names, and recurses into each level of a
// nested value, so that a few bytes can take any amount of memory.
package jkpack

import (
	"encoding/binary"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// maxDepth is the largest number of arrays and maps within each other.
	maxDepth = 64
	// denseElements is the largest length of an array or map whose elements may have a byte each. Those of
	// longer ones have minElementBytes on average.
	denseElements   = 4096
	minElementBytes = 8
)

// Fault is what is wrong with data that isn't decoded.
type Fault string

// Faults of data.
const (
	FaultTruncated Fault = "truncated"
	FaultTooDeep   Fault = "too_deep"
	FaultTooDense  Fault = "too_dense"
	FaultUnknown   Fault = "unknown_code"
)

// DataError is returned for data that can't be decoded within bounded memory.
type DataError struct {
	Fault  Fault
	Offset int
}

func (e *DataError) Error() string {
	return fmt.Sprintf("msgpack data is refused at byte %d: %s", e.Offset, e.Fault)
}

// Unmarshal decodes data into v.
func Unmarshal(data []byte, v any) error {
	if err := Check(data); err != nil {
		return err
	}
	return eris.Wrap(msgpack.Unmarshal(data, v), "decode")
}

// Check reports whether the values that follow each other in data are complete, and no deeper or longer than what
// a host sends. No data is sound.
func Check(data []byte) error {
	for at := 0; at < len(data); {
		n, err := valueSize(data[at:])
		if err != nil {
			err.Offset += at
			return eris.Wrap(err, "check")
		}
		at += n
	}
	return nil
}

// valueSize returns the size of the first value of data.
func valueSize(data []byte) (int, *DataError) {
	// open holds the number of values that are left in each open array and map.
	var open [maxDepth]int
	depth, at := 1, 0
	open[0] = 1
	for depth > 0 {
		if open[depth-1] == 0 {
			depth--
			continue
		}
		open[depth-1]--
		size, elements, fault := header(data[at:])
		if fault == "" && (size > len(data)-at || elements > len(data)-at-size) {
			fault = FaultTruncated
		}
		if fault != "" {
			return 0, &DataError{Fault: fault, Offset: at}
		}
		at += size
		if elements == 0 {
			continue
		}
		if elements > denseElements && elements > (len(data)-at)/minElementBytes {
			return 0, &DataError{Fault: FaultTooDense, Offset: at}
		}
		if depth == maxDepth {
			return 0, &DataError{Fault: FaultTooDeep, Offset: at}
		}
		open[depth] = elements
		depth++
	}
	return at, nil
}

// header returns the size of a value without its elements, and their number. A map has two for each entry.
func header(data []byte) (size, elements int, fault Fault) {
	if len(data) == 0 {
		return 0, 0, FaultTruncated
	}
	c := data[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 1, 0, ""
	case msgpcode.IsFixedMap(c):
		return 1, 2 * int(c&msgpcode.FixedMapMask), ""
	case msgpcode.IsFixedArray(c):
		return 1, int(c & msgpcode.FixedArrayMask), ""
	case msgpcode.IsFixedString(c):
		return 1 + int(c&msgpcode.FixedStrMask), 0, ""
	}
	if c == unusedCode {
		return 0, 0, FaultUnknown
	}
	shape := shapes[c]
	if len(data) < 1+shape.lengthBytes {
		return 0, 0, FaultTruncated
	}
	var length [8]byte
	copy(length[8-shape.lengthBytes:], data[1:1+shape.lengthBytes])
	n := int(binary.BigEndian.Uint64(length[:]))
	return 1 + shape.lengthBytes + shape.bytes + n*shape.bytesPer, n * shape.elementsPer, ""
}

// shape tells what follows a code: a length of lengthBytes, then bytes besides bytesPer for each unit
// of the length, and elementsPer elements for each unit.
type shape struct{ lengthBytes, bytes, bytesPer, elementsPer int }

// unusedCode is the only code that stands for no value.
const unusedCode = 0xc1

// shapes holds the shapes of the other codes but the fixed ones of header. Nil, false and true have the
// empty one.
var shapes = shapesByCode(map[byte]shape{
	msgpcode.Uint8: {bytes: 1}, msgpcode.Int8: {bytes: 1}, msgpcode.Uint16: {bytes: 2}, msgpcode.Int16: {bytes: 2},
	msgpcode.Uint32: {bytes: 4}, msgpcode.Int32: {bytes: 4}, msgpcode.Float: {bytes: 4},
	msgpcode.Uint64: {bytes: 8}, msgpcode.Int64: {bytes: 8}, msgpcode.Double: {bytes: 8},
	msgpcode.Bin8: {lengthBytes: 1, bytesPer: 1}, msgpcode.Bin16: {lengthBytes: 2, bytesPer: 1}, msgpcode.Bin32: {lengthBytes: 4, bytesPer: 1},
	msgpcode.Str8: {lengthBytes: 1, bytesPer: 1}, msgpcode.Str16: {lengthBytes: 2, bytesPer: 1}, msgpcode.Str32: {lengthBytes: 4, bytesPer: 1},
	msgpcode.Array16: {lengthBytes: 2, elementsPer: 1}, msgpcode.Array32: {lengthBytes: 4, elementsPer: 1},
	msgpcode.Map16: {lengthBytes: 2, elementsPer: 2}, msgpcode.Map32: {lengthBytes: 4, elementsPer: 2},
	msgpcode.FixExt1: {bytes: 2}, msgpcode.FixExt2: {bytes: 3}, msgpcode.FixExt4: {bytes: 5}, msgpcode.FixExt8: {bytes: 9}, msgpcode.FixExt16: {bytes: 17},
	msgpcode.Ext8: {lengthBytes: 1, bytes: 1, bytesPer: 1}, msgpcode.Ext16: {lengthBytes: 2, bytes: 1, bytesPer: 1}, msgpcode.Ext32: {lengthBytes: 4, bytes: 1, bytesPer: 1},
})

func shapesByCode(known map[byte]shape) (out [256]shape) {
	for c, s := range known {
		out[c] = s
	}
	return out
}
