package jkconfig

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// maxDecompressedBytes bounds the size of a document after decompression. The
// document of the largest planned fleet (7,900 endpoints) has about 2 MB.
const maxDecompressedBytes = 64 << 20

// normalise returns the JSON text with sorted keys, without white space and with
// one form for each number, so that equal sections have equal texts. The schema
// keeps whole numbers within the 53 bits that a float64 holds exactly.
func normalise(text []byte) ([]byte, error) {
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		return nil, eris.Wrap(err, "decode section")
	}
	out, err := json.Marshal(value)
	return out, eris.Wrap(err, "encode section")
}

func compress(text []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(text); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(text) > maxDecompressedBytes {
		return nil, eris.Errorf("document is larger than %d bytes", maxDecompressedBytes)
	}
	return text, nil
}
