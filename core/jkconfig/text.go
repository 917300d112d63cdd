package jkconfig

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// maxUnpacked bounds the size of a document in bytes after decompression. The
// document at the size of design section 2.6 has about 2 MB.
const maxUnpacked = 64 << 20

// normalise returns the JSON text with sorted keys and without white space, so
// that equal sections have equal texts.
func normalise(text []byte) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var value any
	if err := d.Decode(&value); err != nil {
		return nil, eris.Wrap(err, "decode section")
	}
	out, err := json.Marshal(value)
	return out, eris.Wrap(err, "encode section")
}

func pack(text []byte) ([]byte, error) {
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

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(text) > maxUnpacked {
		return nil, eris.Errorf("document is larger than %d bytes", maxUnpacked)
	}
	return text, nil
}
