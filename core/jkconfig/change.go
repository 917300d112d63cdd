package jkconfig

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkplatform"
)

const (
	// keyPrefix is where the revisions are stored at the platform.
	keyPrefix = "config/"
	// keyDigits pads revision numbers; 12 digits last for 57,000 years at
	// 48,000 changes a day.
	keyDigits = 12
	// blockSize is the number of revisions from one with the whole document to
	// the next. It is a power of ten, so that one list by key prefix returns a
	// block. docs/decisions/configuration.md has the arithmetic.
	blockSize = 1000
	// packAbove is the size in bytes from which a patch is compressed.
	packAbove = 16 << 10
	// maxPacked bounds the compressed document in bytes, so that base64 text
	// of it fits into a record of the platform together with the other fields.
	maxPacked = 720 << 10
)

// Change is one revision as it is stored at the platform and sent between
// hosts: the difference to the revision before.
type Change struct {
	Revision uint64  `json:"revision"`
	EditID   string  `json:"edit_id"`
	Team     string  `json:"team"`
	Section  Section `json:"section"`
	// Base is the revision that the editor had seen.
	Base uint64    `json:"base_revision"`
	At   time.Time `json:"at"`
	// Patch is a JSON merge patch (RFC 7396) of the section; a large one is in
	// Packed instead, compressed by gzip.
	Patch  json.RawMessage `json:"patch,omitempty"`
	Packed []byte          `json:"packed,omitempty"`
	// Document is the whole document after the change in the form of
	// Document.Snapshot. Each revision divisible by 1000 has it.
	Document []byte `json:"document,omitempty"`
	// Position is the platform's version of the record. It isn't stored there.
	Position uint64 `json:"position,omitempty"`
}

func key(revision uint64) string { return fmt.Sprintf("%s%0*d", keyPrefix, keyDigits, revision) }

// blockKey is the common prefix of the keys of a block.
func blockKey(block uint64) string {
	return fmt.Sprintf("%s%0*d", keyPrefix, keyDigits-3, block)
}

func (c Change) hasPatch() bool { return len(c.Patch) > 0 || len(c.Packed) > 0 }

// patch returns the merge patch.
func (c Change) patch() ([]byte, error) {
	if len(c.Packed) > 0 {
		return unpack(c.Packed)
	}
	if len(c.Patch) == 0 {
		return nil, eris.Errorf("revision %d has no patch", c.Revision)
	}
	return c.Patch, nil
}

// setPatch stores the merge patch, compressed if it is large.
func (c *Change) setPatch(patch []byte) error {
	if len(patch) <= packAbove {
		c.Patch = patch
		return nil
	}
	packed, err := pack(patch)
	c.Packed = packed
	return err
}

// encode returns the record's value. A revision with the whole document leaves
// the patch out where both don't fit.
func (c Change) encode() ([]byte, error) {
	c.Position = 0
	text, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encode change")
	}
	if len(text) > jkplatform.MaxValue && len(c.Document) > 0 {
		c.Patch, c.Packed = nil, nil
		if text, err = json.Marshal(c); err != nil {
			return nil, eris.Wrap(err, "encode change")
		}
	}
	if len(text) > jkplatform.MaxValue {
		return nil, &TooLargeError{Section: c.Section, Size: len(text), Limit: jkplatform.MaxValue}
	}
	return text, nil
}

// decodeChange reads a record of the platform.
func decodeChange(r jkplatform.Record) (Change, error) {
	var c Change
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return c, eris.Wrapf(err, "decode record %s", r.Key)
	}
	if key(c.Revision) != r.Key {
		return c, eris.Errorf("record %s holds revision %d", r.Key, c.Revision)
	}
	c.Position = r.Version
	return c, nil
}

// size is the number of bytes a change takes in memory, without the document.
func (c Change) size() int { return len(c.Patch) + len(c.Packed) + 256 }
